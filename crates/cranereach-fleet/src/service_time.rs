//! Estimates how long calls of a plain service take once they run, learned from complete answers.
//!
//! A worker runs a limited number of calls at once and queues the rest, so the time from sending to
//! the complete answer grows with the calls that were there before. The service time of a call is
//! estimated as that time divided by the rounds of calls that the slots had to serve, its own
//! included.
//!
//! Calls of one route do similar work; calls of two routes of a service may not: the time of a
//! lookup that takes a millisecond says nothing about a route that fetches a file.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of the old estimate when an answer is added; the effective window is some fifty answers.
const DECAY_FACTOR: f64 = 0.98;

/// Minimum number of answers of a service, and of a route, for its estimate to be used. Until then,
/// calls are admitted whatever the queue. One instance among a hundred sees one or two answers a
/// second, so a minimum of twenty answers left it without admission control for its first ten
/// seconds; three answers are accurate to within a quarter, since answers of one route vary by a
/// half.
const MIN_ANSWER_COUNT: u32 = 3;

/// Maximum number of services that are tracked.
const SERVICE_MAX_COUNT: usize = 4_096;

/// Maximum number of routes of one service that are tracked.
const ROUTE_MAX_COUNT: usize = 256;

/// Estimated service time of the calls of a service or a route.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    time_ms: f64,
    answer_count: u32,
}

impl Estimate {
    /// Adds the service time of one call.
    fn learn(&mut self, time_ms: f64) {
        let answers = f64::from(self.answer_count);
        // Until there are enough answers, this is their arithmetic mean.
        let kept_share = DECAY_FACTOR.min(answers / (answers + 1.0));
        self.time_ms = self.time_ms * kept_share + time_ms * (1.0 - kept_share);
        self.answer_count = self.answer_count.saturating_add(1);
    }
}

/// Estimates for one service and its routes.
#[derive(Clone, Debug, Default)]
struct ServiceEstimates {
    overall: Estimate,
    by_route: HashMap<Arc<str>, Estimate>,
}

/// Estimated service times by service and route.
///
/// ```
/// use std::sync::Arc;
///
/// use cranereach_fleet::service_time::ServiceTimes;
///
/// let mut times = ServiceTimes::default();
/// let (service, route) = (Arc::from("registry"), Arc::from("fetch"));
/// for _answer in 0..100 {
///     // Eleven calls ahead at six slots: the call ran in the second round.
///     times.learn(&service, &route, 100.0, 11, 6);
/// }
/// assert_eq!(times.expected_ms("registry", "fetch").round(), 50.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    by_service: HashMap<Arc<str>, ServiceEstimates>,
}

impl ServiceTimes {
    /// Returns the expected service time of a call of a route, in milliseconds: that of the whole
    /// service while there are too few answers of the route, zero while there are too few of the
    /// service.
    pub fn expected_ms(&self, service: &str, route: &str) -> f64 {
        let Some(estimates) = self.by_service.get(service) else {
            return 0.0;
        };
        let of_route = estimates.by_route.get(route);
        let reliable = of_route.filter(|estimate| estimate.answer_count >= MIN_ANSWER_COUNT);
        if estimates.overall.answer_count < MIN_ANSWER_COUNT {
            return 0.0;
        }
        reliable.unwrap_or(&estimates.overall).time_ms
    }

    /// Adds the time that a complete answer took, with `queued_ahead` calls at the worker before
    /// it.
    pub fn learn(
        &mut self,
        service: &Arc<str>,
        route: &Arc<str>,
        took_ms: f64,
        queued_ahead: u32,
        slot_count: u32,
    ) {
        let rounds = f64::from(queued_ahead + 1) / f64::from(slot_count.max(1));
        let time_ms = took_ms / rounds.max(1.0);
        if !self.by_service.contains_key(service) && self.by_service.len() >= SERVICE_MAX_COUNT {
            return;
        }
        let estimates = self.by_service.entry(Arc::clone(service)).or_default();
        estimates.overall.learn(time_ms);
        if estimates.by_route.contains_key(route) || estimates.by_route.len() < ROUTE_MAX_COUNT {
            let of_route = estimates.by_route.entry(Arc::clone(route)).or_default();
            of_route.learn(time_ms);
        }
    }
}
