//! Expected waiting time of a request, and early refusal of requests that would wait too long.

use super::Action;
use super::Dispatcher;
use super::queues::Waiting;
use crate::codes::ResultCode;

/// Longest Retry-After, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 30_000;

/// Shortest Retry-After, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 250;

impl Dispatcher {
    /// Returns the refusal of a new request, or `None` if it is admitted.
    pub(super) fn refusal(&self, now_ms: u64, waiting: &Waiting) -> Option<Action> {
        let refuse = |code, retry_after_ms| Action::Refuse {
            request: waiting.request,
            code,
            retry_after_ms: clamp_retry(retry_after_ms),
        };
        let queued = self.queues.queue_count(&waiting.account, &waiting.target);
        let wait_ms = self.expected_wait_ms(now_ms, waiting);
        if queued >= waiting.queue_count {
            return Some(refuse(ResultCode::QueueFull, wait_ms.max(1_000)));
        }
        let late_ms = (now_ms + wait_ms).saturating_sub(waiting.start_by_ms);
        if self.options.refuses_early && late_ms > 0 {
            let is_held = self.workers.holders(&waiting.target).next().is_some();
            let code = if is_held {
                ResultCode::DeadlineUnreachable
            } else {
                ResultCode::NotResident
            };
            return Some(refuse(code, late_ms));
        }
        None
    }

    /// Returns how long a request would wait if it arrived now, in ms.
    ///
    /// This is the shorter of two estimates: the account's own queue served at the
    /// rate of its share, and the queue of all accounts served at the full rate. A
    /// flood of requests from one account thus lengthens only that account's wait.
    pub(super) fn expected_wait_ms(&self, now_ms: u64, waiting: &Waiting) -> u64 {
        let (open_count, slot_count) = self.workers.room(now_ms, &waiting.target);
        if slot_count == 0 {
            return self.load_ms as u64;
        }
        let ahead = self.queues.ahead(waiting);
        if ahead.total_count < open_count {
            return 0;
        }
        let by_share = f64::from(ahead.own_count) * ahead.share_sum / waiting.share;
        let count = (f64::from(ahead.total_count) + 1.0).min(by_share + 1.0);
        let service_ms = self.demand.service_ms(&waiting.target);
        (count * service_ms / f64::from(slot_count)) as u64
    }
}

/// Limits a Retry-After time to its allowed range.
pub(super) fn clamp_retry(retry_after_ms: u64) -> u64 {
    retry_after_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
}
