//! Attainment, moves and the rest of what a run is judged by.
//!
//! A call is delivered if its whole answer came, its first token within the
//! class's promise and no gap between tokens above four times the promised one.
//! A call that came back as told counts by its second answer, its wait included.
//! Attainment is the weighted part of calls that were delivered; per accelerator
//! it is the weighted tokens a second delivered by each engine.

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

/// Gap between tokens that breaks the promise, as a multiple of the promised.
const TOKEN_GAP_FACTOR: u64 = 4;

/// What a run is judged by.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Weighted part of calls delivered as promised.
    pub attainment_ratio: f64,
    /// The same, of what could have been delivered at best.
    pub of_bound_ratio: f64,
    /// Weighted tokens a second delivered by each engine.
    pub tokens_per_accelerator_per_s: f64,
    /// Loads and unloads that engines accepted.
    pub moves_count: u64,
    /// Calls measured.
    pub call_count: usize,
    /// Callers told to come back that were served when they did, as a part.
    pub come_back_served_ratio: f64,
    /// What each class got.
    pub classes: BTreeMap<&'static str, ClassReport>,
    /// Attainment of each account.
    pub accounts: BTreeMap<String, f64>,
    /// Jain's index over the accounts' delivered tokens, within each class.
    pub fairness_by_class: BTreeMap<&'static str, f64>,
    /// Lookups that did not arrive.
    pub lookups_lost_count: usize,
    /// Lookups that ran more than once.
    pub lookups_doubled_count: usize,
    /// Times that an engine was overcommitted.
    pub memory_excess_count: u64,
    /// Digest bytes a second of each entry instance.
    pub digest_bytes_per_s: f64,
    /// Requests a second to the table.
    pub table_requests_per_s: f64,
}

/// What one class got.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Part of its calls delivered as promised.
    pub attainment_ratio: f64,
    /// Time to the first token, median, in milliseconds.
    pub first_token_p50_ms: u64,
    /// Time to the first token, 95 in 100, in milliseconds.
    pub first_token_p95_ms: u64,
    /// Calls not served, by code; 0 for no answer at all.
    pub refused: BTreeMap<u16, u32>,
}

/// Sums up one class while calls are gone through.
struct ClassTotals {
    call_count: u32,
    delivered_count: u32,
    first_token: Histogram<u64>,
    refused: BTreeMap<u16, u32>,
}

/// Sums up a run.
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

/// Whether a call was delivered as promised.
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

/// Whether an answer is a whole one.
fn is_whole(outcome: &Outcome) -> bool {
    outcome.status == 200 && outcome.is_whole
}

/// Whether a lookup arrived, at the first or second time.
fn was_served(completed: &CompletedCall) -> bool {
    is_whole(&completed.first) || completed.retry.as_ref().is_some_and(is_whole)
}

/// Returns the best attainment that the engines' speed allows.
///
/// It fills the capacity with the weightiest calls and knows no loads, no
/// placement and no waiting; so no policy can reach it in overload.
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

/// Returns Jain's index over the accounts' delivered calls, within each class.
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

/// Returns Jain's index of shares: one if all are alike.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 {
        sum * sum / (shares.len() as f64 * squares)
    } else {
        1.0
    }
}

/// Returns an engine's loads and unloads.
fn move_count(ledger: &cranereach_standin::engine::state::EngineLedger) -> u64 {
    ledger.load_count + ledger.unload_count
}

/// Returns how many lookups ran more than once.
fn duplicate_lookup_count(deployment: &Deployment) -> usize {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in &deployment.services {
        for (name, count) in service.stand_in.state().all_runs() {
            *runs.entry(name).or_default() += count;
        }
    }
    runs.values().filter(|count| **count > 1).count()
}

/// Returns the digest bytes that each entry instance sent, on average.
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
    /// Starts empty.
    fn new() -> Self {
        let first_token = Histogram::new(3).expect("three digits are allowed");
        Self {
            call_count: 0,
            delivered_count: 0,
            first_token,
            refused: BTreeMap::new(),
        }
    }

    /// Adds one call.
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

    /// Returns the sum.
    fn report(self) -> ClassReport {
        ClassReport {
            attainment_ratio: f64::from(self.delivered_count) / f64::from(self.call_count.max(1)),
            first_token_p50_ms: self.first_token.value_at_quantile(0.5),
            first_token_p95_ms: self.first_token.value_at_quantile(0.95),
            refused: self.refused,
        }
    }
}
