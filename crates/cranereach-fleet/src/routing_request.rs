//! Properties of a request that are relevant for choosing its worker.

use std::sync::Arc;

use crate::prefixes::PromptPart;
use crate::regions::AllowedRegions;
use crate::topology::Topology;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

/// A request for which a worker is being chosen.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Model and adapter; none for plain services.
    pub model: Option<(&'a str, Option<&'a str>)>,
    /// Parts of the prompt, for the lookup in prefix caches.
    pub parts: &'a [PromptPart],
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Prefill time per token of the prompt, in milliseconds.
    pub token_ms: f64,
    /// Fixed part of the time until the prompt is prefilled, in milliseconds.
    pub fixed_ms: f64,
    /// Time for which the answer is expected to occupy a slot, in milliseconds.
    pub stay_ms: f64,
    /// Strictest target for pauses between stream events among the routes to the service,
    /// in milliseconds; none if no route sets one.
    pub gap_aim_ms: Option<f64>,
    /// Number of tokens per stream event; zero if unknown.
    pub event_tokens: u32,
    /// Priority rank; zero is the most urgent.
    pub rank: usize,
    /// Total tokens of the prompt and the longest possible answer.
    pub held_tokens: u32,
    /// Failure domains and regions, as seen from this instance.
    pub topology: &'a Topology,
    /// Extra delay until the request begins at a worker of each distance, in milliseconds;
    /// see [`crate::ways::RoundTrips::extra_start_delays_ms`].
    pub extra_start_delays_ms: [f64; 3],
    /// Regions in which the request may be served.
    pub regions: &'a AllowedRegions,
    /// Key of the version that the worker's software must have; none if any will do. See
    /// [`crate::software_version::SoftwareVersion::key`].
    pub required_version_key: Option<u64>,
    /// Keys of the versions that have been listed for long enough that a stream may begin there; if
    /// there are any, workers of others are left out.
    pub settled_version_keys: &'a [u64],
    /// Number of workers that ended in a row while running an equal request.
    pub end_count: usize,
    /// Whether only workers that need no send grant may be chosen, because none could be
    /// obtained for the others.
    pub must_avoid_grants: bool,
    /// Workers that have already been tried.
    pub tried: &'a [Arc<str>],
}

impl RoutingRequest<'_> {
    /// Whether the request may be served in the region of a worker.
    pub fn may_be_served_at(&self, record: &WorkerRecord) -> bool {
        let region = self.topology.region_of(&record.failure_domain);
        self.regions.allows(region.map(AsRef::as_ref))
    }

    /// Whether the software of a worker has the version that the request requires, and one that is
    /// settled. The version of a worker that has started again since its row was written isn't
    /// known.
    pub fn accepts_version_of(&self, worker: &Worker) -> bool {
        let is_any = self.settled_version_keys.is_empty() && self.required_version_key.is_none();
        if worker.row_doubt.is_outdated() {
            return is_any;
        }
        let key = worker.record.software.key();
        let is_settled =
            self.settled_version_keys.is_empty() || self.settled_version_keys.contains(&key);
        is_settled
            && self
                .required_version_key
                .is_none_or(|required| key == required)
    }
}
