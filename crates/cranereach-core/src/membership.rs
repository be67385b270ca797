//! Who is alive, and which of them owns what.
//!
//! Membership is the platform's lagging list, corrected by peers heard lately.
//! Ownership follows rendezvous hashing, so a change of membership moves only
//! what the departed or new instance owns.

use std::collections::HashMap;

use crate::names::InstanceId;

/// Silence after which a listed peer counts as gone, in milliseconds.
pub const SILENT_AFTER_MS: u64 = 3_000;

/// What is known of the other instances of a group.
#[derive(Clone, Debug)]
pub struct Membership {
    own: InstanceId,
    listed: Vec<InstanceId>,
    heard_at_ms: HashMap<InstanceId, u64>,
}

impl Membership {
    /// Starts with nobody known but this instance.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            listed: Vec::new(),
            heard_at_ms: HashMap::new(),
        }
    }

    /// Takes the platform's list of live entry instances.
    pub fn list(&mut self, live: Vec<InstanceId>) {
        self.heard_at_ms.retain(|id, _| live.contains(id));
        self.listed = live;
        self.listed.retain(|id| id != &self.own);
    }

    /// Records that a peer was heard.
    pub fn heard(&mut self, now_ms: u64, peer: &InstanceId) {
        self.heard_at_ms.insert(peer.clone(), now_ms);
    }

    /// Records that a peer said that it is leaving.
    pub fn left(&mut self, peer: &InstanceId) {
        self.heard_at_ms.remove(peer);
        self.listed.retain(|id| id != peer);
    }

    /// Returns how many other instances are listed.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Returns how many listed peers were heard within a time.
    pub fn heard_count(&self, now_ms: u64, within_ms: u64) -> usize {
        self.listed
            .iter()
            .filter(|id| self.heard_within(now_ms, id, within_ms))
            .count()
    }

    /// Returns the live instances of the group, this one among them.
    ///
    /// ```
    /// use cranereach_core::membership::Membership;
    ///
    /// let mut membership = Membership::new("a".into());
    /// membership.list(vec!["a".into(), "b".into()]);
    /// assert_eq!(membership.live(0).len(), 1);
    /// membership.heard(0, &"b".into());
    /// assert_eq!(membership.live(0).len(), 2);
    /// ```
    pub fn live(&self, now_ms: u64) -> Vec<InstanceId> {
        let mut live = vec![self.own.clone()];
        live.extend(
            self.listed
                .iter()
                .filter(|id| self.heard_within(now_ms, id, SILENT_AFTER_MS))
                .cloned(),
        );
        live
    }

    /// Whether a peer was heard within a time.
    fn heard_within(&self, now_ms: u64, id: &InstanceId, within_ms: u64) -> bool {
        self.heard_at_ms
            .get(id)
            .is_some_and(|&at_ms| now_ms.saturating_sub(at_ms) < within_ms)
    }
}

/// Returns the rendezvous weight of an owner for an item.
///
/// # Panics
///
/// Never: a hash has more than eight bytes.
///
/// ```
/// use cranereach_core::membership::rendezvous_weight;
///
/// assert_eq!(rendezvous_weight("a", "x"), rendezvous_weight("a", "x"));
/// ```
pub fn rendezvous_weight(owner: &str, item: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(owner.as_bytes());
    hasher.update(&[0]);
    hasher.update(item.as_bytes());
    let hash = hasher.finalize();
    let (head, _) = hash.as_bytes().split_at(8);
    u64::from_le_bytes(head.try_into().expect("eight bytes were split off"))
}

/// Returns the owner of an item among instances.
pub fn owner<'a>(instances: &'a [InstanceId], item: &str) -> Option<&'a InstanceId> {
    instances
        .iter()
        .max_by_key(|id| rendezvous_weight(id.as_str(), item))
}
