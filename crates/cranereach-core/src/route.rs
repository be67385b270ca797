//! Route plug-ins: which of the workers that hold a target gets a request.

use rand::Rng;
use rand::RngExt;
use rand::rngs::SmallRng;

/// One worker that could take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that it is thought to hold: own, peers' and others'.
    pub outstanding_count: f64,
    /// Requests in its last report alone.
    pub reported_count: f64,
    /// Requests that it can batch.
    pub slot_count: u32,
    /// Whether it is in this instance's failure domain.
    pub same_domain: bool,
    /// Rank of the worker for the request's prefix; the highest is its home.
    pub prefix_rank: u64,
}

impl Candidate {
    /// Returns the part of its slots that is taken.
    pub fn load(&self) -> f64 {
        self.outstanding_count / f64::from(self.slot_count.max(1))
    }
}

/// A route policy.
#[derive(Debug)]
pub struct RoutePolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Chooses one of the candidates by index; none of none.
    pub choose: fn(&[Candidate], &mut SmallRng) -> Option<usize>,
}

inventory::collect!(&'static RoutePolicy);

/// Load above the mean up to which the home of a prefix is preferred.
const AFFINITY_LOAD_MARGIN: f64 = 0.25;

/// Load that crossing a failure domain must save.
const CROSS_DOMAIN_PENALTY: f64 = 0.15;

/// Home of the prefix while it isn't crowded, else the better of two samples.
pub static SAMPLED: RoutePolicy = RoutePolicy {
    name: "sampled",
    choose: choose_sampled,
};

/// Least load of all, by own and peers' sends.
pub static LEAST_OUTSTANDING: RoutePolicy = RoutePolicy {
    name: "least-outstanding",
    choose: choose_least_outstanding,
};

/// Least connections on the last report: the baseline.
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

/// Lists the names of all policies, for messages.
pub fn names() -> Vec<&'static str> {
    inventory::iter::<&'static RoutePolicy>()
        .map(|policy| policy.name)
        .collect()
}

/// Load with the price of crossing a failure domain.
fn penalized_load(candidate: &Candidate) -> f64 {
    let penalty = if candidate.same_domain {
        0.0
    } else {
        CROSS_DOMAIN_PENALTY
    };
    candidate.load() + penalty
}

/// Returns the prefix's home if it isn't crowded, else the better of two.
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

/// Returns the least loaded candidate; ties fall at random.
fn choose_least_outstanding(candidates: &[Candidate], random: &mut SmallRng) -> Option<usize> {
    least_by(candidates, random, penalized_load)
}

/// Returns the candidate whose last report is lowest.
fn choose_least_reported(candidates: &[Candidate], random: &mut SmallRng) -> Option<usize> {
    least_by(candidates, random, |candidate| candidate.reported_count)
}

/// Returns the candidate of least key, from a random start so that ties spread.
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
