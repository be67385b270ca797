//! `measure`: runs benchmarks and prints the results as JSON.

use std::path::PathBuf;

use gumdrop::Options;

use crate::exit::Exit;
use cranereach_bench::path_cost;
use cranereach_bench::path_cost::Path;
use cranereach_bench::scenario::FaultKind;
use cranereach_bench::scenario::Scenario;
use cranereach_bench::scenario::TimedFault;
use cranereach_bench::scenario::run;
use cranereach_bench::slopes;
use cranereach_entry::settings::PolicySettings;
use cranereach_wire::jsonc;

/// Options of `measure`.
#[derive(Debug, Options)]
pub struct MeasureArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "scenario file", meta = "FILE")]
    scenario: Option<PathBuf>,
    #[options(
        help = "measure how each role's cost grows with size, for the scenario's declarations; without a scenario, only the decisions of a gateway"
    )]
    slopes: bool,
    #[options(
        help = "measure the overhead of an instance, given its address for callers",
        meta = "IP:PORT"
    )]
    path: Option<String>,
    #[options(help = "with --path: address of the engine", meta = "IP:PORT")]
    direct: Option<String>,
    #[options(help = "with --path: process id of the instance", meta = "ID")]
    process: Option<String>,
    #[options(help = "with --path: bearer key", default = "a", meta = "KEY")]
    key: String,
    #[options(
        help = "with --path: model on the engine",
        default = "m0",
        meta = "NAME"
    )]
    model: String,
    #[options(help = "random seed of the arrivals", default = "1", meta = "N")]
    seed: u64,
    #[options(
        help = "load as a fraction of capacity; overrides the scenario",
        meta = "RATIO"
    )]
    load: Option<f64>,
    #[options(
        help = "policy: default or baseline",
        default = "default",
        meta = "NAME"
    )]
    policy: String,
    #[options(help = "order plug-in; overrides the policy", meta = "NAME")]
    order: Option<String>,
    #[options(help = "route plug-in; overrides the policy", meta = "NAME")]
    route: Option<String>,
    #[options(help = "residency plug-in; overrides the policy", meta = "NAME")]
    residency: Option<String>,
    #[options(help = "do not refuse early the requests that can't start in time")]
    no_early_refusal: bool,
    #[options(
        help = "cost of one load or unload; overrides the scenario",
        meta = "WEIGHT"
    )]
    move_weight: Option<f64>,
    #[options(
        help = "accelerator memory of an engine in GB; overrides the scenario",
        meta = "GB"
    )]
    memory_gb: Option<u64>,
    #[options(help = "lag of the engines' reports in milliseconds", meta = "MS")]
    lag_ms: Option<u64>,
    #[options(
        help = "number of the account that sends ten times its demand",
        meta = "N"
    )]
    flood: Option<usize>,
    #[options(
        help = "inject a fault after 5 s: kill_engine, kill_domain, kill_entry, table_down, lose_orders",
        meta = "NAME"
    )]
    fault: Option<String>,
}

/// Time of the fault, in milliseconds from the start of the measurement.
const FAULT_AT_MS: u64 = 5_000;

/// Runs the measurement that the options select.
pub fn execute(options: &MeasureArguments) -> Exit {
    if let Some(through) = &options.path {
        return measure_path(options, through);
    }
    let Some(path) = &options.scenario else {
        if options.slopes {
            slopes::gateway::measure()
                .iter()
                .chain(&slopes::contents::measure())
                .for_each(super::print_json);
            return measure_connections();
        }
        eprintln!("{}", MeasureArguments::usage());
        return Exit::Usage;
    };
    let scenario = match jsonc::read_file(path) {
        Ok(scenario) => scenario,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Settings;
        }
    };
    if options.slopes {
        return measure_slopes(&scenario);
    }
    let Some(scenario) = apply_overrides(scenario, options) else {
        eprintln!(
            "--fault is not one of kill_engine, kill_domain, kill_entry, table_down, lose_orders"
        );
        return Exit::Usage;
    };
    match super::block_on(run::run(&scenario, options.seed, &policy_settings(options))) {
        Ok(report) => {
            super::print_json(&report);
            let is_within_limits =
                report.memory_excess_count == 0 && report.lookups_doubled_count == 0;
            if is_within_limits {
                Exit::Success
            } else {
                Exit::Failure
            }
        }
        Err(error) => {
            eprintln!("{error}");
            Exit::Unavailable
        }
    }
}

/// Measures the overhead of an instance compared to direct calls to the engine.
fn measure_path(options: &MeasureArguments, through: &str) -> Exit {
    let path = Path {
        through: through.to_owned(),
        direct: options.direct.clone().unwrap_or_default(),
        process: options.process.clone().unwrap_or_default(),
        key: options.key.clone(),
        model: options.model.clone(),
    };
    super::print_json(&super::block_on(path_cost::measure(&path)));
    Exit::Success
}

/// Measures the memory of connections and prints it.
fn measure_connections() -> Exit {
    match super::block_on_one_core(slopes::connections::measure()) {
        Ok(results) => {
            results.iter().for_each(super::print_json);
            Exit::Success
        }
        Err(error) => {
            eprintln!("cannot open connections: {error}");
            Exit::Unavailable
        }
    }
}

/// Measures all slopes and prints each as a line of JSON.
fn measure_slopes(scenario: &Scenario) -> Exit {
    slopes::core_decisions::measure(scenario)
        .iter()
        .chain(&slopes::gateway::measure())
        .chain(&slopes::accounts::measure())
        .chain(&slopes::contents::measure())
        .for_each(super::print_json);
    match super::block_on(slopes::system::measure(scenario)) {
        Ok(results) => {
            results.iter().for_each(super::print_json);
            Exit::Success
        }
        Err(error) => {
            eprintln!("{error}");
            Exit::Unavailable
        }
    }
}

/// Overrides values of a scenario by those of the options; `None` if the fault is unknown.
fn apply_overrides(mut scenario: Scenario, options: &MeasureArguments) -> Option<Scenario> {
    scenario.load_ratio = options.load.unwrap_or(scenario.load_ratio);
    scenario.move_weight = options.move_weight.unwrap_or(scenario.move_weight);
    scenario.engine_memory_gb = options.memory_gb.unwrap_or(scenario.engine_memory_gb);
    scenario.report_every_ms = options.lag_ms.unwrap_or(scenario.report_every_ms);
    scenario.flooding_account = options.flood.or(scenario.flooding_account);
    if let Some(name) = &options.fault {
        let kind: FaultKind =
            serde_json::from_value(serde_json::Value::String(name.clone())).ok()?;
        scenario.faults.push(TimedFault {
            at_ms: FAULT_AT_MS,
            kind,
        });
    }
    Some(scenario)
}

/// Returns the policy that the options select.
fn policy_settings(options: &MeasureArguments) -> PolicySettings {
    let mut policy = PolicySettings::default();
    if options.policy == "baseline" {
        "fifo".clone_into(&mut policy.order);
        "least-reported".clone_into(&mut policy.route);
        "least-recently-used".clone_into(&mut policy.residency);
        policy.refuses_early = false;
    }
    policy.order = options.order.clone().unwrap_or(policy.order);
    policy.route = options.route.clone().unwrap_or(policy.route);
    policy.residency = options.residency.clone().unwrap_or(policy.residency);
    policy.refuses_early &= !options.no_early_refusal;
    policy
}
