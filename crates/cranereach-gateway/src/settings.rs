//! Settings of an instance that serves declared routes.
//!
//! All defaults are defined here. A platform may generate the settings file from a template.
//! Unknown keys are rejected.

mod resources;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

pub use self::resources::ResourceSettings;
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
    /// Identity and location of this instance.
    pub instance: InstanceSettings,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Other instances.
    pub peers: PeerSettings,
    /// Bounds that the deployment guarantees.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What the instance has for its work.
    #[serde(default)]
    pub resources: ResourceSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity and location of this instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Identifier of the machine that this instance runs on.
    pub id: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Region of this instance's failure domain.
    #[serde(default = "default_region")]
    pub region: String,
    /// All failure domains with the region of each. This instance's own may be omitted.
    #[serde(default)]
    pub failure_domains: BTreeMap<String, String>,
}

/// Returns the name of the only region of a deployment that names no regions.
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
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub ready: SocketAddr,
    /// Messages of peers, over UDP and TCP on the same port.
    pub peers: SocketAddr,
    /// Metrics and other requests of operators.
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
    /// Addresses of some other instances. Only the IP address is used, since all instances use
    /// the same port.
    pub seeds: Vec<String>,
    /// Interval between two gossip digests, in milliseconds.
    #[serde(default = "default_digest_every_ms")]
    pub digest_every_ms: u64,
    /// Secret key for the fingerprints of requests, the same on all instances. Without knowing
    /// it, nobody can check guessed contents against the fingerprints in logs.
    #[serde(default)]
    pub fingerprint_secret: String,
}

/// Returns the default interval: four digests per second.
fn default_digest_every_ms() -> u64 {
    250
}

/// Bounds that the deployment guarantees.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the first stop signal until the process is killed, in seconds.
    pub grace_s: f64,
    /// Time after which a leaving worker must get no more work, in milliseconds.
    pub drain_ms: u64,
    /// Time within which a change of the configuration must be in force, in milliseconds.
    pub configuration_ms: u64,
    /// Minimum time between the orders of two successive lease holders, in milliseconds.
    pub lease_ms: u64,
    /// Retry budget as a ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries that are allowed in addition to the ratio, over all instances together.
    pub retry_allowance_count: f64,
    /// Window over which both parts of the retry budget are counted, in seconds.
    pub retry_window_s: f64,
    /// Whether a revoked API key must be rejected after `revocation_ms` even by an instance that
    /// cannot know of the revocation. Otherwise only the time until a change of the configuration
    /// is in force is bounded.
    pub is_revocation_strict: bool,
    /// Time after which a revoked API key must be rejected, in milliseconds.
    pub revocation_ms: u64,
    /// Window over which the use of a client account's limit is counted, in seconds.
    pub limit_window_s: f64,
    /// Use that is tolerated beyond a limit, as a share of what the limit allows per window.
    pub limit_excess_share: f64,
    /// Further use that is tolerated in addition to that share, in the units of the limit.
    pub limit_allowance: f64,
    /// Time after which a failure domain under evacuation must get no more work, in milliseconds.
    pub evacuation_ms: u64,
    /// Requests that are tolerated at a cold worker in one second, as a multiple of the rate that
    /// it can handle.
    pub cold_excess_ratio: f64,
    /// Requests that are tolerated in one second in addition to that multiple.
    pub cold_allowance_count: f64,
}

impl BoundSettings {
    /// Checks that the bounds are in range. Otherwise returns the key of the first one that is
    /// not.
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

    /// Returns the use that is tolerated beyond the limits of client accounts.
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

/// Logging.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Whether to write no logs.
    pub is_silent: bool,
}

/// Error in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read or parsed.
    #[error(transparent)]
    File(#[from] FileError),
    /// A bound is out of range.
    #[error("{file}: bounds.{key}: must be more than zero")]
    Bound {
        /// The file.
        file: String,
        /// Key of the bound.
        key: &'static str,
    },
    /// A resource is out of range.
    #[error("{file}: resources.{key}: must be more than zero")]
    Resource {
        /// The file.
        file: String,
        /// Key of the resource.
        key: &'static str,
    },
    /// The failure domains are inconsistent.
    #[error("{file}: instance.failure_domains: {source}")]
    Topology {
        /// The file.
        file: String,
        /// Description of the inconsistency.
        source: TopologyError,
    },
    /// There is no adapter of the given name.
    #[error("{file}: platform.adapter: {given:?} is not one of {valid}")]
    Adapter {
        /// The file.
        file: String,
        /// Name that was given.
        given: String,
        /// Names of the adapters that exist.
        valid: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
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
        settings
            .resources
            .check()
            .map_err(|key| SettingsError::Resource {
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
