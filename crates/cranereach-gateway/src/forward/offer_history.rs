//! Offers that a call has used so far.

use std::sync::Arc;

use super::response_head::Failure;
use super::version_requirement::VersionRequirement;
use cranereach_fleet::quarantine::KnownEnds;

/// Offers that a call has used so far. A resumed stream continues with these counts, so that the
/// limits of the call apply to it as a whole.
#[derive(Clone, Debug, Default)]
pub(super) struct OfferHistory {
    /// Workers that the call was offered to, in order; a worker may be listed twice.
    tried: Vec<Arc<str>>,
    /// Number of offers, including those that never reached a worker.
    offer_count: usize,
    /// Number of failed offers that a worker may have run; limited by the route.
    run_count: u32,
    /// For which keys of the call ends of workers were already known when it was last sent.
    pub known_ends: KnownEnds,
    /// Version that the workers of all further offers must have. It remains as the stream goes on.
    pub requirement: VersionRequirement,
}

impl OfferHistory {
    /// Creates the history of a call that has not been offered to any worker yet.
    pub fn new(requirement: VersionRequirement) -> Self {
        Self {
            requirement,
            ..Self::default()
        }
    }

    /// Records that the call is offered to a worker.
    pub fn begin_offer(&mut self, worker: &Arc<str>) {
        self.offer_count += 1;
        self.tried.push(Arc::clone(worker));
    }

    /// Undoes the last offer, since nothing was sent.
    pub fn revert_offer(&mut self) {
        self.offer_count -= 1;
        self.tried.pop();
    }

    /// Records that an offer failed.
    pub fn note_failure(&mut self, failure: Failure) {
        if failure.may_have_run() {
            self.run_count += 1;
        }
    }

    /// Returns the workers that the call was offered to, in order.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Returns how often the call was offered to a worker.
    pub fn offer_count_at(&self, worker: &str) -> usize {
        let offers = self.tried.iter().filter(|tried| tried.as_ref() == worker);
        offers.count()
    }

    /// Returns the number of offers.
    pub fn offer_count(&self) -> usize {
        self.offer_count
    }

    /// Returns the number of failed offers that a worker may have run.
    pub fn run_count(&self) -> u32 {
        self.run_count
    }
}
