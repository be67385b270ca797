//! Load of one worker, and what it means for one more request.
//!
//! A worker runs a limited number of requests at once, its slots. Each request occupies a
//! slot from the end of its prefill until its answer ends; prompts are prefilled one at a
//! time, interleaved with the decode steps of running answers.

/// Share of the longest allowed pause that prefill may use: decoding the tokens of an event
/// takes time itself, and more requests are under way than this instance knows of.
const PREFILL_SHARE_OF_GAP: f64 = 0.4;

/// Number of priority ranks that are told apart; all lower ranks count as the last.
pub const RANK_COUNT: usize = 3;

/// Load of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that have not ended.
    pub open_count: u32,
    /// Open requests that have not begun to answer, by rank.
    pub waiting_count: [u32; RANK_COUNT],
    /// Total prefill time of the prompts not prefilled yet, in milliseconds, by rank;
    /// workers start the more urgent ones first.
    pub unread_ms: [f64; RANK_COUNT],
    /// Sum of the times for which the requests are expected to occupy a slot, in
    /// milliseconds.
    pub stay_ms: f64,
    /// Maximum number of tokens that the requests may come to hold in memory.
    pub held_tokens: f64,
}

impl Load {
    /// Returns the expected wait for a slot for one more request of a rank, in
    /// milliseconds, if the worker has `slot_count` slots.
    ///
    /// Running requests, and waiting ones that are at least as urgent, need slots before
    /// it. With all slots taken, one becomes free each time that a running request ends.
    pub fn slot_wait_ms(&self, rank: usize, slot_count: u32) -> f64 {
        if slot_count == 0 {
            return 0.0;
        }
        let last = rank.min(RANK_COUNT - 1);
        let waiting: u32 = self.waiting_count.iter().sum();
        let served_first: u32 = self.waiting_count[..=last].iter().sum();
        let before = self.open_count.saturating_sub(waiting) + served_first;
        let needed_ends = (before + 1).saturating_sub(slot_count);
        f64::from(needed_ends) * self.slot_turnover_ms(slot_count)
    }

    /// Returns the mean time between two slots becoming free while all are taken, in
    /// milliseconds.
    fn slot_turnover_ms(&self, slot_count: u32) -> f64 {
        let mean_stay_ms = self.stay_ms / f64::from(self.open_count.max(1));
        mean_stay_ms / f64::from(slot_count.max(1))
    }

    /// Returns the cost of the pauses that one more prefill causes in running answers: the
    /// excess over the allowed share, in milliseconds, summed over the answers.
    ///
    /// Prompts are prefilled in chunks between decode steps, so an event of several tokens
    /// is delayed by all prefill in the meantime.
    pub(crate) fn prefill_pause_cost_ms(&self, reading_ms: f64, gap_aim_ms: Option<f64>) -> f64 {
        let Some(gap_aim_ms) = gap_aim_ms else {
            return 0.0;
        };
        let waiting: u32 = self.waiting_count.iter().sum();
        let running = self.open_count.saturating_sub(waiting);
        let pause_ms = self.ahead_ms(usize::MAX) + reading_ms;
        let excess_ms = (pause_ms - gap_aim_ms * PREFILL_SHARE_OF_GAP).max(0.0);
        f64::from(running) * excess_ms
    }

    /// Returns the cost of occupying one more slot, in milliseconds: the mean time until a
    /// slot becomes free, times an estimate of the probability that another request has to
    /// wait for one.
    pub(crate) fn slot_contention_ms(&self, slot_count: u32) -> f64 {
        if slot_count == 0 {
            return 0.0;
        }
        let share = (f64::from(self.open_count) / f64::from(slot_count)).min(1.0);
        self.slot_turnover_ms(slot_count) * share * share
    }

    /// Returns the prefill time of the prompts that a worker starts before a request of a
    /// rank, in milliseconds.
    pub fn ahead_ms(&self, rank: usize) -> f64 {
        let last = rank.min(RANK_COUNT - 1);
        self.unread_ms[..=last].iter().sum()
    }
}

/// Load that a worker reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running_count: u32,
    /// Waiting requests.
    pub waiting_count: u32,
}
