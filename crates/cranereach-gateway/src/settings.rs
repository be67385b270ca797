//! Settings of an instance that serves declared routes.
//!
//! Every default stands here. A platform may fill the file from a template;
//! unknown keys are refused.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::adapter;
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
        Ok(settings)
    }
}
