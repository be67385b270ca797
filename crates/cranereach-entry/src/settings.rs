//! Settings of an entry instance: one typed struct per section.
//!
//! Every default stands here. `docs/settings.sample.jsonc` documents all of
//! them, and a test loads it.

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
    /// Who and where this instance is.
    pub instance: InstanceSettings,
    /// Addresses to listen on.
    #[serde(default)]
    pub listen: ListenSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// What the entry instances share.
    pub peers: PeerSettings,
    /// Operators' access.
    #[serde(default)]
    pub operators: OperatorSettings,
    /// Limits against bad input.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Which plug-ins decide.
    #[serde(default)]
    pub policy: PolicySettings,
    /// What the weight store allows.
    #[serde(default)]
    pub weight_store: WeightStoreSettings,
    /// Planned stop.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who and where this instance is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Identity, as on the platform's list.
    pub id: InstanceId,
    /// Failure domain.
    pub failure_domain: FailureDomain,
}

/// Addresses to listen on; port 0 lets the system choose.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers, HTTP/1.1 and HTTP/2.
    pub callers: String,
    /// Operators, health and metrics.
    pub operators: String,
    /// Peers, UDP and TCP on the same port.
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

/// Where the platform is, each `ip:port`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Transactional table.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// List of instances.
    pub instances: String,
    /// Time between two reads of the configuration's head, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub head_every_ms: u64,
    /// Time between two reads of the list, in milliseconds.
    #[serde(default = "default_list_ms")]
    pub list_every_ms: u64,
}

/// Reads of the head: one in 2 s per instance.
fn default_poll_ms() -> u64 {
    2_000
}

/// Reads of the list: one a second per instance.
fn default_list_ms() -> u64 {
    1_000
}

/// What the entry instances share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Secret that seals messages between instances.
    #[serde(default)]
    pub secret: Option<String>,
    /// File that holds the secret, in its place.
    #[serde(default)]
    pub secret_file: Option<PathBuf>,
    /// Time between two digests, in milliseconds.
    #[serde(default = "default_digest_ms")]
    pub digest_every_ms: u64,
}

/// Five digests a second.
fn default_digest_ms() -> u64 {
    200
}

/// Operators' access.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Bearer token for `/status`; without one `/status` is closed.
    pub token: Option<String>,
    /// File that holds the token, in its place.
    pub token_file: Option<PathBuf>,
}

/// Limits against bad input.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest body of a model call, and of a kept plain call, in bytes.
    pub body_max_bytes: usize,
    /// Time for a body to arrive, in milliseconds.
    pub body_within_ms: u64,
    /// Largest head of a request, in bytes.
    pub header_max_bytes: usize,
    /// Time for a head to arrive, in milliseconds.
    pub header_within_ms: u64,
    /// Time to connect to an upstream, in milliseconds.
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

/// Which plug-ins decide.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Order within a class.
    pub order: String,
    /// Choice of a worker.
    pub route: String,
    /// Choice of what is resident.
    pub residency: String,
    /// Whether to refuse at once what can't start in time.
    pub refuses_early: bool,
    /// Worth of one more request running at once.
    pub attainment_weight: f64,
    /// Price of one load or unload.
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

/// What the weight store allows the whole deployment.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Loads that may begin per second.
    pub loads_per_s: f64,
    /// Loads at once.
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

/// Planned stop.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Time after which a stop cuts what is left, in milliseconds; off if null.
    pub limit_ms: Option<u64>,
}

/// Logs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least level that is written.
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
    /// Nothing.
    Off,
    /// What needs a person.
    Warning,
    /// One line per request, and changes of state.
    Info,
    /// Everything.
    Debug,
}

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read or understood.
    #[error(transparent)]
    File(#[from] FileError),
    /// A value is outside what is valid.
    #[error("{}: {key}: {detail}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// Key, with its section.
        key: &'static str,
        /// What is wrong and what would be valid.
        detail: String,
    },
}

impl Settings {
    /// Reads and checks a file, and the secret files that it names.
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

    /// Checks values that their types don't.
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
                "give a secret, or secret_file with a path to one".to_owned(),
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
                "give numbers that aren't negative".to_owned(),
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

/// Reads a secret from its file, if one is named.
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

/// Says what would have been valid.
fn invalid_choice(given: &str, valid: &[&str]) -> String {
    let mut valid = valid.to_vec();
    valid.sort_unstable();
    format!("{given:?} is not one of {}", valid.join(", "))
}
