//! When prompts are sent to a worker whose streams pause for too long.
//!
//! A worker reads prompts between the tokens of the answers that run. Prompts that
//! follow each other without a rest make every token as slow as the reading of a long
//! prompt, so that an event of several tokens comes late. So prompts are planned in
//! bursts with rests between, in which answers get on; where few answers pause for too
//! long, all are sent at once.

/// Share of the longest pause that streams may make for which prompts are read one
/// right after the other. A step of the batch takes in what is unread, so that while
/// reading goes on each token takes as long as a long prompt: an event of several
/// tokens is in time only if it meets a rest.
const BURST_SHARE_OF_GAP: f64 = 0.6;

/// Rest between two bursts, as a share of the same pause: some steps without reading.
const REST_SHARE_OF_GAP: f64 = 0.12;

/// Share of a worker's answers that paused for too long from which it rests between
/// bursts: where events are short, reading without a rest does no harm.
const PAUSED_SHARE: f64 = 0.03;

/// Good answers that a worker is given before its share of paused ones counts.
const PAUSED_PRIOR_COUNT: f64 = 4.0;

/// Time after which half of the answers are forgotten, in milliseconds.
const PAUSED_HALF_LIFE_MS: f64 = 10_000.0;

/// Prompts that are read one right after the other.
#[derive(Clone, Copy, Debug, Default)]
struct Burst {
    starts_at_ms: f64,
    ends_at_ms: f64,
}

/// The bursts of prompts at one worker, and how its answers fare.
///
/// ```
/// use cranereach_fleet::bursts::Bursts;
///
/// let mut bursts = Bursts::default();
/// bursts.add(1_000, 400.0, 500.0, 0.0);
/// assert_eq!(bursts.send_in_ms(1_000, 100.0, 400.0), 0.0);
/// for _answer in 0..5 {
///     bursts.answered(1_000, true);
/// }
/// assert_eq!(bursts.send_in_ms(1_000, 100.0, 400.0), 460.0);
/// // A plan that reality has overtaken counts no longer.
/// assert_eq!(bursts.send_in_ms(1_000, 100.0, 0.0), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Bursts {
    /// Longest pause that streams may make, in milliseconds; zero where any will do.
    gap_aim_ms: f64,
    /// The last burst that was planned.
    last: Burst,
    /// Whole answers, those that paused for too long, and when they were counted.
    whole: f64,
    paused: f64,
    counted_at_ms: u64,
}

impl Bursts {
    /// Plans a prompt that takes a time to read, behind those that aren't read yet.
    pub fn add(&mut self, now_ms: u64, reading_ms: f64, gap_aim_ms: f64, unread_ms: f64) {
        self.gap_aim_ms = gap_aim_ms;
        self.last = self.next_burst(now_ms, reading_ms, unread_ms);
    }

    /// Returns when a prompt is to be sent, in milliseconds from now.
    pub fn send_in_ms(&self, now_ms: u64, reading_ms: f64, unread_ms: f64) -> f64 {
        if self.gap_aim_ms <= 0.0 || self.paused_share(now_ms) < PAUSED_SHARE {
            return 0.0;
        }
        let burst = self.next_burst(now_ms, reading_ms, unread_ms);
        (burst.starts_at_ms - now_ms as f64).max(0.0)
    }

    /// Returns the last burst once a prompt has been added to it, or to one after it.
    fn next_burst(&self, now_ms: u64, reading_ms: f64, unread_ms: f64) -> Burst {
        let now_ms = now_ms as f64;
        // What was planned may have been read faster than predicted.
        let with_rests_ms = unread_ms * (1.0 + REST_SHARE_OF_GAP / BURST_SHARE_OF_GAP);
        let ends_at_ms = self.last.ends_at_ms.min(now_ms + with_rests_ms);
        let last = Burst {
            starts_at_ms: self.last.starts_at_ms.min(ends_at_ms),
            ends_at_ms,
        };
        let next_from_ms = last.ends_at_ms + self.gap_aim_ms * REST_SHARE_OF_GAP;
        let is_over = now_ms >= next_from_ms;
        let added_ms = last.ends_at_ms.max(now_ms) + reading_ms - last.starts_at_ms;
        if !is_over && added_ms <= self.gap_aim_ms * BURST_SHARE_OF_GAP {
            return Burst {
                ends_at_ms: last.ends_at_ms.max(now_ms) + reading_ms,
                ..last
            };
        }
        let starts_at_ms = next_from_ms.max(now_ms);
        Burst {
            starts_at_ms,
            ends_at_ms: starts_at_ms + reading_ms,
        }
    }

    /// Counts a whole answer.
    pub fn answered(&mut self, now_ms: u64, is_paused: bool) {
        let kept = self.counted_share(now_ms);
        self.whole = self.whole * kept + 1.0;
        self.paused = self.paused * kept + if is_paused { 1.0 } else { 0.0 };
        self.counted_at_ms = now_ms;
    }

    /// Returns the share of whole answers that paused for too long lately.
    fn paused_share(&self, now_ms: u64) -> f64 {
        let kept = self.counted_share(now_ms);
        self.paused * kept / (self.whole * kept + PAUSED_PRIOR_COUNT)
    }

    /// Returns the part of the answers counted that still counts.
    fn counted_share(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.counted_at_ms) as f64;
        0.5_f64.powf(passed_ms / PAUSED_HALF_LIFE_MS)
    }
}
