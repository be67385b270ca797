//! Declarations by operators: pools, models, templates and client accounts.
//!
//! The types mirror the format of the declaration files; unknown keys are refused.
//! [`crate::snapshot`] resolves the references between them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::names::AccountName;
use crate::names::PoolName;
use crate::names::TargetName;

/// All declarations, from all files of the folder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// Pools of upstreams.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Models, adapters and versions.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Templates, which describe what accounts are entitled to.
    #[serde(default)]
    pub templates: Vec<Template>,
    /// Client accounts, each made from a template.
    #[serde(default)]
    pub accounts: Vec<ClientAccount>,
}

/// Kind of upstream in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services, reached under a path prefix.
    Plain,
}

/// A pool of upstreams of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Kind of its upstreams.
    pub kind: PoolKind,
    /// Whether its workers check fencing tokens; false if not declared.
    #[serde(default)]
    pub checks_fences: bool,
    /// Accelerator memory of one worker, in bytes; zero for plain services.
    #[serde(default)]
    pub worker_memory_bytes: u64,
    /// Path prefix of a plain service, such as `/ledger`.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Rules for which calls of a plain service may be repeated; the first match applies.
    #[serde(default)]
    pub repeat_rules: Vec<RepeatRule>,
}

/// Whether a call may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatable {
    /// Running the call again does no harm.
    Safe,
    /// The call must run at most once.
    Unsafe,
}

/// Rule that says whether matching calls of a plain service may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatRule {
    /// HTTP method in capitals, or `*` for any.
    pub method: String,
    /// Prefix of the path, after the pool's own prefix.
    #[serde(default)]
    pub path_start: String,
    /// Whether matching calls may be repeated.
    pub repeat: Repeatable,
}

/// A model, adapter or version that an engine can load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: TargetName,
    /// Pool whose engines can load it.
    pub pool: PoolName,
    /// Accelerator memory that it occupies, in bytes.
    pub memory_bytes: u64,
    /// Base model that must be resident on the same worker, for an adapter.
    #[serde(default)]
    pub base: Option<TargetName>,
}

/// Priority class of an account's requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Served first.
    Urgent,
    /// Served after urgent requests.
    #[default]
    Standard,
    /// Served after all others, because it can wait.
    Deferrable,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Deferrable];

    /// Returns the class's index in [`Class::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in files, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Deferrable => "deferrable",
        }
    }
}

/// What a group of accounts is entitled to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template.
    pub name: String,
    /// Models; `$slot` stands for the model that the account's parameters give for `slot`.
    #[serde(default)]
    pub models: Vec<String>,
    /// Pools of plain services.
    #[serde(default)]
    pub services: Vec<PoolName>,
    /// Priority class of the requests.
    #[serde(default)]
    pub class: Class,
    /// Fair share of the served cost, as a weight against other accounts.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Whether model calls may be repeated.
    #[serde(default = "default_repeat")]
    pub repeat: Repeatable,
    /// Latency target for the first token or byte, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Latency target for the complete answer, in milliseconds.
    #[serde(default = "default_whole_answer_ms")]
    pub whole_answer_ms: u64,
    /// Limit on waiting requests for one model or service on one entry instance.
    #[serde(default = "default_queue_count")]
    pub queue_count: u32,
}

/// Default share of a template.
fn default_share() -> f64 {
    1.0
}

/// Default for repeating model calls: they are safe to repeat.
fn default_repeat() -> Repeatable {
    Repeatable::Safe
}

/// Default latency target for the first token or byte: 2 s.
fn default_first_token_ms() -> u64 {
    2_000
}

/// Default latency target for the complete answer: 60 s.
fn default_whole_answer_ms() -> u64 {
    60_000
}

/// Default queue limit: 256 requests, about 1 s of one busy account's traffic on one instance.
fn default_queue_count() -> u32 {
    256
}

/// A client account, made from a template and parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: AccountName,
    /// Template that it is made from.
    pub template: String,
    /// Values for the parameters of the template.
    #[serde(default)]
    pub parameters: Parameters,
    /// BLAKE3 hashes of its bearer keys, in hex.
    #[serde(default)]
    pub key_hashes: Vec<String>,
}

/// One account's values for the parameters of its template.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameters {
    /// Models by slot name, without the `$`.
    #[serde(default)]
    pub models: BTreeMap<String, TargetName>,
    /// Share that overrides the template's.
    #[serde(default)]
    pub share: Option<f64>,
    /// Class that overrides the template's.
    #[serde(default)]
    pub class: Option<Class>,
}
