//! Membership of a group of instances, and ownership of items among them.
//!
//! Membership is the platform's list, which may be out of date, filtered by the
//! peers heard from recently. Ownership uses rendezvous hashing, so a membership
//! change moves only the items of the departed or new instance.

use std::collections::HashMap;

use crate::names::InstanceId;

/// Time without a message after which a listed peer is considered gone, in milliseconds.
pub const PEER_TIMEOUT_MS: u64 = 3_000;

/// Known instances of a group.
#[derive(Clone, Debug)]
pub struct Membership {
    own: InstanceId,
    listed: Vec<InstanceId>,
    heard_at_ms: HashMap<InstanceId, u64>,
}

impl Membership {
    /// Creates a membership that contains only this instance.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            listed: Vec::new(),
            heard_at_ms: HashMap::new(),
        }
    }

    /// Replaces the list of live entry instances with the platform's.
    pub fn set_live(&mut self, live: Vec<InstanceId>) {
        self.heard_at_ms.retain(|id, _| live.contains(id));
        self.listed = live;
        self.listed.retain(|id| id != &self.own);
    }

    /// Records that a message from a peer arrived.
    pub fn record_message(&mut self, now_ms: u64, peer: &InstanceId) {
        self.heard_at_ms.insert(peer.clone(), now_ms);
    }

    /// Removes a peer that announced that it is leaving.
    pub fn remove(&mut self, peer: &InstanceId) {
        self.heard_at_ms.remove(peer);
        self.listed.retain(|id| id != peer);
    }

    /// Returns the number of other listed instances.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Returns how many listed peers were heard from within the last `within_ms`.
    pub fn heard_count(&self, now_ms: u64, within_ms: u64) -> usize {
        self.listed
            .iter()
            .filter(|id| self.heard_within(now_ms, id, within_ms))
            .count()
    }

    /// Returns the live instances of the group, including this one.
    ///
    /// ```
    /// use cranereach_core::membership::Membership;
    ///
    /// let mut membership = Membership::new("a".into());
    /// membership.set_live(vec!["a".into(), "b".into()]);
    /// assert_eq!(membership.live(0).len(), 1);
    /// membership.record_message(0, &"b".into());
    /// assert_eq!(membership.live(0).len(), 2);
    /// ```
    pub fn live(&self, now_ms: u64) -> Vec<InstanceId> {
        let mut live = vec![self.own.clone()];
        live.extend(
            self.listed
                .iter()
                .filter(|id| self.heard_within(now_ms, id, PEER_TIMEOUT_MS))
                .cloned(),
        );
        live
    }

    /// Returns whether a peer was heard from within the last `within_ms`.
    fn heard_within(&self, now_ms: u64, id: &InstanceId, within_ms: u64) -> bool {
        self.heard_at_ms
            .get(id)
            .is_some_and(|&at_ms| now_ms.saturating_sub(at_ms) < within_ms)
    }
}

/// Returns the rendezvous hash weight of `owner` for `item`.
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

/// Returns the rendezvous owner of an item, which has the highest weight.
pub fn owner<'a>(instances: &'a [InstanceId], item: &str) -> Option<&'a InstanceId> {
    instances
        .iter()
        .max_by_key(|id| rendezvous_weight(id.as_str(), item))
}
