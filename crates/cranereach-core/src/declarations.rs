//! What operators declare: pools, models, templates and client accounts.
//!
//! The types mirror the files word for word; unknown keys are refused. The
//! meaning is worked out by [`crate::snapshot`].

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::names::AccountName;
use crate::names::PoolName;
use crate::names::TargetName;

/// Everything that is declared, from all files of the folder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// Pools of upstreams.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Models, adapters and versions.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Templates of entitlement.
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
    /// Whether its workers check fences; unknown means they don't.
    #[serde(default)]
    pub checks_fences: bool,
    /// Accelerator memory of one worker, in bytes; zero for plain services.
    #[serde(default)]
    pub worker_memory_bytes: u64,
    /// Path prefix of a plain service, such as `/ledger`.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Which calls of a plain service may be repeated; the first match counts.
    #[serde(default)]
    pub repeat_rules: Vec<RepeatRule>,
}

/// Whether a call may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatable {
    /// Running it again does no harm.
    Safe,
    /// It runs at most once.
    Unsafe,
}

/// Rule for the calls of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatRule {
    /// Method in capitals, or `*`.
    pub method: String,
    /// Start of the path after the pool's prefix.
    #[serde(default)]
    pub path_start: String,
    /// Whether calls that match may be repeated.
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

/// How urgent the requests of an account are.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Goes first.
    Urgent,
    /// Goes after urgent.
    #[default]
    Standard,
    /// Can wait.
    Deferrable,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Deferrable];

    /// Returns the class's place in [`Class::ALL`].
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
    /// Models; `$slot` stands for a model that the account's parameters give.
    #[serde(default)]
    pub models: Vec<String>,
    /// Plain pools.
    #[serde(default)]
    pub services: Vec<PoolName>,
    /// Class of its requests.
    #[serde(default)]
    pub class: Class,
    /// Share of served cost against other accounts.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Whether model calls may be repeated.
    #[serde(default = "default_repeat")]
    pub repeat: Repeatable,
    /// Promised time to the first token or byte, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Promised time to the whole answer, in milliseconds.
    #[serde(default = "default_whole_answer_ms")]
    pub whole_answer_ms: u64,
    /// Longest queue for one model or service on one entry instance, in requests.
    #[serde(default = "default_queue_count")]
    pub queue_count: u32,
}

/// Share of an account whose template names none.
fn default_share() -> f64 {
    1.0
}

/// Model calls are safe to repeat unless the template says otherwise.
fn default_repeat() -> Repeatable {
    Repeatable::Safe
}

/// First token within 2 s unless the template says otherwise.
fn default_first_token_ms() -> u64 {
    2_000
}

/// Whole answer within 60 s unless the template says otherwise.
fn default_whole_answer_ms() -> u64 {
    60_000
}

/// 256 waiting requests: about 1 s of one busy account on one instance.
fn default_queue_count() -> u32 {
    256
}

/// A client account: a template and its parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: AccountName,
    /// Template that it is made from.
    pub template: String,
    /// What fills the template's places.
    #[serde(default)]
    pub parameters: Parameters,
    /// BLAKE3 hashes of its bearer keys, in hex.
    #[serde(default)]
    pub key_hashes: Vec<String>,
}

/// What one account puts into its template.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameters {
    /// Models by slot name, without the `$`.
    #[serde(default)]
    pub models: BTreeMap<String, TargetName>,
    /// Share in place of the template's.
    #[serde(default)]
    pub share: Option<f64>,
    /// Class in place of the template's.
    #[serde(default)]
    pub class: Option<Class>,
}
