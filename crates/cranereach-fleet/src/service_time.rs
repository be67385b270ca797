//! How long calls of a plain service take once they run, learned from whole answers.
//!
//! A worker runs so many calls at once and queues some more, so that the time from
//! sending to the whole answer grows with the calls that were there before. What a
//! call takes by itself is that time, divided by how often a slot had to be given on.

use std::collections::HashMap;
use std::sync::Arc;

/// Part of the old estimate that one more answer leaves; some fifty answers count.
const KEPT_SHARE: f64 = 0.98;

/// Answers of a service from which its estimate is sure enough to refuse calls by.
const SURE_FROM_COUNT: u32 = 20;

/// Services that are remembered at most.
const SERVICE_MAX_COUNT: usize = 4_096;

/// What is known of one service.
#[derive(Clone, Copy, Debug)]
struct Learned {
    time_ms: f64,
    answer_count: u32,
}

/// Times by service.
///
/// ```
/// use std::sync::Arc;
///
/// use cranereach_fleet::service_time::ServiceTimes;
///
/// let mut times = ServiceTimes::default();
/// let service = Arc::from("registry");
/// for _answer in 0..100 {
///     // Eleven calls before it at six slots: it waited for one turn.
///     times.learn(&service, 100.0, 11, 6);
/// }
/// assert_eq!(times.expected_ms("registry").round(), 50.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_service: HashMap<Arc<str>, Learned>,
}

impl ServiceTimes {
    /// Returns how long a call is expected to run, in milliseconds; zero while that
    /// isn't known.
    pub fn expected_ms(&self, service: &str) -> f64 {
        let learned = self.by_service.get(service);
        let sure = learned.filter(|learned| learned.answer_count >= SURE_FROM_COUNT);
        sure.map_or(0.0, |learned| learned.time_ms)
    }

    /// Takes how long a whole answer took, with so many calls at the worker before it.
    pub fn learn(&mut self, service: &Arc<str>, took_ms: f64, before: u32, slot_count: u32) {
        let turns = f64::from(before + 1) / f64::from(slot_count.max(1));
        let time_ms = took_ms / turns.max(1.0);
        if let Some(learned) = self.by_service.get_mut(service) {
            let answers = f64::from(learned.answer_count);
            // The first answers count alike.
            let kept_share = KEPT_SHARE.min(answers / (answers + 1.0));
            learned.time_ms = learned.time_ms * kept_share + time_ms * (1.0 - kept_share);
            learned.answer_count = learned.answer_count.saturating_add(1);
        } else if self.by_service.len() < SERVICE_MAX_COUNT {
            let learned = Learned {
                time_ms,
                answer_count: 1,
            };
            self.by_service.insert(Arc::clone(service), learned);
        }
    }
}
