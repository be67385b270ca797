//! Order plug-ins: who goes first within a class.
//!
//! A policy keeps one number per account, its rank, and the lowest goes next.
//! An account that becomes active again joins at the lowest active rank, so
//! that unused share is lent to others and called back, but never hoarded.

use crate::names::AccountName;

/// What a policy knows about the request at the head of an account's queue.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// The account.
    pub account: &'a AccountName,
    /// Rank of the account, from charges so far.
    pub rank: f64,
    /// Place of the request in the order of arrival.
    pub arrival_number: u64,
    /// Deadline for its start.
    pub start_by_ms: u64,
}

/// An order policy.
#[derive(Debug)]
pub struct OrderPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// What serving a cost of tokens adds to the rank of an account of a share.
    pub charge: fn(cost_tokens: f64, share: f64) -> f64,
    /// Key by which heads are compared; the lowest goes first.
    pub key: fn(&Head<'_>) -> (f64, u64),
}

inventory::collect!(&'static OrderPolicy);

/// Cost of a request in the stride policy, which counts requests alone.
const STRIDE_UNIT: f64 = 1_000.0;

/// Tokens that the deficit policy serves to an account in one round.
const DEFICIT_QUANTUM_TOKENS: f64 = 512.0;

/// Served tokens over share: fair by cost, exact.
pub static VIRTUAL_TIME: OrderPolicy = OrderPolicy {
    name: "virtual-time",
    charge: |cost_tokens, share| cost_tokens / share,
    key: |head| (head.rank, head.start_by_ms),
};

/// Requests over share (the dispatch-plane paper, "Lanes and fair-share").
pub static STRIDE: OrderPolicy = OrderPolicy {
    name: "stride",
    charge: |_, share| STRIDE_UNIT / share,
    key: |head| (head.rank, head.arrival_number),
};

/// Rounds of a quantum of tokens; arrival order within a round.
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
