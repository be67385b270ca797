//! What the operator of a run declares in the store: the configuration, and evacuations.

use serde_json::json;

use super::BackEnds;
use super::lock;
use crate::schedule::DOMAINS;
use crate::schedule::KEYS;
use crate::schedule::SERVICES;
use crate::schedule::account_of;
use cranereach_platform::standin::declared;
use cranereach_platform::standin::declared::DeclaredAccount;

/// State that the operator has declared.
#[derive(Debug)]
pub(super) struct DeclaredState {
    pub(super) version: u64,
    pub(super) moved_to: &'static str,
    pub(super) revoked: [bool; KEYS.len()],
    pub(super) evacuated: [bool; DOMAINS.len()],
}

impl BackEnds {
    /// Points the `moved` route at the other service, and returns that service.
    pub fn move_route(&self) -> &'static str {
        let mut declared = lock(&self.declared);
        let is_first = declared.moved_to == SERVICES[0];
        declared.moved_to = SERVICES[usize::from(is_first)];
        declared.version += 3;
        let moved_to = declared.moved_to;
        drop(declared);
        self.write_configuration();
        moved_to
    }

    /// Revokes a key; returns whether it was valid before.
    pub fn revoke(&self, key: usize) -> bool {
        let mut declared = lock(&self.declared);
        let was_revoked = std::mem::replace(&mut declared.revoked[key], true);
        declared.version += 1;
        drop(declared);
        self.write_configuration();
        !was_revoked
    }

    /// Requests the evacuation of a failure domain; returns false if it was already requested.
    pub fn evacuate(&self, domain: usize) -> bool {
        let was_requested = std::mem::replace(&mut lock(&self.declared).evacuated[domain], true);
        if !was_requested {
            self.store.put("op", &evacuation_key(domain), &json!({}));
        }
        !was_requested
    }

    /// Cancels the evacuation of a failure domain.
    pub fn cancel_evacuation(&self, domain: usize) {
        lock(&self.declared).evacuated[domain] = false;
        self.store.remove("op", &evacuation_key(domain));
    }

    /// Writes the currently declared configuration to the store.
    pub(super) fn write_configuration(&self) {
        let declared = lock(&self.declared);
        let accounts = [0, 1].map(|first| DeclaredAccount {
            name: account_of(first).to_owned(),
            keys: (first..KEYS.len())
                .step_by(2)
                .filter(|key| !declared.revoked[*key])
                .map(|key| KEYS[key].to_owned())
                .collect(),
        });
        let written = declared::configuration(declared.version, declared.moved_to, &accounts);
        self.store.put("op", "config", &written);
    }
}

/// Returns the key of the store row that requests an evacuation.
fn evacuation_key(domain: usize) -> String {
    format!("evacuate/{}", DOMAINS[domain].0)
}
