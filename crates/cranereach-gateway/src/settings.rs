//! Settings of an instance that serves declared routes.
//!
//! Every default stands here. A platform may fill the file from a template;
//! unknown keys are refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::adapter;
use cranereach_fleet::limits::Tolerance;
use cranereach_fleet::topology::Topology;
use cranereach_fleet::topology::TopologyError;
use cranereach_wire::jsonc;
use cranereach_wire::jsonc::FileError;

/// All settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who and where this instance is.
    pub instance: InstanceSettings,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Other instances.
    pub peers: PeerSettings,
    /// Bounds that the deployment promises.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who and where this instance is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the machine.
    pub id: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Region of the failure domain.
    #[serde(default = "default_region")]
    pub region: String,
    /// All failure domains with the region of each; the own need not be among them.
    #[serde(default)]
    pub failure_domains: BTreeMap<String, String>,
}

/// Name of the only region of a deployment that names none.
fn default_region() -> String {
    "default".to_owned()
}

impl InstanceSettings {
    /// Returns the failure domains and regions as seen from this instance.
    pub fn topology(&self) -> Result<Topology, TopologyError> {
        Topology::new(&self.failure_domain, &self.region, &self.failure_domains)
    }
}

/// Addresses to listen on, each `ip:port`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// Question whether this instance is ready.
    pub ready: SocketAddr,
    /// Peers, UDP and TCP on the same port.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// The platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Name of the adapter.
    pub adapter: String,
    /// Address of the store.
    pub store: String,
}

/// Other instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Addresses of some; only the IP counts, all use the same port.
    pub seeds: Vec<String>,
    /// Time between two digests, in milliseconds.
    #[serde(default = "default_digest_every_ms")]
    pub digest_every_ms: u64,
    /// Secret that fingerprints of requests are keyed with, the same on all instances:
    /// without it nobody can check guesses of a content against the fingerprints in logs.
    #[serde(default)]
    pub fingerprint_secret: String,
}

/// Four digests a second.
fn default_digest_every_ms() -> u64 {
    250
}

/// Bounds that the deployment promises.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the first stop signal to the kill, in seconds.
    pub grace_s: f64,
    /// Time within which a leaving worker must get no more work, in milliseconds.
    pub drain_ms: u64,
    /// Time within which a change of the configuration must be in force, in
    /// milliseconds.
    pub configuration_ms: u64,
    /// Time between the orders of two holders, in milliseconds.
    pub lease_ms: u64,
    /// Repeats per request.
    pub retry_ratio: f64,
    /// Repeats beside the ratio, of all instances together.
    pub retry_allowance_count: f64,
    /// Window of the two, in seconds.
    pub retry_window_s: f64,
    /// Whether a key that was taken away must open nothing after `revocation_ms`, also
    /// on an instance that can't know of it. Otherwise only changes of the
    /// configuration as such are bounded.
    pub is_revocation_strict: bool,
    /// Time after which a key that was taken away must open nothing, in milliseconds.
    pub revocation_ms: u64,
    /// Window that use of an account's limit is counted in, in seconds.
    pub limit_window_s: f64,
    /// Use that is tolerated beyond a limit, as a share of what it allows in a window.
    pub limit_excess_share: f64,
    /// Use that is tolerated besides, in the units of the limit.
    pub limit_allowance: f64,
    /// Time after which a failure domain that is to be evacuated must get no more work,
    /// in milliseconds.
    pub evacuation_ms: u64,
    /// How many times the rate that a cold worker bears is tolerated in one second.
    pub cold_excess_ratio: f64,
    /// Requests that are tolerated besides in one second.
    pub cold_allowance_count: f64,
}

impl BoundSettings {
    /// Checks that bounds make sense; otherwise returns the key of one that doesn't.
    fn check(&self) -> Result<(), &'static str> {
        let positive = [
            ("revocation_ms", self.revocation_ms as f64),
            ("limit_window_s", self.limit_window_s),
            ("retry_window_s", self.retry_window_s),
            ("evacuation_ms", self.evacuation_ms as f64),
            ("cold_excess_ratio", self.cold_excess_ratio),
        ];
        let not_negative = [
            ("limit_excess_share", self.limit_excess_share),
            ("limit_allowance", self.limit_allowance),
            ("cold_allowance_count", self.cold_allowance_count),
        ];
        let bad = positive.into_iter().find(|(_, value)| *value <= 0.0);
        let bad = bad.or_else(|| not_negative.into_iter().find(|(_, value)| *value < 0.0));
        bad.map_or(Ok(()), |(key, _)| Err(key))
    }

    /// Returns what is tolerated beyond accounts' limits.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window_s: self.limit_window_s,
            excess_share: self.limit_excess_share,
            allowance: self.limit_allowance,
        }
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            drain_ms: 2_000,
            configuration_ms: 2_000,
            lease_ms: 3_000,
            retry_ratio: 0.1,
            retry_allowance_count: 10.0,
            retry_window_s: 10.0,
            is_revocation_strict: false,
            revocation_ms: 5_000,
            limit_window_s: 10.0,
            limit_excess_share: 0.1,
            limit_allowance: 10.0,
            evacuation_ms: 5_000,
            cold_excess_ratio: 1.5,
            cold_allowance_count: 5.0,
        }
    }
}

/// Logs.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Whether to write none.
    pub is_silent: bool,
}

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read or understood.
    #[error(transparent)]
    File(#[from] FileError),
    /// A bound makes no sense.
    #[error("{file}: bounds.{key}: must be more than zero")]
    Bound {
        /// The file.
        file: String,
        /// The bound.
        key: &'static str,
    },
    /// The failure domains make no sense.
    #[error("{file}: instance.failure_domains: {source}")]
    Topology {
        /// The file.
        file: String,
        /// What is wrong.
        source: TopologyError,
    },
    /// No such adapter.
    #[error("{file}: platform.adapter: {given:?} is not one of {valid}")]
    Adapter {
        /// The file.
        file: String,
        /// What was given.
        given: String,
        /// What would be valid.
        valid: String,
    },
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = jsonc::read_file(path)?;
        if adapter::find(&settings.platform.adapter).is_none() {
            return Err(SettingsError::Adapter {
                file: path.display().to_string(),
                given: settings.platform.adapter,
                valid: adapter::names().join(", "),
            });
        }
        settings
            .bounds
            .check()
            .map_err(|key| SettingsError::Bound {
                file: path.display().to_string(),
                key,
            })?;
        let topology = settings.instance.topology();
        topology.map_err(|source| SettingsError::Topology {
            file: path.display().to_string(),
            source,
        })?;
        Ok(settings)
    }
}
