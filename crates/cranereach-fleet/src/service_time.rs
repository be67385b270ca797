//! How long calls of a plain service take once they run, learned from whole answers.
//!
//! A worker runs so many calls at once and queues some more, so that the time from
//! sending to the whole answer grows with the calls that were there before. What a
//! call takes by itself is that time, divided by how often a slot had to be given on.
//!
//! Calls of one route do like work, those of two routes of a service need not: one that
//! looks something up in a millisecond says nothing of one that fetches a file.

use std::collections::HashMap;
use std::sync::Arc;

/// Part of the old estimate that one more answer leaves; some fifty answers count.
const DECAY_FACTOR: f64 = 0.98;

/// Answers of a service, and of a route, from which the estimate counts: until then
/// calls are admitted whatever the queue. One instance among a hundred sees an answer
/// or two a second, so that twenty answers left it without admission for its first ten
/// seconds; three are right within a quarter, as answers of one route vary by a half.
const MIN_ANSWER_COUNT: u32 = 3;

/// Services that are remembered at most.
const SERVICE_MAX_COUNT: usize = 4_096;

/// Routes of one service that are remembered at most.
const ROUTE_MAX_COUNT: usize = 256;

/// What is known of the calls of a service, or of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    time_ms: f64,
    answer_count: u32,
}

impl Estimate {
    /// Takes how long one more call took by itself.
    fn learn(&mut self, time_ms: f64) {
        let answers = f64::from(self.answer_count);
        // The first answers count alike.
        let kept_share = DECAY_FACTOR.min(answers / (answers + 1.0));
        self.time_ms = self.time_ms * kept_share + time_ms * (1.0 - kept_share);
        self.answer_count = self.answer_count.saturating_add(1);
    }
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEstimates {
    overall: Estimate,
    by_route: HashMap<Arc<str>, Estimate>,
}

/// Times by service and route.
///
/// ```
/// use std::sync::Arc;
///
/// use cranereach_fleet::service_time::ServiceTimes;
///
/// let mut times = ServiceTimes::default();
/// let (service, route) = (Arc::from("registry"), Arc::from("fetch"));
/// for _answer in 0..100 {
///     // Eleven calls queued_ahead it at six slots: it waited for one turn.
///     times.learn(&service, &route, 100.0, 11, 6);
/// }
/// assert_eq!(times.expected_ms("registry", "fetch").round(), 50.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_service: HashMap<Arc<str>, ServiceEstimates>,
}

impl ServiceTimes {
    /// Returns how long a call of a route is expected to run, in milliseconds; as long
    /// as others of its service while little is known of it, zero while nothing is.
    pub fn expected_ms(&self, service: &str, route: &str) -> f64 {
        let Some(known) = self.by_service.get(service) else {
            return 0.0;
        };
        let of_route = known.by_route.get(route);
        let reliable = of_route.filter(|estimate| estimate.answer_count >= MIN_ANSWER_COUNT);
        if known.overall.answer_count < MIN_ANSWER_COUNT {
            return 0.0;
        }
        reliable.unwrap_or(&known.overall).time_ms
    }

    /// Takes how long a whole answer took, with so many calls at the worker before it.
    pub fn learn(
        &mut self,
        service: &Arc<str>,
        route: &Arc<str>,
        took_ms: f64,
        queued_ahead: u32,
        slot_count: u32,
    ) {
        let turns = f64::from(queued_ahead + 1) / f64::from(slot_count.max(1));
        let time_ms = took_ms / turns.max(1.0);
        if !self.by_service.contains_key(service) && self.by_service.len() >= SERVICE_MAX_COUNT {
            return;
        }
        let known = self.by_service.entry(Arc::clone(service)).or_default();
        known.overall.learn(time_ms);
        if known.by_route.contains_key(route) || known.by_route.len() < ROUTE_MAX_COUNT {
            let of_route = known.by_route.entry(Arc::clone(route)).or_default();
            of_route.learn(time_ms);
        }
    }
}
