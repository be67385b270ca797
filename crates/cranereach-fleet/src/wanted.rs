//! A request as the choice of its worker sees it.

use std::sync::Arc;

use crate::prefixes::PromptPart;
use crate::regions::AllowedRegions;
use crate::topology::Topology;
use crate::worker::WorkerRecord;

/// A request that looks for a worker.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a str,
    /// Model and adapter; none for plain services.
    pub model: Option<(&'a str, Option<&'a str>)>,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Time to read one token of the prompt, in milliseconds.
    pub token_ms: f64,
    /// Time that the request takes besides until its prompt is read, in milliseconds.
    pub fixed_ms: f64,
    /// Time for which its answer is expected to stay, in milliseconds.
    pub stay_ms: f64,
    /// Shortest pause that streams of the service may make, in milliseconds.
    pub gap_aim_ms: Option<f64>,
    /// Tokens that an event of those streams holds; zero if that isn't known.
    pub event_tokens: u32,
    /// Rank of urgency, zero first.
    pub rank: usize,
    /// Tokens of the prompt and of the longest answer.
    pub held_tokens: u32,
    /// Failure domains and regions, as seen from this instance.
    pub topology: &'a Topology,
    /// By how much later it begins at a worker of each distance, in milliseconds.
    pub crossings_ms: [f64; 3],
    /// Regions in which the request may be served.
    pub regions: &'a AllowedRegions,
    /// Workers that ended in a row under requests equal to it.
    pub end_count: usize,
    /// Whether only workers are left to it that need no grant: it asked for others in vain.
    pub needs_no_grant: bool,
    /// Workers that were tried already.
    pub tried: &'a [Arc<str>],
}

impl Wanted<'_> {
    /// Whether the request may be served where a worker stands.
    pub fn may_be_served_at(&self, record: &WorkerRecord) -> bool {
        let region = self.topology.region_of(&record.failure_domain);
        self.regions.allows(region.map(AsRef::as_ref))
    }
}
