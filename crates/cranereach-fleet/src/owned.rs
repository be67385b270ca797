//! Tracks the open requests and the health of the workers that this instance owns, as reported by
//! all instances.
//!
//! Each worker has one owner among the instances (see [`crate::membership`]). An instance that is
//! about to send a request queries the owners of a few workers, and notifies the owner of the
//! chosen worker when the request is sent, when its prompt has been prefilled and when it ends. So
//! an owner knows the load of its worker to within the latency of a datagram, and a worker's cached
//! prefixes, failures and slow answers are known to all, at a cost that grows only with the
//! worker's own requests.
//!
//! There is no consensus on any of this. A new owner knows little for a second or two, entries
//! whose messages were lost expire, and an instance that gets no reply uses what it knows itself.

mod request;

use std::collections::HashMap;

pub use self::request::Outcome;
pub use self::request::SentRequest;
use crate::health::Health;
use crate::load::Load;
use crate::load::RANK_COUNT;
use crate::pause_prediction::ScheduledSend;
use crate::pausing::PauseMonitor;
use crate::prefill_schedule::PrefillSchedule;
use crate::prefixes::CachedPrefixes;
use crate::prefixes::PromptPart;

/// Time beyond the multiple of the prediction after which a request no longer counts as waiting, in
/// milliseconds: the message that its prompt was prefilled must have been lost.
const LOST_MESSAGE_SLACK_MS: u64 = 1_000;

/// Multiple of the predicted time for which a request counts as waiting.
const LOST_MESSAGE_FACTOR: f64 = 4.0;

/// Multiple of the predicted time to first token after which a request that its caller cancels
/// counts as a failure of the worker.
const STALLED_FACTOR: f64 = 3.0;

/// Time added to that multiple, in milliseconds.
const STALLED_SLACK_MS: f64 = 1_000.0;

/// Maximum number of open requests tracked per worker.
const OPEN_MAX_COUNT: usize = 1_024;

/// Maximum number of workers tracked; an owner is never queried about this many.
const WORKER_MAX_COUNT: usize = 1_024;

/// Time without any query or notification after which a worker may be evicted, in milliseconds.
const IDLE_EVICTION_MS: u64 = 30_000;

/// Weight of the old slowdown when an answer is added; the effective window is some five answers.
const SLOWDOWN_DECAY_FACTOR: f64 = 0.8;

/// Half-life of a worker's slowdown, in milliseconds, so that a slow worker is tried again.
const SLOWDOWN_HALF_LIFE_MS: f64 = 4_000.0;

/// Bounds of the slowdown that one answer may show.
const SLOWDOWN_RATIO_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Time by which an answer may exceed its prediction without counting as slow, in milliseconds.
const SLOWDOWN_SLACK_MS: f64 = 30.0;

/// Time for which a complete answer outweighs reports that the worker can't be reached, in
/// milliseconds.
const ANSWER_OUTWEIGHS_MS: u64 = 1_000;

/// State of a worker as reported by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerStatus {
    /// Load of the open requests at the worker.
    pub load: Load,
    /// Number of leading parts of the prompt that are probably in its prefix cache.
    pub kept_part_count: usize,
    /// Ratio of the actual to the predicted time to first token, at least one.
    pub slowdown_ratio: f64,
    /// Share of recent calls that failed.
    pub failed_share: f64,
    /// Whether calls should go to other workers for now.
    pub is_aside: bool,
    /// Whether it runs a request that is suspected of crashing workers (see
    /// [`SentRequest::runs_alone`]).
    pub has_suspect: bool,
    /// Delay before the prompt is to be sent so that it makes no stream pause for too long, in
    /// milliseconds; usually zero.
    pub send_in_ms: f64,
    /// Longest predicted pause that the prefill of the prompt causes in the running streams, in
    /// milliseconds; zero where nothing is predicted.
    pub pause_ms: f64,
}

/// Identifies a request: its sender, and its number at that sender.
type Ticket = (u32, u64);

/// An open request at a worker.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    request: SentRequest,
    /// Until when it counts as waiting if no notification arrives, in milliseconds; none once its
    /// prompt has been prefilled.
    waiting_until_ms: Option<u64>,
    sent_at_ms: u64,
    /// Predicted time until its prompt is prefilled, in milliseconds.
    predicted_ms: f64,
    /// When it counts as ended if no notification arrives, in milliseconds.
    expires_at_ms: u64,
}

impl OpenRequest {
    /// Whether the answer has not begun long after its predicted time.
    fn is_stalled(&self, now_ms: u64) -> bool {
        let allowed_ms = self.predicted_ms * STALLED_FACTOR + STALLED_SLACK_MS;
        self.waiting_until_ms.is_some() && (now_ms - self.sent_at_ms) as f64 > allowed_ms
    }
}

/// State of a worker that this instance owns.
#[derive(Clone, Debug)]
struct OwnedWorker {
    open: HashMap<Ticket, OpenRequest>,
    cached_prefixes: CachedPrefixes,
    health: Health,
    slowdown_ratio: f64,
    slowdown_updated_at_ms: u64,
    pause_monitor: PauseMonitor,
    prefill_schedule: PrefillSchedule,
    last_used_ms: u64,
    /// When a request last ended with a complete answer, in milliseconds.
    answered_at_ms: Option<u64>,
}

impl Default for OwnedWorker {
    fn default() -> Self {
        Self {
            open: HashMap::new(),
            cached_prefixes: CachedPrefixes::default(),
            health: Health::default(),
            slowdown_ratio: 1.0,
            slowdown_updated_at_ms: 0,
            pause_monitor: PauseMonitor::default(),
            prefill_schedule: PrefillSchedule::default(),
            last_used_ms: 0,
            answered_at_ms: None,
        }
    }
}

/// Workers that this instance owns, by key.
///
/// ```
/// use cranereach_fleet::owned::SentRequest;
/// use cranereach_fleet::owned::OwnedWorkers;
///
/// let mut owned = OwnedWorkers::default();
/// let request = SentRequest { unread_ms: 100.0, ends_within_ms: 5_000, ..SentRequest::default() };
/// owned.request_started(1_000, 7, (1, 1), request, &[]);
/// assert_eq!(owned.status(1_010, 7, &[], 100.0).load.open_count, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnedWorkers {
    by_key: HashMap<u64, OwnedWorker>,
}

impl OwnedWorkers {
    /// Returns the state of a worker for a prompt with the given parts and prefill time.
    pub fn status(
        &mut self,
        now_ms: u64,
        worker: u64,
        parts: &[u64],
        prefill_ms: f64,
    ) -> WorkerStatus {
        let Some(state) = self.worker_entry(now_ms, worker) else {
            return WorkerStatus {
                slowdown_ratio: 1.0,
                ..WorkerStatus::default()
            };
        };
        let load = state.load(now_ms);
        let scheduled = state.schedule(now_ms, prefill_ms);
        WorkerStatus {
            load,
            send_in_ms: scheduled.at_ms - now_ms as f64,
            kept_part_count: state.cached_prefixes.kept_part_count(parts),
            slowdown_ratio: state.slowdown_ratio(now_ms),
            failed_share: state.health.failed_share(),
            is_aside: state.health.is_ejected(now_ms),
            has_suspect: state.open.values().any(|open| open.request.runs_alone),
            pause_ms: scheduled.pause_ms,
        }
    }

    /// Returns how many leading parts of a prompt are probably in a worker's prefix cache.
    pub fn kept_part_count(&self, worker: u64, parts: &[u64]) -> usize {
        let state = self.by_key.get(&worker);
        state.map_or(0, |state| state.cached_prefixes.kept_part_count(parts))
    }

    /// Returns the state of a worker for a call that may be retried at another worker: now and
    /// then, one such call is let through to a worker that calls should avoid, to probe it.
    pub fn status_for_repeatable(
        &mut self,
        now_ms: u64,
        worker: u64,
        parts: &[u64],
        prefill_ms: f64,
    ) -> WorkerStatus {
        let mut status = self.status(now_ms, worker, parts, prefill_ms);
        if let (true, Some(state)) = (status.is_aside, self.by_key.get_mut(&worker)) {
            status.is_aside = !state.health.may_probe_ejected(now_ms);
        }
        status
    }

    /// Records that a request is being sent to a worker.
    pub fn request_started(
        &mut self,
        now_ms: u64,
        worker: u64,
        ticket: Ticket,
        request: SentRequest,
        parts: &[PromptPart],
    ) {
        let request = request.bounded();
        let Some(state) = self.worker_entry(now_ms, worker) else {
            return;
        };
        if state.open.len() >= OPEN_MAX_COUNT {
            return;
        }
        let load = state.load(now_ms);
        let ahead_ms = load.ahead_ms(usize::from(request.rank));
        let prefill_ms = f64::from(request.unread_ms);
        state
            .prefill_schedule
            .set_limits(f64::from(request.gap_aim_ms), request.event_tokens);
        let scaled_ms = prefill_ms * state.slowdown_ratio(now_ms);
        let send_delay_ms = f64::from(request.send_in_ms);
        let at_ms = now_ms as f64 + send_delay_ms;
        state
            .prefill_schedule
            .sent(now_ms, ticket, at_ms, scaled_ms);
        let predicted_ms = ahead_ms.max(send_delay_ms) + prefill_ms;
        let lost_after_ms = (predicted_ms * LOST_MESSAGE_FACTOR) as u64 + LOST_MESSAGE_SLACK_MS;
        let open = OpenRequest {
            request,
            waiting_until_ms: Some(now_ms + lost_after_ms),
            sent_at_ms: now_ms,
            predicted_ms,
            expires_at_ms: now_ms + u64::from(request.ends_within_ms),
        };
        state.open.insert(ticket, open);
        state.cached_prefixes.sent(now_ms, parts);
    }

    /// Records that a worker prefilled a request's prompt, and the time that it took.
    pub fn prefilled(&mut self, now_ms: u64, worker: u64, ticket: Ticket, took_ms: f64) {
        let Some(state) = self.worker_entry(now_ms, worker) else {
            return;
        };
        let Some(open) = state.open.get_mut(&ticket) else {
            return;
        };
        open.waiting_until_ms = None;
        let predicted_ms = open.predicted_ms;
        state.prefill_schedule.read(now_ms, ticket);
        state.record_slowdown(now_ms, predicted_ms, took_ms);
    }

    /// Records that a request at a worker has ended.
    pub fn request_ended(&mut self, now_ms: u64, worker: u64, ticket: Ticket, outcome: Outcome) {
        let Some(state) = self.worker_entry(now_ms, worker) else {
            return;
        };
        let open = state.open.remove(&ticket);
        state.prefill_schedule.ended(now_ms, ticket);
        let is_stalled = open.is_some_and(|open| open.is_stalled(now_ms));
        match outcome {
            Outcome::Neutral if is_stalled => state.health.failed(now_ms),
            Outcome::Whole | Outcome::Paused => {
                state.answered_at_ms = Some(now_ms);
                state.health.reached();
                state.health.succeeded(now_ms);
                state
                    .pause_monitor
                    .record_answer(now_ms, outcome == Outcome::Paused);
            }
            Outcome::Failed => state.health.failed(now_ms),
            Outcome::Unreachable if state.has_answered_recently(now_ms) => {}
            Outcome::Unreachable => state.health.unreachable(now_ms),
            Outcome::Neutral => {}
        }
    }

    /// Returns the entry of a worker, creating it if needed; none if there are too many.
    fn worker_entry(&mut self, now_ms: u64, worker: u64) -> Option<&mut OwnedWorker> {
        if self.by_key.len() >= WORKER_MAX_COUNT && !self.by_key.contains_key(&worker) {
            self.by_key
                .retain(|_, state| now_ms < state.last_used_ms + IDLE_EVICTION_MS);
            if self.by_key.len() >= WORKER_MAX_COUNT {
                return None;
            }
        }
        let state = self.by_key.entry(worker).or_default();
        state.last_used_ms = now_ms;
        Some(state)
    }
}

impl OwnedWorker {
    /// Whether some instance recently got a complete answer, which outweighs another one's failure
    /// to connect.
    fn has_answered_recently(&self, now_ms: u64) -> bool {
        self.answered_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + ANSWER_OUTWEIGHS_MS)
    }

    /// Returns the load of all open requests, after removing expired ones.
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

    /// Returns when a prompt is to be sent: at once unless the worker's streams pause for too long.
    fn schedule(&self, now_ms: u64, prefill_ms: f64) -> ScheduledSend {
        let scaled_ms = prefill_ms * self.slowdown_ratio(now_ms);
        if self.pause_monitor.needs_scheduling(now_ms) {
            self.prefill_schedule.find_send_time(now_ms, scaled_ms)
        } else {
            self.prefill_schedule.at_once(now_ms, scaled_ms)
        }
    }

    /// Updates the slowdown with the actual and the predicted time to first token of a request.
    fn record_slowdown(&mut self, now_ms: u64, predicted_ms: f64, took_ms: f64) {
        let allowed_ms = predicted_ms + SLOWDOWN_SLACK_MS;
        let ratio = (took_ms / allowed_ms).clamp(SLOWDOWN_RATIO_BOUNDS.0, SLOWDOWN_RATIO_BOUNDS.1);
        let before = self.slowdown_ratio(now_ms);
        self.slowdown_ratio =
            before * SLOWDOWN_DECAY_FACTOR + ratio * (1.0 - SLOWDOWN_DECAY_FACTOR);
        self.slowdown_updated_at_ms = now_ms;
    }

    /// Returns the ratio of the actual to the predicted time to first token, decayed towards one; a
    /// worker that is faster than predicted counts as one.
    fn slowdown_ratio(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.slowdown_updated_at_ms) as f64;
        let remaining_share = 0.5_f64.powf(passed_ms / SLOWDOWN_HALF_LIFE_MS);
        1.0 + (self.slowdown_ratio - 1.0).max(0.0) * remaining_share
    }
}
