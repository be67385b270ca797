//! Delays of an instance itself, which must not be taken for evidence about others.
//!
//! A time-out that fires here may mean that a worker or a peer is silent, or that this instance was
//! too slow to send the question or to read the answer.

use std::collections::VecDeque;

use super::load::SAMPLE_INTERVAL_MS;

/// Time for which delays are kept, in milliseconds.
const KEPT_MS: u64 = 5_000;

/// Delay below which no time-out is explained, in milliseconds. A processor share that is granted in
/// slices causes such delays all the time.
const MIN_EXPLAINING_DELAY_MS: u64 = 50;

/// Share of a measured time that the delay must have for the time to count as explained by it.
const EXPLAINING_SHARE: f64 = 0.5;

/// A time for which work was late.
#[derive(Clone, Copy, Debug)]
struct LateWork {
    until_ms: u64,
    delay_ms: u64,
    is_link_full: bool,
}

/// Recent delays of an instance.
///
/// ```
/// use cranereach_core::overload::own_delays::OwnDelays;
///
/// let mut delays = OwnDelays::default();
/// delays.add(1_000, 0, false);
/// assert!(!delays.explain(1_010, 1_000, 20));
/// delays.add(1_400, 300, false);
/// assert!(delays.explain(1_410, 1_150, 250));
/// assert!(!delays.explain(1_490, 1_410, 80));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnDelays {
    delays: VecDeque<LateWork>,
    /// Time at which the next sample is due, in milliseconds; `None` before the first.
    next_due_ms: Option<u64>,
}

impl OwnDelays {
    /// Adds a sample taken at a time, by how much it was late, and whether the link was full.
    pub fn add(&mut self, at_ms: u64, delay_ms: u64, is_link_full: bool) {
        self.next_due_ms = Some(at_ms + SAMPLE_INTERVAL_MS);
        if delay_ms >= MIN_EXPLAINING_DELAY_MS || is_link_full {
            self.delays.push_back(LateWork {
                until_ms: at_ms,
                delay_ms,
                is_link_full,
            });
        }
        while let Some(oldest) = self.delays.front()
            && oldest.until_ms + KEPT_MS < at_ms
        {
            self.delays.pop_front();
        }
    }

    /// Whether a time of `took_ms` that was measured here since `since_ms` is explained by this
    /// instance's own delay or by its full link.
    pub fn explain(&self, now_ms: u64, since_ms: u64, took_ms: u64) -> bool {
        let share_ms = (took_ms as f64 * EXPLAINING_SHARE) as u64;
        let least_ms = share_ms.max(MIN_EXPLAINING_DELAY_MS);
        let recent = self.delays.iter().rev();
        let mut recent = recent.take_while(|delay| delay.until_ms >= since_ms);
        recent.any(|delay| delay.is_link_full || delay.delay_ms >= least_ms)
            || self.overdue_ms(now_ms) >= least_ms
    }

    /// Returns for how long the next sample is overdue, in milliseconds.
    fn overdue_ms(&self, now_ms: u64) -> u64 {
        let due_ms = self.next_due_ms.unwrap_or(now_ms);
        now_ms.saturating_sub(due_ms)
    }

    /// Returns the longest delay since a time, in milliseconds.
    pub fn longest_since_ms(&self, now_ms: u64, since_ms: u64) -> u64 {
        let recent = self.delays.iter().rev();
        let recent = recent.take_while(|delay| delay.until_ms >= since_ms);
        let longest_ms = recent.map(|delay| delay.delay_ms).max();
        longest_ms.unwrap_or(0).max(self.overdue_ms(now_ms))
    }
}
