//! Whether the worker's owner may be asked for a grant to send it a request, and the rate limit
//! that the worker names.

use super::Worker;
use crate::named_limit::LimitReport;
use crate::named_limit::NamedRate;
use crate::routing_request::RoutingRequest;
use crate::send_grants::AskPause;

impl Worker {
    /// Whether grants allow a request to be sent to the worker, at once or after its owner has been
    /// asked for one. `is_brittle` tells whether it is taken to be brittle.
    pub(crate) fn may_ask(
        &self,
        now_ms: u64,
        request: &RoutingRequest<'_>,
        is_brittle: impl FnOnce() -> bool,
    ) -> bool {
        let needs_grant = || {
            let was_refused_cold = self.coldness.is_cold(now_ms) && self.ask_pause.was_refused();
            was_refused_cold || self.limit.rate_per_s(now_ms).is_some() || is_brittle()
        };
        self.ask_pause.may_ask(now_ms, request.rank)
            && !(request.must_avoid_grants && needs_grant())
    }

    /// Returns what peers are told of the worker's limit, if it named one recently.
    pub fn limit_report(&self, now_ms: u64) -> Option<LimitReport> {
        self.limit.report(now_ms, || self.record.incarnation_key())
    }

    /// Takes what an answer of the worker says of its limit; returns whether the rate in force has
    /// changed. See [`crate::named_limit::NamedLimit::observe`].
    pub fn note_limit_answered(
        &mut self,
        named: NamedRate,
        may_end: bool,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let has_changed = self.limit.observe(named, may_end, sent_ms, now_ms);
        if has_changed {
            self.ask_pause = AskPause::default();
        }
        has_changed
    }

    /// Takes another instance's report of the worker's limit; one about another incarnation of it
    /// is ignored. Returns whether the rate in force has changed.
    pub fn note_limit_reported(&mut self, now_ms: u64, report: &LimitReport) -> bool {
        let has_changed =
            report.start == self.record.incarnation_key() && self.limit.merge(now_ms, report);
        if has_changed {
            self.ask_pause = AskPause::default();
        }
        has_changed
    }
}
