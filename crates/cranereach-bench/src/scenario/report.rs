//! Results of a scenario run, such as attainment and the number of moves.
//!
//! A call counts as delivered if its answer was complete, the first token met the
//! objective of the class, and no gap between tokens exceeded four times the
//! objective. A call that was retried as its Retry-After asked counts by its second
//! answer, and the wait is part of its time to the first token. Attainment is the
//! weighted fraction of calls that were delivered. Per accelerator, it is the
//! weighted tokens per second delivered by each engine.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Scenario;
use super::arrivals;
use super::arrivals::CallTarget;
use super::arrivals::ServiceObjective;
use super::run::CompletedCall;
use crate::deployment::Deployment;
use cranereach_core::declarations::Class;
use cranereach_standin::load::Outcome;

/// Largest gap between tokens of a delivered call, as a multiple of the objective.
const TOKEN_GAP_FACTOR: u64 = 4;

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the generated calls.
    pub seed: u64,
    /// Weighted fraction of calls that were delivered.
    pub attainment_ratio: f64,
    /// Attainment, as a fraction of the best that the engines' speed allows.
    pub of_bound_ratio: f64,
    /// Weighted tokens per second delivered by each engine.
    pub tokens_per_accelerator_per_s: f64,
    /// Number of loads and unloads that engines accepted.
    pub moves_count: u64,
    /// Number of model calls in the measured phase.
    pub call_count: usize,
    /// Fraction of retries after Retry-After that were served.
    pub come_back_served_ratio: f64,
    /// Results of each class.
    pub classes: BTreeMap<&'static str, ClassReport>,
    /// Attainment of each account, by name.
    pub accounts: BTreeMap<String, f64>,
    /// Jain's fairness index over the accounts' delivered calls, within each class.
    pub fairness_by_class: BTreeMap<&'static str, f64>,
    /// Number of lookups that were not served, neither at first nor on a retry.
    pub lookups_lost_count: usize,
    /// Number of lookups that were executed more than once.
    pub lookups_doubled_count: usize,
    /// Number of times that an engine's memory was overcommitted.
    pub memory_excess_count: u64,
    /// Bytes of digests per second that each entry instance sent to its peers.
    pub digest_bytes_per_s: f64,
    /// Requests per second to the platform's table.
    pub table_requests_per_s: f64,
}

/// Results of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Fraction of its calls that were delivered.
    pub attainment_ratio: f64,
    /// Median time to the first token of complete answers, in milliseconds.
    pub first_token_p50_ms: u64,
    /// 95th percentile of the time to the first token of complete answers, in milliseconds.
    pub first_token_p95_ms: u64,
    /// Number of calls not served, by result code; 0 if the answer had none or there was none.
    pub refused: BTreeMap<u16, u32>,
}

/// Running totals of one class.
struct ClassTotals {
    call_count: u32,
    delivered_count: u32,
    first_token: Histogram<u64>,
    refused: BTreeMap<u16, u32>,
}

/// Summarizes the calls of a run and the counters of its deployment.
pub fn summarize(
    scenario: &Scenario,
    seed: u64,
    completed_calls: &[CompletedCall],
    deployment: &Deployment,
) -> Report {
    let measured: Vec<&CompletedCall> = completed_calls
        .iter()
        .filter(|completed| completed.arrival.at_ms >= scenario.warmup_ms)
        .collect();
    let calls: Vec<&CompletedCall> = measured
        .iter()
        .copied()
        .filter(|completed| matches!(completed.arrival.target, CallTarget::Model(_)))
        .collect();
    let mut offered = 0.0;
    let mut delivered = 0.0;
    let mut classes: BTreeMap<&'static str, ClassTotals> = BTreeMap::new();
    let mut accounts: BTreeMap<usize, (u32, u32)> = BTreeMap::new();
    for call in &calls {
        let class = arrivals::class_of(call.arrival.account);
        let objective = arrivals::objective(class);
        let is_delivered = is_delivered(call, &objective);
        offered += f64::from(objective.weight);
        delivered += if is_delivered {
            f64::from(objective.weight)
        } else {
            0.0
        };
        classes
            .entry(class.name())
            .or_insert_with(ClassTotals::new)
            .add(call, is_delivered);
        let account = accounts.entry(call.arrival.account).or_default();
        account.0 += 1;
        account.1 += u32::from(is_delivered);
    }
    let seconds = scenario.measured_ms as f64 / 1_000.0;
    let attainment_ratio = delivered / f64::max(offered, 1.0);
    let retried: Vec<&&CompletedCall> = calls.iter().filter(|call| call.retry.is_some()).collect();
    let served_on_retry = retried
        .iter()
        .filter(|call| call.retry.as_ref().is_some_and(is_whole))
        .count();
    Report {
        scenario: scenario.name.clone(),
        seed,
        attainment_ratio,
        of_bound_ratio: attainment_ratio / best_attainment(scenario, &calls),
        tokens_per_accelerator_per_s: delivered * f64::from(scenario.answer_tokens)
            / seconds
            / scenario.engine_count as f64,
        moves_count: deployment
            .engines
            .iter()
            .map(|engine| move_count(&engine.stand_in.state().ledger()))
            .sum(),
        call_count: calls.len(),
        come_back_served_ratio: served_on_retry as f64 / (retried.len() as f64).max(1.0),
        fairness_by_class: fairness(&accounts),
        accounts: accounts
            .iter()
            .map(|(number, (offered_count, delivered_count))| {
                (
                    arrivals::account_name(*number),
                    f64::from(*delivered_count) / f64::from(*offered_count),
                )
            })
            .collect(),
        classes: classes
            .into_iter()
            .map(|(name, totals)| (name, totals.report()))
            .collect(),
        lookups_lost_count: measured
            .iter()
            .filter(|completed| {
                matches!(completed.arrival.target, CallTarget::Lookup(_)) && !was_served(completed)
            })
            .count(),
        lookups_doubled_count: duplicate_lookup_count(deployment),
        memory_excess_count: deployment
            .engines
            .iter()
            .map(|engine| engine.stand_in.state().ledger().excess_count)
            .sum(),
        digest_bytes_per_s: mean_digest_bytes(deployment)
            / (seconds + scenario.warmup_ms as f64 / 1_000.0),
        table_requests_per_s: deployment.platform.state().table_count() as f64
            / (seconds + scenario.warmup_ms as f64 / 1_000.0),
    }
}

/// Returns whether a call met the objectives of its class.
fn is_delivered(call: &CompletedCall, objective: &ServiceObjective) -> bool {
    let (outcome, waited_us) = match &call.retry {
        Some(retry) => (
            retry,
            call.first.whole_us + call.first.retry_after_s.unwrap_or_default() * 1_000_000,
        ),
        None => (&call.first, 0),
    };
    let first_us = outcome
        .first_us
        .map_or(u64::MAX, |first_us| first_us + waited_us);
    let gap_limit_us = objective.between_tokens_ms * TOKEN_GAP_FACTOR * 1_000;
    is_whole(outcome)
        && first_us <= objective.first_token_ms * 1_000
        && outcome.gap_max_us <= gap_limit_us
}

/// Returns whether an answer succeeded and was complete.
fn is_whole(outcome: &Outcome) -> bool {
    outcome.status == 200 && outcome.is_whole
}

/// Returns whether a lookup was served by the first attempt or the retry.
fn was_served(completed: &CompletedCall) -> bool {
    is_whole(&completed.first) || completed.retry.as_ref().is_some_and(is_whole)
}

/// Returns an upper bound of the attainment, given by the engines' speed.
///
/// It fills the capacity with the calls of the highest weight and ignores model
/// loads, placement and queueing, so no policy can reach it in overload.
fn best_attainment(scenario: &Scenario, calls: &[&CompletedCall]) -> f64 {
    let seconds = scenario.measured_ms as f64 / 1_000.0;
    let mut remaining_calls =
        scenario.capacity_tokens_per_s() * seconds / f64::from(scenario.answer_tokens);
    let mut offered = 0.0;
    let mut best = 0.0;
    for class in Class::ALL {
        let weight = f64::from(arrivals::objective(class).weight);
        let count = calls
            .iter()
            .filter(|call| arrivals::class_of(call.arrival.account) == class)
            .count() as f64;
        let taken = count.min(remaining_calls);
        remaining_calls -= taken;
        offered += count * weight;
        best += taken * weight;
    }
    if offered > 0.0 { best / offered } else { 1.0 }
}

/// Returns Jain's fairness index over the accounts' delivered calls, within each class.
fn fairness(accounts: &BTreeMap<usize, (u32, u32)>) -> BTreeMap<&'static str, f64> {
    let mut by_class: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    for (number, (_offered_count, delivered_count)) in accounts {
        by_class
            .entry(arrivals::class_of(*number).name())
            .or_default()
            .push(f64::from(*delivered_count));
    }
    by_class
        .into_iter()
        .map(|(name, delivered_counts)| (name, jain(&delivered_counts)))
        .collect()
}

/// Returns Jain's fairness index of some shares; it is one if all are equal.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 {
        sum * sum / (shares.len() as f64 * squares)
    } else {
        1.0
    }
}

/// Returns the number of an engine's loads and unloads.
fn move_count(ledger: &cranereach_standin::engine::state::EngineCounts) -> u64 {
    ledger.load_count + ledger.unload_count
}

/// Returns how many lookups were executed more than once.
fn duplicate_lookup_count(deployment: &Deployment) -> usize {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in &deployment.services {
        for (name, count) in service.stand_in.state().all_runs() {
            *runs.entry(name).or_default() += count;
        }
    }
    runs.values().filter(|count| **count > 1).count()
}

/// Returns the mean number of digest bytes that an entry instance sent.
fn mean_digest_bytes(deployment: &Deployment) -> f64 {
    let sent = deployment
        .entries
        .iter()
        .flatten()
        .map(|entry| entry.shared().metrics.peer_sent_bytes_total.get());
    let (count, total) = sent.fold((0, 0), |(count, total), bytes| (count + 1, total + bytes));
    total as f64 / f64::max(f64::from(count), 1.0)
}

impl ClassTotals {
    /// Creates empty totals.
    fn new() -> Self {
        let first_token = Histogram::new(3).expect("three significant digits are supported");
        Self {
            call_count: 0,
            delivered_count: 0,
            first_token,
            refused: BTreeMap::new(),
        }
    }

    /// Counts one call.
    fn add(&mut self, call: &CompletedCall, is_delivered: bool) {
        self.call_count += 1;
        self.delivered_count += u32::from(is_delivered);
        let last = call.retry.as_ref().unwrap_or(&call.first);
        if is_whole(last) {
            self.first_token
                .saturating_record(last.first_us.unwrap_or_default() / 1_000);
        } else {
            *self
                .refused
                .entry(last.code.unwrap_or_default())
                .or_default() += 1;
        }
    }

    /// Returns the results of the class.
    fn report(self) -> ClassReport {
        ClassReport {
            attainment_ratio: f64::from(self.delivered_count) / f64::from(self.call_count.max(1)),
            first_token_p50_ms: self.first_token.value_at_quantile(0.5),
            first_token_p95_ms: self.first_token.value_at_quantile(0.95),
            refused: self.refused,
        }
    }
}
