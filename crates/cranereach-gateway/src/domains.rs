//! What operators ask of failure domains, and how these stand, as the store shows it.
//!
//! Nothing here asks an instance: the rows that all instances go by are what counts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;
use slog::Discard;
use slog::Logger;
use slog::o;
use thiserror::Error;

use crate::adapter;
use crate::adapter::Adapter;
use crate::adapter::RowName;
use crate::adapter::WriteAnswer;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::store::Store;
use crate::store::StoreError;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::WorkerRecord;

/// Content of the row that asks for an evacuation; nobody reads it.
const ROW_VALUE: &[u8] = b"{}";

/// One failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DomainState {
    /// Its name.
    pub name: String,
    /// Version of the row that asks for its evacuation; none if nobody asks.
    pub evacuated_since_version: Option<u64>,
    /// Workers there that take work.
    pub ready_count: usize,
    /// Workers there that leave.
    pub leaving_count: usize,
    /// Those of all of them whose row says that they are cold.
    pub cold_count: usize,
    /// Models that no worker elsewhere holds, outside of evacuated failure domains.
    pub only_here: Vec<String>,
}

/// Why a demand was not written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DomainsError {
    /// Neither the settings nor a worker's row names the domain.
    #[error("failure domain {name:?} is not known; known are {}", known.join(", "))]
    Unknown {
        /// The name.
        name: String,
        /// Names that are known.
        known: Vec<String>,
    },
    /// Somebody else changed the row at the same time.
    #[error("the demand was changed by somebody else meanwhile; look, and ask again")]
    Raced,
    /// The settings name no adapter that there is.
    #[error("platform adapter {0:?} doesn't exist")]
    Adapter(String),
    /// The store.
    #[error("the platform's store: {0}")]
    Store(#[from] StoreError),
}

/// What a demand did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demanded {
    /// It was written at a version of the store; the bound runs from its answer.
    At(u64),
    /// It stood so already.
    Already,
}

/// What the store says of failure domains.
#[derive(Clone, Debug, Default)]
struct StoreSnapshot {
    /// Names that the settings or a worker know.
    known: BTreeSet<String>,
    /// Positions of the rows that ask for evacuations, by domain.
    asked: BTreeMap<String, StorePosition>,
    /// Position of a row that isn't there.
    absent: StorePosition,
    workers: Vec<WorkerRecord>,
}

/// Lists the failure domains, by name.
pub async fn look(settings: &Settings) -> Result<Vec<DomainState>, DomainsError> {
    let adapter = adapter_of(settings)?;
    let snapshot = read(settings, adapter).await?;
    let names = snapshot.known.iter().chain(snapshot.asked.keys());
    let names: BTreeSet<&String> = names.collect();
    let states = names.into_iter().map(|name| snapshot.state(name));
    Ok(states.collect())
}

/// Asks for a failure domain to be evacuated, or withdraws that.
pub async fn demand(
    settings: &Settings,
    domain: &str,
    is_withdrawn: bool,
) -> Result<Demanded, DomainsError> {
    let adapter = adapter_of(settings)?;
    let snapshot = read(settings, adapter).await?;
    let asked_at = snapshot.asked.get(domain).copied();
    // What is asked for can be withdrawn, also where nobody knows the domain any more.
    if !snapshot.known.contains(domain) && asked_at.is_none() {
        return Err(DomainsError::Unknown {
            name: domain.to_owned(),
            known: snapshot.known.into_iter().collect(),
        });
    }
    let row = RowName {
        table: adapter.store.configuration.0,
        key: (adapter.store.evacuation_key)(domain),
    };
    let store = store(settings, adapter);
    let answer = match (asked_at, is_withdrawn) {
        (Some(_), false) | (None, true) => return Ok(Demanded::Already),
        (None, false) => store.write(&row, snapshot.absent, ROW_VALUE).await?,
        (Some(position), true) => store.remove(&row, position).await?,
    };
    match answer {
        WriteAnswer::Done(position) => Ok(Demanded::At(position.version)),
        WriteAnswer::Conflict => Err(DomainsError::Raced),
        WriteAnswer::Refused(status) => {
            let refused = StoreError::NotDone(format!("status {status}"));
            Err(DomainsError::Store(refused))
        }
    }
}

/// Makes a client of the store for one command.
fn store(settings: &Settings, adapter: &'static Adapter) -> Store {
    let log = Logger::root(Discard, o!());
    Store::new(&settings.platform.store, adapter, &log, &Metrics::new())
}

/// Finds the adapter that the settings name.
fn adapter_of(settings: &Settings) -> Result<&'static Adapter, DomainsError> {
    let name = &settings.platform.adapter;
    adapter::find(name).ok_or_else(|| DomainsError::Adapter(name.clone()))
}

/// Reads the store.
async fn read(
    settings: &Settings,
    adapter: &'static Adapter,
) -> Result<StoreSnapshot, DomainsError> {
    let store = store(settings, adapter);
    let rows = store.read(adapter.store.configuration.0).await?;
    let asked = rows
        .rows
        .iter()
        .filter(|row| !row.is_gone)
        .filter_map(|row| {
            let domain = (adapter.store.evacuated_domain)(&row.key)?;
            Some((domain.to_owned(), row.position))
        });
    let asked = asked.collect();
    let absent = StorePosition::start_of(rows.position.era);
    let rows = store.read(adapter.store.workers).await?;
    let listed = rows.rows.iter().filter(|row| !row.is_gone);
    // A row that can't be read is counted and logged by the instances.
    let workers = listed.filter_map(|row| (adapter.parse_worker)(&row.key, &row.value).ok());
    let workers: Vec<WorkerRecord> = workers.collect();
    let declared = settings.instance.failure_domains.keys().cloned();
    let known = declared
        .chain([settings.instance.failure_domain.clone()])
        .chain(
            workers
                .iter()
                .map(|worker| worker.failure_domain.to_string()),
        );
    Ok(StoreSnapshot {
        known: known.collect(),
        asked,
        absent,
        workers,
    })
}

impl StoreSnapshot {
    /// Returns how a failure domain stands.
    fn state(&self, name: &str) -> DomainState {
        let here = |record: &&WorkerRecord| record.failure_domain.as_ref() == name;
        let mut state = DomainState {
            name: name.to_owned(),
            evacuated_since_version: self.asked.get(name).map(|asked_at| asked_at.version),
            ..DomainState::default()
        };
        for worker in self.workers.iter().filter(here) {
            state.ready_count += usize::from(!worker.is_leaving);
            state.leaving_count += usize::from(worker.is_leaving);
            state.cold_count += usize::from(worker.cold_for_ms > 0);
        }
        let elsewhere = self.workers.iter().filter(|record| {
            !here(record)
                && !record.is_leaving
                && !self.asked.contains_key(record.failure_domain.as_ref())
        });
        let held_elsewhere = models(elsewhere);
        let held_here = models(self.workers.iter().filter(here));
        let only_here = held_here.difference(&held_elsewhere);
        state.only_here = only_here.map(ToString::to_string).collect();
        state
    }
}

/// Returns the models that some workers hold.
fn models<'a>(workers: impl Iterator<Item = &'a WorkerRecord>) -> BTreeSet<Arc<str>> {
    let held = workers.flat_map(|worker| &worker.models);
    held.map(|model| Arc::clone(&model.name)).collect()
}
