//! Route policies, which choose one of the workers that hold a request's target.

use rand::Rng;
use rand::RngExt;
use rand::rngs::SmallRng;

/// A worker that could take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that this instance and its peers have outstanding there.
    pub outstanding_count: f64,
    /// Outstanding requests according to its last report.
    pub reported_count: f64,
    /// Requests that it can run in one batch.
    pub slot_count: u32,
    /// Whether it is in this instance's failure domain.
    pub same_domain: bool,
    /// Rank of the worker for the request's prefix; the highest-ranked worker is preferred.
    pub prefix_rank: u64,
}

impl Candidate {
    /// Returns the outstanding requests per slot.
    pub fn load(&self) -> f64 {
        self.outstanding_count / f64::from(self.slot_count.max(1))
    }
}

/// A route policy.
#[derive(Debug)]
pub struct RoutePolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    pub choose: fn(&[Candidate], &mut SmallRng) -> Option<usize>,
}

inventory::collect!(&'static RoutePolicy);

/// Excess over the mean load up to which a prefix's preferred worker is chosen.
const AFFINITY_LOAD_MARGIN: f64 = 0.25;

/// Load by which a worker in another failure domain must be better to be chosen.
const CROSS_DOMAIN_PENALTY: f64 = 0.15;

/// The prefix's preferred worker unless it is overloaded, else the better of two random workers.
pub static SAMPLED: RoutePolicy = RoutePolicy {
    name: "sampled",
    choose: choose_sampled,
};

/// The least loaded worker, by requests of this instance and its peers.
pub static LEAST_OUTSTANDING: RoutePolicy = RoutePolicy {
    name: "least-outstanding",
    choose: choose_least_outstanding,
};

/// The worker with the fewest requests in its last report; the baseline for comparisons.
pub static LEAST_REPORTED: RoutePolicy = RoutePolicy {
    name: "least-reported",
    choose: choose_least_reported,
};

inventory::submit! { &SAMPLED }
inventory::submit! { &LEAST_OUTSTANDING }
inventory::submit! { &LEAST_REPORTED }

/// Finds a policy by its name in settings.
///
/// ```
/// assert_eq!(cranereach_core::route::find("sampled").unwrap().name, "sampled");
/// ```
pub fn find(name: &str) -> Option<&'static RoutePolicy> {
    inventory::iter::<&'static RoutePolicy>()
        .copied()
        .find(|policy| policy.name == name)
}

/// Returns the names of all policies, for error messages.
pub fn names() -> Vec<&'static str> {
    inventory::iter::<&'static RoutePolicy>()
        .map(|policy| policy.name)
        .collect()
}

/// Returns a candidate's load, plus a penalty if it is in another failure domain.
fn penalized_load(candidate: &Candidate) -> f64 {
    let penalty = if candidate.same_domain {
        0.0
    } else {
        CROSS_DOMAIN_PENALTY
    };
    candidate.load() + penalty
}

/// Returns the prefix's preferred worker unless it is overloaded, else the better of two random
/// candidates.
fn choose_sampled(candidates: &[Candidate], random: &mut SmallRng) -> Option<usize> {
    let count = candidates.len();
    if count < 2 {
        return (count == 1).then_some(0);
    }
    let mean = candidates.iter().map(Candidate::load).sum::<f64>() / count as f64;
    let preferred = (0..count).max_by_key(|&index| candidates[index].prefix_rank)?;
    if candidates[preferred].prefix_rank > 0
        && candidates[preferred].load() <= mean + AFFINITY_LOAD_MARGIN
    {
        return Some(preferred);
    }
    let first = random.random_range(0..count);
    let second = (first + 1 + random.random_range(0..count - 1)) % count;
    let first_wins = penalized_load(&candidates[first]) <= penalized_load(&candidates[second]);
    Some(if first_wins { first } else { second })
}

/// Returns the least loaded candidate, with ties broken at random.
fn choose_least_outstanding(candidates: &[Candidate], random: &mut SmallRng) -> Option<usize> {
    least_by(candidates, random, penalized_load)
}

/// Returns the candidate with the fewest requests in its last report, with ties broken at random.
fn choose_least_reported(candidates: &[Candidate], random: &mut SmallRng) -> Option<usize> {
    least_by(candidates, random, |candidate| candidate.reported_count)
}

/// Returns the candidate with the lowest key; a random start of the scan varies which of several
/// equal ones is found.
fn least_by(
    candidates: &[Candidate],
    random: &mut impl Rng,
    key: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let start = random.random_range(0..count);
    (0..count)
        .map(|step| (start + step) % count)
        .min_by(|&a, &b| key(&candidates[a]).total_cmp(&key(&candidates[b])))
}
