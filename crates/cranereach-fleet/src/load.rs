//! The requests at one worker, and what they mean for one more.
//!
//! A worker runs so many requests at once. Each keeps a slot from when its prompt is
//! read until its answer ends; prompts are read one at a time, between the tokens of
//! the answers that run.

/// Share of the longest pause that reading may take up: the tokens of an event take
/// time themselves, and more requests are on their way than are known of.
const PREFILL_SHARE_OF_GAP: f64 = 0.4;

/// Ranks of urgency that are told apart; all lower ones count as the last.
pub const RANK_COUNT: usize = 3;

/// Requests at one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that have not ended.
    pub open_count: u32,
    /// Those of them that have not begun to answer, by rank.
    pub waiting_count: [u32; RANK_COUNT],
    /// Time that reading the prompts that aren't read yet takes, in milliseconds,
    /// by rank: workers begin the more urgent ones first.
    pub unread_ms: [f64; RANK_COUNT],
    /// Time for which the requests are expected to keep a slot each, summed up, in
    /// milliseconds.
    pub stay_ms: f64,
    /// Tokens that the requests may come to hold.
    pub held_tokens: f64,
}

impl Load {
    /// Returns the time until a slot is free for one more request of a rank, in
    /// milliseconds, if so many run at once.
    ///
    /// Those that run, and those that wait and go first, need slots before it. With
    /// all slots taken, one is free each time that a request of them ends.
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

    /// Returns the time between two ends of requests while all slots are taken, in
    /// milliseconds.
    fn slot_turnover_ms(&self, slot_count: u32) -> f64 {
        let mean_stay_ms = self.stay_ms / f64::from(self.open_count.max(1));
        mean_stay_ms / f64::from(slot_count.max(1))
    }

    /// Weighs the pauses that reading one more prompt makes in running answers, in
    /// milliseconds summed over them.
    ///
    /// Prompts are read in pieces between the tokens of others: an event of several
    /// tokens is held up by all that is read meanwhile.
    pub(crate) fn held_up_ms(&self, reading_ms: f64, gap_aim_ms: Option<f64>) -> f64 {
        let Some(gap_aim_ms) = gap_aim_ms else {
            return 0.0;
        };
        let waiting: u32 = self.waiting_count.iter().sum();
        let running = self.open_count.saturating_sub(waiting);
        let pause_ms = self.ahead_ms(usize::MAX) + reading_ms;
        let excess_ms = (pause_ms - gap_aim_ms * PREFILL_SHARE_OF_GAP).max(0.0);
        f64::from(running) * excess_ms
    }

    /// Weighs how near the slots are to being all taken, in milliseconds: the time
    /// of a turn, by how likely it is that one more request has to wait for one.
    pub(crate) fn crowding_ms(&self, slot_count: u32) -> f64 {
        if slot_count == 0 {
            return 0.0;
        }
        let share = (f64::from(self.open_count) / f64::from(slot_count)).min(1.0);
        self.slot_turnover_ms(slot_count) * share * share
    }

    /// Returns the reading time of what a worker begins before a request of a rank.
    pub fn ahead_ms(&self, rank: usize) -> f64 {
        let last = rank.min(RANK_COUNT - 1);
        self.unread_ms[..=last].iter().sum()
    }
}

/// What a worker said of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaidLoad {
    /// Requests that run.
    pub running_count: u32,
    /// Requests that wait.
    pub waiting_count: u32,
}
