//! Queue order policies: which account is served next within a class.
//!
//! Each account has a rank that grows with the policy's charges, and a policy
//! selects the queue head with the lowest key. An account that becomes active
//! again joins with at least the lowest active rank: others may use its share
//! while it is idle, but it accumulates no credit.

use crate::names::AccountName;

/// Request at the head of an account's queue, as input for a policy.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// The account.
    pub account: &'a AccountName,
    /// Rank of the account, which grows with its charges.
    pub rank: f64,
    /// Position of the request in the order of arrival.
    pub arrival_number: u64,
    /// Deadline for starting the request.
    pub start_by_ms: u64,
}

/// Queue order policy.
#[derive(Debug)]
pub struct OrderPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Returns what serving a request of `cost_tokens` adds to the rank of an account with `share`.
    pub charge: fn(cost_tokens: f64, share: f64) -> f64,
    /// Returns the sort key of a queue head; the lowest is served first.
    pub key: fn(&Head<'_>) -> (f64, u64),
}

inventory::collect!(&'static OrderPolicy);

/// Cost of a request in the stride policy, which counts only requests.
const STRIDE_UNIT: f64 = 1_000.0;

/// Tokens per account and round in the deficit policy.
const DEFICIT_QUANTUM_TOKENS: f64 = 512.0;

/// Ranks by served tokens divided by share, which is exactly fair by cost.
pub static VIRTUAL_TIME: OrderPolicy = OrderPolicy {
    name: "virtual-time",
    charge: |cost_tokens, share| cost_tokens / share,
    key: |head| (head.rank, head.start_by_ms),
};

/// Ranks by requests divided by share (the dispatch-plane paper, "Lanes and fair-share").
pub static STRIDE: OrderPolicy = OrderPolicy {
    name: "stride",
    charge: |_, share| STRIDE_UNIT / share,
    key: |head| (head.rank, head.arrival_number),
};

/// Serves in rounds of a quantum of tokens, in order of arrival within a round.
pub static DEFICIT: OrderPolicy = OrderPolicy {
    name: "deficit",
    charge: |cost_tokens, share| cost_tokens / share,
    key: |head| {
        (
            (head.rank / DEFICIT_QUANTUM_TOKENS).floor(),
            head.arrival_number,
        )
    },
};

/// First in, first out: the baseline without fairness.
pub static FIFO: OrderPolicy = OrderPolicy {
    name: "fifo",
    charge: |_, _| 0.0,
    key: |head| (0.0, head.arrival_number),
};

inventory::submit! { &VIRTUAL_TIME }
inventory::submit! { &STRIDE }
inventory::submit! { &DEFICIT }
inventory::submit! { &FIFO }

/// Finds a policy by its name in settings.
///
/// ```
/// assert_eq!(cranereach_core::order::find("stride").unwrap().name, "stride");
/// assert!(cranereach_core::order::find("none").is_none());
/// ```
pub fn find(name: &str) -> Option<&'static OrderPolicy> {
    inventory::iter::<&'static OrderPolicy>()
        .copied()
        .find(|policy| policy.name == name)
}

/// Lists the names of all policies, for messages.
pub fn names() -> Vec<&'static str> {
    inventory::iter::<&'static OrderPolicy>()
        .map(|policy| policy.name)
        .collect()
}
