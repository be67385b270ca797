//! Who was in touch, and so bound by promises with a time limit.

use std::collections::HashMap;

use crate::record::Asked;
use crate::record::Records;
use crate::record::Trouble;
use crate::record::Whom;

/// Time without trouble after which a gateway is in touch, in milliseconds; the
/// platform's own figure.
pub const CONTACT_MS: u64 = 4_000;

/// Records, looked at by identity and time.
#[derive(Debug)]
pub struct Seen<'a> {
    asked: HashMap<&'a str, &'a Asked>,
    troubles: &'a [Trouble],
}

impl<'a> Seen<'a> {
    /// Looks at records.
    pub fn new(records: &'a Records) -> Self {
        let asked = records.asked.iter();
        Self {
            asked: asked.map(|asked| (asked.id.as_str(), asked)).collect(),
            troubles: &records.troubles,
        }
    }

    /// Returns the request with an identity.
    pub fn asked(&self, id: &str) -> Option<&'a Asked> {
        self.asked.get(id).copied()
    }

    /// Tells whether somebody had no trouble from `CONTACT_MS` before a span until its
    /// end; planned trouble can be left out.
    pub fn is_calm(&self, whom: Whom, from_ms: u64, to_ms: u64, counts_planned: bool) -> bool {
        !self.troubles.iter().any(|trouble| {
            trouble.whom == whom
                && (counts_planned || !trouble.is_planned)
                && trouble.from_ms <= to_ms
                && from_ms <= trouble.to_ms + CONTACT_MS
        })
    }

    /// Tells whether somebody had no trouble within a span.
    pub fn is_undisturbed(&self, whom: Whom, from_ms: u64, to_ms: u64) -> bool {
        !self.troubles.iter().any(|trouble| {
            trouble.whom == whom && trouble.from_ms <= to_ms && from_ms <= trouble.to_ms
        })
    }

    /// Tells whether a gateway was in touch during a span: it ran all the while, with
    /// its link to the store and the store itself well.
    pub fn is_in_touch(&self, gateway: usize, from_ms: u64, to_ms: u64) -> bool {
        self.is_calm(Whom::Gateway(gateway), from_ms, to_ms, true)
            && self.is_calm(Whom::Store, from_ms, to_ms, true)
    }
}
