//! Probes of quarantined parts: single requests that are sent all the same.
//!
//! A part that was blamed wrongly is never proved harmless while it is refused. So one request with
//! it is let through some time after the last end, and a complete response releases the part. If
//! another worker ends, the part is probed again after twice that time. A part under which many
//! workers ended was not blamed by chance; only an operator releases it. Parts that are tied, so
//! that requests are refused which have any of them, are probed soon: one probe tells them apart.

use super::Quarantine;
use super::SuspectKey;
use super::suspect::END_MAX_COUNT;
use super::suspect::Suspect;

/// Time from the last end under a part that was just quarantined until it is probed, in
/// milliseconds.
const PROBE_DELAY_MS: i64 = 10_000;

/// The same for a part that is tied with others, for requests with any of them.
const TIED_PROBE_DELAY_MS: i64 = 2_000;

/// Ends in a row from which on a part is not probed.
const PROBED_END_MAX_COUNT: usize = 7;

impl Suspect {
    /// Returns when the part may be probed, in milliseconds; `None` if it is not to be probed.
    fn probe_at_ms(&self, is_tied: bool) -> Option<i64> {
        let end_count = self.ends.len();
        let last_ms = self.last_end_ms().max(self.observed.probed_at_ms)?;
        if is_tied {
            return Some(last_ms + TIED_PROBE_DELAY_MS);
        }
        if end_count >= PROBED_END_MAX_COUNT {
            return None;
        }
        Some(last_ms + (PROBE_DELAY_MS << end_count.saturating_sub(END_MAX_COUNT)))
    }
}

impl Quarantine {
    /// Whether a request with a quarantined part may be sent now as a probe.
    pub fn is_probe_due(&self, now_ms: i64, part: SuspectKey) -> bool {
        let suspect = self.suspects.get(&part);
        let probe_at_ms =
            suspect.and_then(|suspect| suspect.probe_at_ms(self.verdicts.is_refused_by_tie(&part)));
        self.verdicts.is_quarantined(&part) && probe_at_ms.is_some_and(|at_ms| now_ms >= at_ms)
    }

    /// Notes that a request with a quarantined part is sent as a probe, if that is due. Only one
    /// instance may do so for each part, so that the part is probed once.
    pub fn begin_probe(&mut self, now_ms: i64, part: SuspectKey) -> bool {
        let is_due = self.is_probe_due(now_ms, part);
        if let Some(suspect) = self.suspects.get_mut(&part).filter(|_| is_due) {
            suspect.observed.probed_at_ms = Some(now_ms);
        }
        is_due
    }
}
