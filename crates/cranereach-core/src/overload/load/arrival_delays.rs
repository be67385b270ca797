//! Delays of what callers send on new connections.

use std::collections::VecDeque;

/// Time over which the fastest caller counts, in milliseconds.
const WINDOW_MS: u64 = 500;

/// Number of callers in that time from which it says something.
const CALLER_MIN_COUNT: usize = 3;

/// Time for which the usual time is remembered at least, in milliseconds; twice as long at most.
const USUAL_PERIOD_MS: u64 = 30_000;

/// Times from accepting connections until their first bytes were read.
///
/// Callers may take their time, and some are far away. The fastest of several tells about the way to
/// the instance, and the fastest of a long time how long it takes when nothing waits.
#[derive(Clone, Debug, Default)]
pub(super) struct ArrivalDelays {
    /// When the latest first bytes were read, and the times until then, in milliseconds.
    latest: VecDeque<(u64, u64)>,
    /// Shortest time of this period and of the one before, in milliseconds.
    usual_ms: [Option<u64>; 2],
    period_began_ms: u64,
}

impl ArrivalDelays {
    /// Adds a time, in milliseconds.
    pub(super) fn add(&mut self, now_ms: u64, took_ms: u64) {
        if now_ms >= self.period_began_ms + USUAL_PERIOD_MS {
            self.period_began_ms = now_ms;
            self.usual_ms = [None, self.usual_ms[0]];
        }
        let current = &mut self.usual_ms[0];
        *current = Some(current.map_or(took_ms, |usual_ms| usual_ms.min(took_ms)));
        self.latest.push_back((now_ms, took_ms));
        self.forget(now_ms);
    }

    /// Returns by how much the fastest caller of late was slower than usual, in milliseconds.
    pub(super) fn excess_ms(&mut self, now_ms: u64) -> u64 {
        self.forget(now_ms);
        if self.latest.len() < CALLER_MIN_COUNT {
            return 0;
        }
        let fastest_ms = self.latest.iter().map(|(_, took_ms)| *took_ms).min();
        let usual_ms = self.usual_ms.iter().flatten().copied().min();
        let usual_ms = usual_ms.unwrap_or_default();
        fastest_ms.unwrap_or_default().saturating_sub(usual_ms)
    }

    /// Drops times that are too old.
    fn forget(&mut self, now_ms: u64) {
        while let Some((at_ms, _)) = self.latest.front()
            && at_ms + WINDOW_MS < now_ms
        {
            self.latest.pop_front();
        }
    }
}
