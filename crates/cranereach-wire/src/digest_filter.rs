//! Removal of parts from a digest that its receivers know already.
//!
//! A part is sent if it has changed significantly, or if it was last sent so long ago that
//! receivers would soon expire it. This repetition also makes up for lost datagrams.

use std::collections::HashMap;

use crate::peer::DigestPart;
use cranereach_core::cell::CellId;
use cranereach_core::names::AccountName;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;

/// Age at which an unchanged part is sent again, in milliseconds.
///
/// Receivers expire a part after 3 s, so that one lost repetition does no harm.
pub const REPEAT_AFTER_MS: u64 = 1_400;

/// Change of a demand above which it is sent, as a ratio of the demand last sent.
/// [`DEMAND_CHANGE_COUNT`] has to be exceeded too.
const DEMAND_CHANGE_RATIO: f32 = 0.25;

/// Change of a demand above which it is sent, in concurrent requests.
/// [`DEMAND_CHANGE_RATIO`] has to be exceeded too.
const DEMAND_CHANGE_COUNT: f32 = 0.5;

/// Key of a part: its kind and the entity it describes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PartKey {
    Head,
    Outstanding(WorkerId),
    Demand(TargetName),
    Served(AccountName),
    Report(WorkerId),
    Epoch(CellId),
    Leaving,
}

/// Part with the time at which it was last sent.
#[derive(Clone, Debug)]
struct SentPart {
    part: DigestPart,
    at_ms: u64,
}

/// Parts that this instance has sent to its peers.
#[derive(Clone, Debug, Default)]
pub struct DigestFilter {
    sent: HashMap<PartKey, SentPart>,
}

impl DigestFilter {
    /// Returns the parts that have to be sent now, and records them as sent.
    ///
    /// ```
    /// use cranereach_wire::peer::DigestPart;
    /// use cranereach_wire::digest_filter::DigestFilter;
    ///
    /// let mut digest_filter = DigestFilter::default();
    /// let part = DigestPart::Outstanding("w".into(), 3);
    /// assert_eq!(digest_filter.select_due(0, vec![part.clone()]).len(), 1);
    /// assert_eq!(digest_filter.select_due(100, vec![part]).len(), 0);
    /// ```
    pub fn select_due(&mut self, now_ms: u64, parts: Vec<DigestPart>) -> Vec<DigestPart> {
        self.sent
            .retain(|_, sent| now_ms.saturating_sub(sent.at_ms) < 10 * REPEAT_AFTER_MS);
        parts
            .into_iter()
            .filter(|part| self.record_if_due(now_ms, part))
            .collect()
    }

    /// Checks whether a part has to be sent, and records it as sent if so.
    fn record_if_due(&mut self, now_ms: u64, part: &DigestPart) -> bool {
        let key = key_of(part);
        let last_sent = self.sent.get(&key);
        let is_due = last_sent.is_none_or(|sent| {
            now_ms.saturating_sub(sent.at_ms) >= REPEAT_AFTER_MS || has_changed(&sent.part, part)
        });
        if is_due {
            self.sent.insert(
                key,
                SentPart {
                    part: part.clone(),
                    at_ms: now_ms,
                },
            );
        }
        is_due
    }
}

/// Returns the key of a part.
fn key_of(part: &DigestPart) -> PartKey {
    match part {
        DigestPart::Head(_) => PartKey::Head,
        DigestPart::Outstanding(worker, _) => PartKey::Outstanding(worker.clone()),
        DigestPart::Demand(demand) => PartKey::Demand(demand.target.clone()),
        DigestPart::Served(account, _) => PartKey::Served(account.clone()),
        DigestPart::Report(report) => PartKey::Report(report.worker.clone()),
        DigestPart::Epoch(cell, _) => PartKey::Epoch(cell.clone()),
        DigestPart::Leaving => PartKey::Leaving,
    }
}

/// Returns whether a part differs significantly from the one sent before.
fn has_changed(sent: &DigestPart, now: &DigestPart) -> bool {
    match (sent, now) {
        (DigestPart::Demand(sent), DigestPart::Demand(now)) => {
            let change = (sent.concurrent_count - now.concurrent_count).abs();
            let is_significant = change > DEMAND_CHANGE_COUNT
                && change > DEMAND_CHANGE_RATIO * sent.concurrent_count;
            is_significant || (sent.waiting_count > 0) != (now.waiting_count > 0)
        }
        // Totals grow with every answer, so they are sent by age only: receivers use the
        // difference of two totals, however late it comes.
        (DigestPart::Served(..), DigestPart::Served(..)) => false,
        (DigestPart::Report(sent), DigestPart::Report(now)) => {
            sent.boot_id != now.boot_id
                || sent.is_leaving != now.is_leaving
                || sent.slot_count != now.slot_count
                || sent.resident != now.resident
        }
        (sent, now) => sent != now,
    }
}
