//! Settings of an entry instance: one typed struct per section.
//!
//! All defaults are defined in this module. `docs/settings.sample.jsonc` documents
//! every setting, and a test loads it.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use cranereach_core::names::FailureDomain;
use cranereach_core::names::InstanceId;
use cranereach_core::order;
use cranereach_core::residency;
use cranereach_core::residency::PlanWeights;
use cranereach_core::route;
use cranereach_wire::jsonc;
use cranereach_wire::jsonc::FileError;

/// All settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and location of this instance.
    pub instance: InstanceSettings,
    /// Listen addresses.
    #[serde(default)]
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Communication between entry instances.
    pub peers: PeerSettings,
    /// Operators' access.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// Limits that protect against bad input.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Choice of policies.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Limits of the weight store.
    #[serde(default)]
    pub weight_store: WeightStoreSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity and location of this instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Id of the instance, as on the platform's instance list.
    pub id: InstanceId,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
}

/// Listen addresses; with port 0 the system chooses a port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' API, HTTP/1.1 and HTTP/2.
    pub callers: String,
    /// Operators' API, health and metrics.
    pub operators: String,
    /// Peer traffic, UDP and TCP on the same port.
    pub peers: String,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let any = "127.0.0.1:0".to_owned();
        Self {
            callers: any.clone(),
            operators: any.clone(),
            peers: any,
        }
    }
}

/// Addresses of the platform's services, each as `ip:port`, and polling intervals.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Transactional table.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// Instance list.
    pub instances: String,
    /// Polling interval of the configuration's head, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub head_every_ms: u64,
    /// Polling interval of the instance list, in milliseconds.
    #[serde(default = "default_list_ms")]
    pub list_every_ms: u64,
}

/// Default polling interval of the head: each instance reads it every 2 s.
fn default_poll_ms() -> u64 {
    2_000
}

/// Default polling interval of the list: each instance reads it every second.
fn default_list_ms() -> u64 {
    1_000
}

/// Communication between entry instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Secret from which the key that seals messages between instances is derived.
    #[serde(default)]
    pub secret: Option<String>,
    /// File that holds the secret; replaces `secret`.
    #[serde(default)]
    pub secret_file: Option<PathBuf>,
    /// Time between two digests, in milliseconds.
    #[serde(default = "default_digest_ms")]
    pub digest_every_ms: u64,
}

/// Default digest interval: five digests per second.
fn default_digest_ms() -> u64 {
    200
}

/// Operators' access.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Bearer token for `/status`; without one, all requests to `/status` are rejected.
    pub token: Option<String>,
    /// File that holds the token; replaces `token`.
    pub token_file: Option<PathBuf>,
}

/// Limits that protect against bad input.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum body size of a model call, and of a plain call whose body is buffered, in
    /// bytes.
    pub body_max_bytes: usize,
    /// Time limit for receiving a body, in milliseconds.
    pub body_within_ms: u64,
    /// Maximum size of a request's head, in bytes.
    pub header_max_bytes: usize,
    /// Time limit for receiving a request's head, in milliseconds.
    pub header_within_ms: u64,
    /// Time limit for connecting to an upstream, in milliseconds.
    pub connect_within_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1024 * 1024,
            body_within_ms: 10_000,
            header_max_bytes: 32 * 1024,
            header_within_ms: 10_000,
            connect_within_ms: 500,
        }
    }
}

/// Choice of policies, by name, and their parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Policy that orders the requests of a class.
    pub order: String,
    /// Policy that chooses a worker for a request.
    pub route: String,
    /// Policy that plans which targets are resident on which workers.
    pub residency: String,
    /// Whether a request that is not expected to start in time is rejected immediately.
    pub refuses_early: bool,
    /// Value of one more concurrently running request in the residency plan.
    pub attainment_weight: f64,
    /// Cost of one load or unload in the residency plan.
    pub move_weight: f64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let weights = PlanWeights::default();
        Self {
            order: "virtual-time".to_owned(),
            route: "sampled".to_owned(),
            residency: "marginal".to_owned(),
            refuses_early: true,
            attainment_weight: weights.attainment_weight,
            move_weight: weights.move_weight,
        }
    }
}

/// Limits of the weight store, for the whole deployment.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Maximum number of loads started per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads.
    pub loads_at_once_count: u32,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            loads_per_s: 1.5,
            loads_at_once_count: 15,
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Time after which a shutdown cuts off the requests still in flight, in
    /// milliseconds; no limit if null.
    pub limit_ms: Option<u64>,
}

/// Logging.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
        }
    }
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing is logged.
    Off,
    /// Conditions that need an operator's attention.
    Warning,
    /// One line per request, and state changes.
    Info,
    /// Everything.
    Debug,
}

/// Reason why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read or parsed.
    #[error(transparent)]
    File(#[from] FileError),
    /// A value is invalid.
    #[error("{}: {key}: {detail}", path.display())]
    Value {
        /// Path of the settings file.
        path: PathBuf,
        /// Key, qualified with its section.
        key: &'static str,
        /// Description of the fault and of the valid values.
        detail: String,
    },
}

impl Settings {
    /// Reads and checks a settings file, including the secret files it refers to.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let mut settings: Self = jsonc::read_file(path)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        read_secret_file(
            path,
            folder,
            "peers.secret_file",
            settings.peers.secret_file.as_deref(),
            &mut settings.peers.secret,
        )?;
        read_secret_file(
            path,
            folder,
            "operators.token_file",
            settings.operators.token_file.as_deref(),
            &mut settings.operators.token,
        )?;
        settings.check(path)?;
        Ok(settings)
    }

    /// Checks the constraints that the types of the values don't express.
    pub fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let fault = |key, detail| {
            Err(SettingsError::Value {
                path: path.to_owned(),
                key,
                detail,
            })
        };
        if self.peers.secret.as_deref().unwrap_or_default().is_empty() {
            return fault(
                "peers.secret",
                "must not be empty; set it, or secret_file to the path of a file that holds it"
                    .to_owned(),
            );
        }
        if order::find(&self.policy.order).is_none() {
            return fault(
                "policy.order",
                invalid_choice(&self.policy.order, &order::names()),
            );
        }
        if route::find(&self.policy.route).is_none() {
            return fault(
                "policy.route",
                invalid_choice(&self.policy.route, &route::names()),
            );
        }
        if residency::find(&self.policy.residency).is_none() {
            return fault(
                "policy.residency",
                invalid_choice(&self.policy.residency, &residency::names()),
            );
        }
        let weights = [self.policy.attainment_weight, self.policy.move_weight];
        if !weights
            .iter()
            .all(|weight| weight.is_finite() && *weight >= 0.0)
        {
            return fault(
                "policy.attainment_weight, policy.move_weight",
                "must be finite numbers that aren't negative".to_owned(),
            );
        }
        Ok(())
    }

    /// Returns the weights of the residency plan.
    pub fn weights(&self) -> PlanWeights {
        PlanWeights {
            attainment_weight: self.policy.attainment_weight,
            move_weight: self.policy.move_weight,
        }
    }
}

/// Replaces a secret with the content of its file, if a file is configured.
fn read_secret_file(
    settings_path: &Path,
    folder: &Path,
    key: &'static str,
    file: Option<&Path>,
    secret: &mut Option<String>,
) -> Result<(), SettingsError> {
    let Some(file) = file else { return Ok(()) };
    let path = folder.join(file);
    let text = fs::read_to_string(&path).map_err(|error| SettingsError::Value {
        path: settings_path.to_owned(),
        key,
        detail: format!("can't read {}: {error}", path.display()),
    })?;
    *secret = Some(text.trim().to_owned());
    Ok(())
}

/// Returns the error detail for an unknown policy name, with the valid names.
fn invalid_choice(given: &str, valid: &[&str]) -> String {
    let mut valid = valid.to_vec();
    valid.sort_unstable();
    format!(
        "unknown policy {given:?}; expected one of {}",
        valid.join(", ")
    )
}
