//! When an instance checks the history of versions that is kept in the store.

use super::version_history::VersionStatement;
use crate::freshness::OUTAGE_RECOVERY_MS;

/// Number of instances that check the history, the first in rank.
const CHECKING_COUNT: u64 = 3;

/// Time by which each of them waits longer than the one before, in milliseconds. The later ones find
/// that nothing is left to write, unless the first can't reach the store or knows of no gap. All
/// have written before an instance that has just started reads.
const RANK_DELAY_MS: u64 = 500;

const _: () = assert!((CHECKING_COUNT - 1) * RANK_DELAY_MS < OUTAGE_RECOVERY_MS);

/// Whether one instance has to check the history.
///
/// ```
/// use cranereach_fleet::stream_origins::{HistoryDuty, VersionStatement};
///
/// let mut duty = HistoryDuty::default();
/// duty.note(1_000, 0, vec![(7, VersionStatement::Started(1))]);
/// assert!(duty.is_due(1_000, 0));
/// assert!(!duty.is_due(1_000, 1) && duty.is_due(1_500, 1));
/// assert!(!duty.is_due(60_000, 3));
/// duty.done();
/// duty.note(5_000, 0, vec![(7, VersionStatement::Started(1))]);
/// assert!(!duty.is_due(5_000, 0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HistoryDuty {
    /// Era of the store, and what the instance stated last.
    last: (u64, Vec<(u64, VersionStatement)>),
    /// When that changed, in milliseconds; none once the history has been checked since.
    changed_at_ms: Option<u64>,
}

impl HistoryDuty {
    /// Takes what the instance states of services now, in an era of the store. Nothing is stated
    /// while the list of workers is not current.
    pub fn note(&mut self, now_ms: u64, era: u64, statements: Vec<(u64, VersionStatement)>) {
        if statements.is_empty() || (self.last.0 == era && self.last.1 == statements) {
            return;
        }
        self.last = (era, statements);
        self.changed_at_ms = Some(now_ms);
    }

    /// Whether the history has to be checked now if the instance is the first in rank.
    pub fn may_be_due(&self, now_ms: u64) -> bool {
        self.is_due(now_ms, 0)
    }

    /// Whether the history has to be checked now by an instance of a rank.
    pub fn is_due(&self, now_ms: u64, rank: u64) -> bool {
        let is_late = |at_ms: u64| now_ms >= at_ms + rank * RANK_DELAY_MS;
        rank < CHECKING_COUNT && self.changed_at_ms.is_some_and(is_late)
    }

    /// Records that the history has been checked.
    pub fn done(&mut self) {
        self.changed_at_ms = None;
    }
}
