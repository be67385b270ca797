//! Snapshots: declarations resolved for lookups on the data path.
//!
//! A snapshot is built once per configuration version and is immutable afterwards.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::codes::ResultCode;
use crate::declarations::ClientAccount;
use crate::declarations::Declarations;
use crate::declarations::Model;
use crate::declarations::Pool;
use crate::declarations::PoolKind;
use crate::declarations::Template;
use crate::names::PoolName;
use crate::names::TargetName;

mod fault;
mod grant;

pub use self::fault::Fault;
pub use self::fault::Place;
use self::fault::duplicate_name;
use self::fault::fault;
use self::fault::join_sorted;
pub use self::grant::Grant;
pub use self::grant::KeyHash;

/// Resolved configuration of one version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Version in the head row; zero before any version was accepted.
    pub version: u64,
    /// Grants by key hash.
    pub grants: HashMap<KeyHash, Arc<Grant>>,
    /// Models by name.
    pub models: HashMap<TargetName, Model>,
    /// Pools by name.
    pub pools: HashMap<PoolName, Pool>,
}

impl Snapshot {
    /// Resolves declarations, or returns every fault in them.
    ///
    /// ```
    /// use cranereach_core::declarations::Declarations;
    /// use cranereach_core::snapshot::Snapshot;
    ///
    /// let snapshot = Snapshot::resolve(&Declarations::default(), 7).unwrap();
    /// assert_eq!(snapshot.version, 7);
    /// ```
    pub fn resolve(declared: &Declarations, version: u64) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut snapshot = Self {
            version,
            ..Self::default()
        };
        snapshot.add_pools(declared, &mut faults);
        snapshot.add_models(declared, &mut faults);
        let templates = index_templates(&snapshot, declared, &mut faults);
        snapshot.add_accounts(declared, &templates, &mut faults);
        if faults.is_empty() {
            Ok(snapshot)
        } else {
            Err(faults)
        }
    }

    /// Returns the grant of a key.
    pub fn grant(&self, key: &str) -> Option<&Arc<Grant>> {
        self.grants.get(&KeyHash::of(key))
    }

    /// Returns the pool that serves a target.
    pub fn pool_of(&self, target: &TargetName) -> Option<&Pool> {
        if let Some(model) = self.models.get(target) {
            return self.pools.get(&model.pool);
        }
        self.pools.get(&PoolName::from(target.as_str()))
    }

    /// Returns the plain pool with the longest path prefix that matches a path.
    pub fn plain_pool(&self, path: &str) -> Option<&Pool> {
        self.pools
            .values()
            .filter(|pool| {
                pool.path_prefix
                    .as_deref()
                    .is_some_and(|prefix| is_under_prefix(path, prefix))
            })
            .max_by_key(|pool| pool.path_prefix.as_ref().map_or(0, String::len))
    }

    /// Returns the memory of a model including its base, in bytes.
    pub fn memory_with_base_bytes(&self, target: &TargetName) -> u64 {
        let Some(model) = self.models.get(target) else {
            return 0;
        };
        let base = model.base.as_ref().and_then(|base| self.models.get(base));
        model.memory_bytes + base.map_or(0, |base| base.memory_bytes)
    }

    /// Adds the pools and checks them.
    fn add_pools(&mut self, declared: &Declarations, faults: &mut Vec<Fault>) {
        for pool in &declared.pools {
            if self.pools.insert(pool.name.clone(), pool.clone()).is_some() {
                faults.push(duplicate_name("pools", pool.name.as_str()));
            }
            let prefix = pool.path_prefix.as_deref();
            if pool.kind == PoolKind::Plain
                && !prefix.is_some_and(|p| p.starts_with('/') && p.len() > 1)
            {
                let detail = "a plain pool needs a path_prefix such as \"/ledger\"".to_owned();
                faults.push(fault(
                    ResultCode::UnknownKey,
                    "pools",
                    pool.name.as_str(),
                    "path_prefix",
                    detail,
                ));
            }
        }
    }

    /// Adds the models and checks that a worker of the pool can hold each.
    fn add_models(&mut self, declared: &Declarations, faults: &mut Vec<Fault>) {
        for model in &declared.models {
            if self
                .models
                .insert(model.name.clone(), model.clone())
                .is_some()
            {
                faults.push(duplicate_name("models", model.name.as_str()));
            }
        }
        for model in &declared.models {
            self.check_model(model, faults);
        }
    }

    /// Checks one model's pool, base and memory.
    fn check_model(&self, model: &Model, faults: &mut Vec<Fault>) {
        let name = model.name.as_str();
        if let Some(base) = model
            .base
            .as_ref()
            .filter(|base| !self.models.contains_key(*base))
        {
            let detail = format!(
                "no model {base}; declared: {}",
                join_sorted(self.models.keys())
            );
            faults.push(fault(
                ResultCode::UnknownModel,
                "models",
                name,
                "base",
                detail,
            ));
        }
        let Some(pool) = self.pools.get(&model.pool) else {
            let detail = format!(
                "no pool {}; declared: {}",
                model.pool,
                join_sorted(self.pools.keys())
            );
            faults.push(fault(
                ResultCode::UnknownPool,
                "models",
                name,
                "pool",
                detail,
            ));
            return;
        };
        let needed_bytes = self.memory_with_base_bytes(&model.name);
        if needed_bytes > pool.worker_memory_bytes {
            let detail = format!(
                "needs {needed_bytes} bytes including its base, but a worker of pool {} has {} bytes",
                pool.name, pool.worker_memory_bytes
            );
            faults.push(fault(
                ResultCode::BeyondMemory,
                "models",
                name,
                "memory_bytes",
                detail,
            ));
        }
    }

    /// Adds the accounts with grants resolved from their templates.
    fn add_accounts(
        &mut self,
        declared: &Declarations,
        templates: &HashMap<&str, &Template>,
        faults: &mut Vec<Fault>,
    ) {
        let mut seen = BTreeSet::new();
        for account in &declared.accounts {
            if !seen.insert(&account.name) {
                faults.push(duplicate_name("accounts", account.name.as_str()));
            }
            let Some(template) = templates.get(account.template.as_str()) else {
                let detail = format!(
                    "no template {}; declared: {}",
                    account.template,
                    join_sorted(templates.keys())
                );
                faults.push(fault(
                    ResultCode::UnknownTemplate,
                    "accounts",
                    account.name.as_str(),
                    "template",
                    detail,
                ));
                continue;
            };
            let grant = Arc::new(self.resolve_grant(account, template, faults));
            self.bind_keys(account, &grant, faults);
        }
    }

    /// Resolves a template with the parameters of an account.
    fn resolve_grant(
        &self,
        account: &ClientAccount,
        template: &Template,
        faults: &mut Vec<Fault>,
    ) -> Grant {
        let name = account.name.as_str();
        let mut targets = BTreeSet::new();
        for entry in &template.models {
            match model_name(entry, account) {
                Some(model) if self.models.contains_key(&model) => {
                    targets.insert(model);
                }
                Some(model) => {
                    let detail = format!(
                        "no model {model}; declared: {}",
                        join_sorted(self.models.keys())
                    );
                    faults.push(fault(
                        ResultCode::UnknownModel,
                        "accounts",
                        name,
                        "parameters",
                        detail,
                    ));
                }
                None => {
                    let detail = format!(
                        "template {} needs parameters.models[{:?}]",
                        template.name,
                        &entry[1..]
                    );
                    faults.push(fault(
                        ResultCode::MissingParameter,
                        "accounts",
                        name,
                        "parameters",
                        detail,
                    ));
                }
            }
        }
        targets.extend(
            template
                .services
                .iter()
                .map(|pool| TargetName::from(pool.as_str())),
        );
        let share = account.parameters.share.unwrap_or(template.share);
        if !(share.is_finite() && share > 0.0) {
            let detail = format!("share {share} must be a finite number above zero");
            faults.push(fault(
                ResultCode::NoShare,
                "accounts",
                name,
                "share",
                detail,
            ));
        }
        Grant {
            account: account.name.clone(),
            targets,
            class: account.parameters.class.unwrap_or(template.class),
            share,
            repeat: template.repeat,
            first_token_ms: template.first_token_ms,
            whole_answer_ms: template.whole_answer_ms,
            queue_count: template.queue_count,
        }
    }

    /// Maps an account's keys to its grant.
    fn bind_keys(&mut self, account: &ClientAccount, grant: &Arc<Grant>, faults: &mut Vec<Fault>) {
        for hex in &account.key_hashes {
            let Some(hash) = KeyHash::from_hex(hex) else {
                let detail =
                    "a key hash must have 64 hex digits; `cranereach check --hash-key` prints one"
                        .to_owned();
                faults.push(fault(
                    ResultCode::UnknownKey,
                    "accounts",
                    account.name.as_str(),
                    "key_hashes",
                    detail,
                ));
                continue;
            };
            if let Some(other) = self.grants.insert(hash, Arc::clone(grant)) {
                let detail = format!("the same key hash belongs to account {}", other.account);
                faults.push(fault(
                    ResultCode::DuplicateKey,
                    "accounts",
                    account.name.as_str(),
                    "key_hashes",
                    detail,
                ));
            }
        }
    }
}

/// Checks the templates and indexes them by name.
fn index_templates<'a>(
    snapshot: &Snapshot,
    declared: &'a Declarations,
    faults: &mut Vec<Fault>,
) -> HashMap<&'a str, &'a Template> {
    let mut templates = HashMap::new();
    for template in &declared.templates {
        if templates.insert(template.name.as_str(), template).is_some() {
            faults.push(duplicate_name("templates", &template.name));
        }
        for entry in template
            .models
            .iter()
            .filter(|entry| !entry.starts_with('$'))
        {
            if !snapshot
                .models
                .contains_key(&TargetName::from(entry.as_str()))
            {
                let detail = format!(
                    "no model {entry}; declared: {}",
                    join_sorted(snapshot.models.keys())
                );
                faults.push(fault(
                    ResultCode::UnknownModel,
                    "templates",
                    &template.name,
                    "models",
                    detail,
                ));
            }
        }
        for pool in &template.services {
            if !snapshot
                .pools
                .get(pool)
                .is_some_and(|pool| pool.kind == PoolKind::Plain)
            {
                let detail = format!(
                    "no plain pool {pool}; declared: {}",
                    join_sorted(snapshot.pools.keys())
                );
                faults.push(fault(
                    ResultCode::UnknownPool,
                    "templates",
                    &template.name,
                    "services",
                    detail,
                ));
            }
        }
    }
    templates
}

/// Returns the model that a template's entry stands for in an account.
fn model_name(entry: &str, account: &ClientAccount) -> Option<TargetName> {
    match entry.strip_prefix('$') {
        Some(parameter) => account.parameters.models.get(parameter).cloned(),
        None => Some(TargetName::from(entry)),
    }
}

/// Returns whether `path` equals `prefix` or continues it at a segment boundary.
fn is_under_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
