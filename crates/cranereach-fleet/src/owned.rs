//! Requests open at the workers that this instance owns, as all instances tell it.
//!
//! Each worker has one owner among the instances (see [`crate::membership`]). Whoever
//! is about to send a request asks the owners of a few workers how these stand, and
//! tells the chosen worker's owner when the request is sent, when its prompt has been
//! read and when it ends. So the owner knows the load of its worker to within the way
//! of a datagram, and what a worker kept, failed and took long for is known to all,
//! at a cost that grows with the worker's own requests alone.
//!
//! Nothing here is agreed on. An owner that is new knows little for a second or two,
//! lost messages age out, and whoever gets no answer goes by what it knows itself.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::health::Health;
use crate::load::Load;
use crate::load::RANK_COUNT;
use crate::pauses::Place;
use crate::pausing::PauseMonitor;
use crate::prefixes::KeptPrefixes;
use crate::prefixes::PromptPart;
use crate::reading_plan::ReadingPlan;

/// Time for which a request counts as waiting beyond what was predicted, in
/// milliseconds: then the word that it was read must have been lost.
const LOST_MESSAGE_SLACK_MS: u64 = 1_000;

/// How many times the predicted time that holds for.
const LOST_MESSAGE_FACTOR: f64 = 4.0;

/// How many times longer than predicted a begin may take before a request that its
/// caller gives up speaks against the worker.
const STALLED_FACTOR: f64 = 3.0;

/// Time by which it may take longer besides, in milliseconds.
const STALLED_SLACK_MS: f64 = 1_000.0;

/// Requests at one worker that are remembered at most.
const OPEN_MAX_COUNT: usize = 1_024;

/// Workers that are remembered at most: none is asked about by so many.
const WORKER_MAX_COUNT: usize = 1_024;

/// Time after which a worker that nobody asks about is forgotten, in milliseconds.
const IDLE_EVICTION_MS: u64 = 30_000;

/// Part of the old pace that one more answer leaves; some five answers count.
const SLOWDOWN_DECAY_FACTOR: f64 = 0.8;

/// Time after which half of a worker's deviation from its pace is forgotten, in
/// milliseconds, so that a slow worker is tried again.
const SLOWDOWN_HALF_LIFE_MS: f64 = 4_000.0;

/// Least and most that one answer's pace counts for.
const SLOWDOWN_RATIO_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Time that every answer may take beyond its prediction without saying anything of
/// its worker's pace, in milliseconds.
const SLOWDOWN_SLACK_MS: f64 = 30.0;

/// A request that is sent to a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Opening {
    /// Rank of urgency.
    pub rank: u8,
    /// Time to read its prompt, in milliseconds.
    pub unread_ms: f32,
    /// Time for which it is expected to keep a slot, in milliseconds.
    pub stay_ms: f32,
    /// Tokens that it may come to hold.
    pub held_tokens: u32,
    /// Time after which it is over whatever happens, in milliseconds.
    pub ends_within_ms: u32,
    /// Longest pause that streams of the worker's service may make, in milliseconds;
    /// zero if they may make any.
    pub gap_aim_ms: u32,
    /// Tokens that an event of those streams holds; zero if that isn't known.
    pub event_tokens: u32,
    /// Time for which it is held back before it is sent, in milliseconds.
    pub send_in_ms: u32,
    /// Whether it runs apart from others under which workers ended.
    pub runs_alone: bool,
}

/// Longest time that is believed of a request, in milliseconds.
const REPORTED_TIME_MAX_MS: f32 = 600_000.0;

impl Opening {
    /// Returns it with times that no request takes cut off, as a stranger may tell.
    fn bounded(self) -> Self {
        let bounded_ms = |reported_ms: f32| {
            let finite_ms = if reported_ms.is_finite() {
                reported_ms
            } else {
                0.0
            };
            finite_ms.clamp(0.0, REPORTED_TIME_MAX_MS)
        };
        Self {
            unread_ms: bounded_ms(self.unread_ms),
            stay_ms: bounded_ms(self.stay_ms),
            ends_within_ms: self.ends_within_ms.min(REPORTED_TIME_MAX_MS as u32),
            send_in_ms: self.send_in_ms.min(REPORTED_TIME_MAX_MS as u32),
            ..self
        }
    }
}

/// How a request at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its answer was whole.
    Whole,
    /// Its answer was whole, with a pause longer than its route aims at.
    Paused,
    /// It failed after it was sent.
    Failed,
    /// The worker could not be reached.
    Unreachable,
    /// It says nothing of the worker: the caller left, or the worker put it back.
    Neutral,
}

/// What an owner says of its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Requests at the worker.
    pub load: Load,
    /// Leading parts of the prompt that it has probably kept.
    pub kept_part_count: usize,
    /// How many times longer than predicted it takes to begin.
    pub pace_ratio: f64,
    /// Share of the calls that failed lately.
    pub failed_share: f64,
    /// Whether calls should go elsewhere for now.
    pub is_aside: bool,
    /// Whether a request is there that runs apart from others under which workers ended.
    pub has_suspect: bool,
    /// Time until the prompt is to be sent, so that no stream pauses for too long by it,
    /// in milliseconds; mostly none.
    pub send_in_ms: f64,
    /// Longest pause between two pieces that the prompt's reading makes in the streams
    /// that run, as predicted, in milliseconds; zero where nothing is predicted.
    pub pause_ms: f64,
}

/// One request, and who sent it.
type Ticket = (u32, u64);

/// A request that is open at a worker.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    request: Opening,
    /// Until when it counts as waiting without word, in milliseconds; none once read.
    waiting_until_ms: Option<u64>,
    begun_at_ms: u64,
    /// What its begin was predicted to take, in milliseconds.
    predicted_ms: f64,
    /// When it counts as over without word, in milliseconds.
    expires_at_ms: u64,
}

impl OpenRequest {
    /// Whether the worker should have begun long ago and hasn't.
    fn is_stalled(&self, now_ms: u64) -> bool {
        let allowed_ms = self.predicted_ms * STALLED_FACTOR + STALLED_SLACK_MS;
        self.waiting_until_ms.is_some() && (now_ms - self.begun_at_ms) as f64 > allowed_ms
    }
}

/// A worker that this instance owns.
#[derive(Clone, Debug)]
struct OwnedWorker {
    open: HashMap<Ticket, OpenRequest>,
    kept: KeptPrefixes,
    health: Health,
    pace_ratio: f64,
    slowdown_updated_at_ms: u64,
    pause_monitor: PauseMonitor,
    plan: ReadingPlan,
    used_at_ms: u64,
}

impl Default for OwnedWorker {
    fn default() -> Self {
        Self {
            open: HashMap::new(),
            kept: KeptPrefixes::default(),
            health: Health::default(),
            pace_ratio: 1.0,
            slowdown_updated_at_ms: 0,
            pause_monitor: PauseMonitor::default(),
            plan: ReadingPlan::default(),
            used_at_ms: 0,
        }
    }
}

/// All workers that this instance owns, by their key.
///
/// ```
/// use cranereach_fleet::owned::Opening;
/// use cranereach_fleet::owned::OwnedWorkers;
///
/// let mut owned = OwnedWorkers::default();
/// let opening = Opening { unread_ms: 100.0, ends_within_ms: 5_000, ..Opening::default() };
/// owned.begun(1_000, 7, (1, 1), opening, &[]);
/// assert_eq!(owned.standing(1_010, 7, &[], 100.0).load.open_count, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnedWorkers {
    by_key: HashMap<u64, OwnedWorker>,
}

impl OwnedWorkers {
    /// Returns how a worker stands for a prompt that takes a time to read.
    pub fn standing(
        &mut self,
        now_ms: u64,
        worker: u64,
        parts: &[u64],
        reading_ms: f64,
    ) -> Standing {
        let Some(known) = self.worker_entry(now_ms, worker) else {
            return Standing {
                pace_ratio: 1.0,
                ..Standing::default()
            };
        };
        let load = known.load(now_ms);
        let place = known.schedule(now_ms, reading_ms);
        Standing {
            load,
            send_in_ms: place.at_ms - now_ms as f64,
            kept_part_count: known.kept.kept_part_count(parts),
            pace_ratio: known.pace_ratio(now_ms),
            failed_share: known.health.failed_share(),
            is_aside: known.health.is_aside(now_ms),
            has_suspect: known.open.values().any(|open| open.request.runs_alone),
            pause_ms: place.pause_ms,
        }
    }

    /// Returns how many leading parts of a prompt a worker has probably kept.
    pub fn kept_part_count(&self, worker: u64, parts: &[u64]) -> usize {
        let known = self.by_key.get(&worker);
        known.map_or(0, |known| known.kept.kept_part_count(parts))
    }

    /// Returns how a worker stands for a call that may be sent elsewhere should it
    /// fail: now and then one such call is let through to a worker that is put aside.
    pub fn standing_for_repeatable(
        &mut self,
        now_ms: u64,
        worker: u64,
        parts: &[u64],
        reading_ms: f64,
    ) -> Standing {
        let mut standing = self.standing(now_ms, worker, parts, reading_ms);
        if let (true, Some(known)) = (standing.is_aside, self.by_key.get_mut(&worker)) {
            standing.is_aside = !known.health.may_probe_aside(now_ms);
        }
        standing
    }

    /// Notes that a request is sent to a worker.
    pub fn begun(
        &mut self,
        now_ms: u64,
        worker: u64,
        ticket: Ticket,
        request: Opening,
        parts: &[PromptPart],
    ) {
        let request = request.bounded();
        let Some(known) = self.worker_entry(now_ms, worker) else {
            return;
        };
        if known.open.len() >= OPEN_MAX_COUNT {
            return;
        }
        let load = known.load(now_ms);
        let ahead_ms = load.ahead_ms(usize::from(request.rank));
        let reading_ms = f64::from(request.unread_ms);
        known
            .plan
            .allow(f64::from(request.gap_aim_ms), request.event_tokens);
        let scaled_ms = reading_ms * known.pace_ratio(now_ms);
        let send_delay_ms = f64::from(request.send_in_ms);
        let at_ms = now_ms as f64 + send_delay_ms;
        known.plan.sent(now_ms, ticket, at_ms, scaled_ms);
        let predicted_ms = ahead_ms.max(send_delay_ms) + reading_ms;
        let lost_after_ms = (predicted_ms * LOST_MESSAGE_FACTOR) as u64 + LOST_MESSAGE_SLACK_MS;
        let open = OpenRequest {
            request,
            waiting_until_ms: Some(now_ms + lost_after_ms),
            begun_at_ms: now_ms,
            predicted_ms,
            expires_at_ms: now_ms + u64::from(request.ends_within_ms),
        };
        known.open.insert(ticket, open);
        known.kept.sent(now_ms, parts);
    }

    /// Notes that a worker has read a request's prompt after a time.
    pub fn read(&mut self, now_ms: u64, worker: u64, ticket: Ticket, took_ms: f64) {
        let Some(known) = self.worker_entry(now_ms, worker) else {
            return;
        };
        let Some(open) = known.open.get_mut(&ticket) else {
            return;
        };
        open.waiting_until_ms = None;
        let predicted_ms = open.predicted_ms;
        known.plan.read(now_ms, ticket);
        known.record_slowdown(now_ms, predicted_ms, took_ms);
    }

    /// Notes that a request at a worker has ended.
    pub fn ended(&mut self, now_ms: u64, worker: u64, ticket: Ticket, outcome: Outcome) {
        let Some(known) = self.worker_entry(now_ms, worker) else {
            return;
        };
        let open = known.open.remove(&ticket);
        known.plan.ended(now_ms, ticket);
        let is_stalled = open.is_some_and(|open| open.is_stalled(now_ms));
        match outcome {
            Outcome::Neutral if is_stalled => known.health.failed(now_ms),
            Outcome::Whole | Outcome::Paused => {
                known.health.reached();
                known.health.succeeded(now_ms);
                known
                    .pause_monitor
                    .record_answer(now_ms, outcome == Outcome::Paused);
            }
            Outcome::Failed => known.health.failed(now_ms),
            Outcome::Unreachable => known.health.unreachable(now_ms),
            Outcome::Neutral => {}
        }
    }

    /// Returns a worker; none if too many are known already.
    fn worker_entry(&mut self, now_ms: u64, worker: u64) -> Option<&mut OwnedWorker> {
        if self.by_key.len() >= WORKER_MAX_COUNT && !self.by_key.contains_key(&worker) {
            self.by_key
                .retain(|_, known| now_ms < known.used_at_ms + IDLE_EVICTION_MS);
            if self.by_key.len() >= WORKER_MAX_COUNT {
                return None;
            }
        }
        let known = self.by_key.entry(worker).or_default();
        known.used_at_ms = now_ms;
        Some(known)
    }
}

impl OwnedWorker {
    /// Sums the requests up, those left out that must be over.
    fn load(&mut self, now_ms: u64) -> Load {
        self.open.retain(|_, open| now_ms < open.expires_at_ms);
        let mut load = Load::default();
        for open in self.open.values() {
            let rank = usize::from(open.request.rank).min(RANK_COUNT - 1);
            load.open_count += 1;
            load.stay_ms += f64::from(open.request.stay_ms);
            load.held_tokens += f64::from(open.request.held_tokens);
            if open
                .waiting_until_ms
                .is_some_and(|until_ms| now_ms < until_ms)
            {
                load.waiting_count[rank] += 1;
                load.unread_ms[rank] += f64::from(open.request.unread_ms);
            }
        }
        load
    }

    /// Returns the place of a prompt: at once unless the worker's streams pause.
    fn schedule(&self, now_ms: u64, reading_ms: f64) -> Place {
        let scaled_ms = reading_ms * self.pace_ratio(now_ms);
        if self.pause_monitor.needs_scheduling(now_ms) {
            self.plan.place(now_ms, scaled_ms)
        } else {
            self.plan.at_once(now_ms, scaled_ms)
        }
    }

    /// Takes how long a begin took against its prediction.
    fn record_slowdown(&mut self, now_ms: u64, predicted_ms: f64, took_ms: f64) {
        let allowed_ms = predicted_ms + SLOWDOWN_SLACK_MS;
        let ratio = (took_ms / allowed_ms).clamp(SLOWDOWN_RATIO_BOUNDS.0, SLOWDOWN_RATIO_BOUNDS.1);
        let before = self.pace_ratio(now_ms);
        self.pace_ratio = before * SLOWDOWN_DECAY_FACTOR + ratio * (1.0 - SLOWDOWN_DECAY_FACTOR);
        self.slowdown_updated_at_ms = now_ms;
    }

    /// Returns how many times longer than predicted the worker takes to begin; one
    /// that is faster counts as one that is not.
    fn pace_ratio(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.slowdown_updated_at_ms) as f64;
        let kept = 0.5_f64.powf(passed_ms / SLOWDOWN_HALF_LIFE_MS);
        1.0 + (self.pace_ratio - 1.0).max(0.0) * kept
    }
}
