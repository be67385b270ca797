//! Operator commands on failure domains, and the state of the domains according to the store.
//!
//! No instance is contacted: the rows in the store are what all instances act on.

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

/// Content of the row that requests an evacuation; it is never read.
const ROW_VALUE: &[u8] = b"{}";

/// State of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DomainState {
    /// Name of the domain.
    pub name: String,
    /// Version of the row that requests its evacuation; `None` if there is no request.
    pub evacuated_since_version: Option<u64>,
    /// Number of workers in the domain that accept work.
    pub ready_count: usize,
    /// Number of workers in the domain that are leaving.
    pub leaving_count: usize,
    /// Number of workers in the domain, leaving ones included, that are cold according to their
    /// rows.
    pub cold_count: usize,
    /// Models held in this domain and by no worker elsewhere; workers that are leaving or in
    /// evacuated failure domains do not count as holders elsewhere.
    pub only_here: Vec<String>,
}

/// Reason why a request or withdrawal was not written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DomainsError {
    /// Neither the settings nor a worker's row names the domain.
    #[error("failure domain {name:?} is not known; known are {}", known.join(", "))]
    Unknown {
        /// Requested name.
        name: String,
        /// Known names.
        known: Vec<String>,
    },
    /// The row was changed concurrently.
    #[error("the evacuation request was changed concurrently; check its state and try again")]
    ChangedConcurrently,
    /// The settings name an unknown adapter.
    #[error("unknown platform adapter {0:?}")]
    Adapter(String),
    /// A store call failed.
    #[error("call to the platform's store failed: {0}")]
    Store(#[from] StoreError),
}

/// Result of a request or withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// Written at this version of the store. The time bound runs from the store's response.
    At(u64),
    /// Nothing had to be changed.
    Already,
}

/// State of the store that is relevant to failure domains.
#[derive(Clone, Debug, Default)]
struct StoreSnapshot {
    /// Names that occur in the settings or in a worker's row.
    known: BTreeSet<String>,
    /// Positions of the rows that request evacuations, by domain.
    requested: BTreeMap<String, StorePosition>,
    /// Position to expect when writing a row that does not exist yet.
    absent_position: StorePosition,
    workers: Vec<WorkerRecord>,
}

/// Lists the failure domains by name.
pub async fn list_states(settings: &Settings) -> Result<Vec<DomainState>, DomainsError> {
    let adapter = adapter_of(settings)?;
    let snapshot = read(settings, adapter).await?;
    let names = snapshot.known.iter().chain(snapshot.requested.keys());
    let names: BTreeSet<&String> = names.collect();
    let states = names.into_iter().map(|name| snapshot.state(name));
    Ok(states.collect())
}

/// Requests the evacuation of a failure domain, or withdraws the request.
pub async fn request_evacuation(
    settings: &Settings,
    domain: &str,
    is_withdrawn: bool,
) -> Result<EvacuationOutcome, DomainsError> {
    let adapter = adapter_of(settings)?;
    let snapshot = read(settings, adapter).await?;
    let requested_at = snapshot.requested.get(domain).copied();
    // A request can be withdrawn even if the domain is not known any more.
    if !snapshot.known.contains(domain) && requested_at.is_none() {
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
    let answer = match (requested_at, is_withdrawn) {
        (Some(_), false) | (None, true) => return Ok(EvacuationOutcome::Already),
        (None, false) => {
            store
                .write(&row, snapshot.absent_position, ROW_VALUE)
                .await?
        }
        (Some(position), true) => store.remove(&row, position).await?,
    };
    match answer {
        WriteAnswer::Done(position) => Ok(EvacuationOutcome::At(position.version)),
        WriteAnswer::Conflict => Err(DomainsError::ChangedConcurrently),
        WriteAnswer::Refused(status) => {
            let refused = StoreError::NotDone(format!("status {status}"));
            Err(DomainsError::Store(refused))
        }
    }
}

/// Creates a client of the store for one command.
fn store(settings: &Settings, adapter: &'static Adapter) -> Store {
    let log = Logger::root(Discard, o!());
    Store::new(&settings.platform.store, adapter, &log, &Metrics::new())
}

/// Returns the adapter named in the settings.
fn adapter_of(settings: &Settings) -> Result<&'static Adapter, DomainsError> {
    let name = &settings.platform.adapter;
    adapter::find(name).ok_or_else(|| DomainsError::Adapter(name.clone()))
}

/// Reads the requested evacuations and the workers from the store.
async fn read(
    settings: &Settings,
    adapter: &'static Adapter,
) -> Result<StoreSnapshot, DomainsError> {
    let store = store(settings, adapter);
    let rows = store.read(adapter.store.configuration.0).await?;
    let requested = rows
        .rows
        .iter()
        .filter(|row| !row.is_gone)
        .filter_map(|row| {
            let domain = (adapter.store.evacuated_domain)(&row.key)?;
            Some((domain.to_owned(), row.position))
        });
    let requested = requested.collect();
    let absent_position = StorePosition::start_of(rows.position.era);
    let rows = store.read(adapter.store.workers).await?;
    let listed = rows.rows.iter().filter(|row| !row.is_gone);
    // The instances count and log invalid rows.
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
        requested,
        absent_position,
        workers,
    })
}

impl StoreSnapshot {
    /// Returns the state of a failure domain.
    fn state(&self, name: &str) -> DomainState {
        let here = |record: &&WorkerRecord| record.failure_domain.as_ref() == name;
        let mut state = DomainState {
            name: name.to_owned(),
            evacuated_since_version: self
                .requested
                .get(name)
                .map(|requested_at| requested_at.version),
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
                && !self.requested.contains_key(record.failure_domain.as_ref())
        });
        let held_elsewhere = models(elsewhere);
        let held_here = models(self.workers.iter().filter(here));
        let only_here = held_here.difference(&held_elsewhere);
        state.only_here = only_here.map(ToString::to_string).collect();
        state
    }
}

/// Returns the names of the models held by some workers.
fn models<'a>(workers: impl Iterator<Item = &'a WorkerRecord>) -> BTreeSet<Arc<str>> {
    let held = workers.flat_map(|worker| &worker.models);
    held.map(|model| Arc::clone(&model.name)).collect()
}
