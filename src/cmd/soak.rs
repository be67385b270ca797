//! `soak`: runs gateway processes under injected faults and checks the guarantees.

use std::fs;
use std::path::PathBuf;

use gumdrop::Options;

use super::serve::wait_for_stop;
use crate::exit::Exit;
use cranereach_soak::report;
use cranereach_soak::report::JudgeOptions;
use cranereach_soak::run;
use cranereach_soak::run::FaultSet;
use cranereach_soak::run::Plan;
use cranereach_soak::run::RunError;
use cranereach_soak::schedule::Size;

/// Shortest run, in seconds: a shorter one leaves no time for faults.
const SECONDS_MIN: u64 = 10;

/// Longest run, in seconds: the records of all requests are kept in memory.
const SECONDS_MAX: u64 = 600;

/// Options of `soak`.
#[derive(Debug, Options)]
pub struct SoakArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "random seed of faults and callers", meta = "N")]
    seed: u64,
    #[options(
        help = "time for which callers send requests, in seconds",
        default = "30",
        meta = "S"
    )]
    seconds: u64,
    #[options(
        help = "size of the deployment: small or large",
        default = "small",
        meta = "SIZE"
    )]
    size: String,
    #[options(help = "empty folder for logs and records", meta = "DIR")]
    out: Option<PathBuf>,
    #[options(help = "also restore the store from backups during the run", no_short)]
    restores: bool,
    #[options(
        help = "inject faults of one kind alone: paths, cuts between a gateway and workers; connections, most new ones at one gateway",
        meta = "KIND",
        no_short
    )]
    only: Option<String>,
    #[options(help = "do not judge what depends on speed")]
    untimed: bool,
}

/// Runs a soak test.
pub fn execute(options: &SoakArguments) -> Exit {
    let plan = match read_plan(options) {
        Ok(plan) => plan,
        Err(message) => {
            eprintln!("{message}");
            return Exit::Usage;
        }
    };
    let steps = plan.steps();
    let schedule: Vec<String> = steps.iter().map(ToString::to_string).collect();
    let schedule = schedule.join("\n");
    println!(
        "seed {}, {} s, {} faults\n{schedule}",
        plan.seed,
        options.seconds,
        steps.len()
    );
    let written = run::make_folder(&plan.folder)
        .and_then(|()| fs::write(plan.folder.join("schedule.txt"), &schedule));
    if let Err(error) = written {
        eprintln!("{}: {error}", plan.folder.display());
        return Exit::Unavailable;
    }
    let judge_options = JudgeOptions {
        is_untimed: options.untimed,
    };
    super::block_on(run_plan(&plan, &judge_options))
}

/// Runs the plan; prints the verdicts and writes them to the folder.
async fn run_plan(plan: &Plan, judge_options: &JudgeOptions) -> Exit {
    let records = match run::run(plan, wait_for_stop()).await {
        Ok(records) => records,
        Err(error) => {
            eprintln!("{error}");
            return match error {
                RunError::Interrupted => Exit::OutcomeUnknown,
                RunError::Gateway(_) | RunError::Listen(_) | RunError::NotReady(_) => {
                    Exit::Unavailable
                }
            };
        }
    };
    let verdicts = report::judge(&records, judge_options);
    let is_kept = report::print(&verdicts);
    println!("logs and records: {}", plan.folder.display());
    if let Err(error) = report::write(&plan.folder, &records, &verdicts) {
        eprintln!("{}: {error}", plan.folder.display());
        return Exit::Unavailable;
    }
    if is_kept {
        Exit::Success
    } else {
        Exit::Failure
    }
}

/// Returns the faults that the options select.
fn read_faults(options: &SoakArguments) -> Result<FaultSet, String> {
    match (options.only.as_deref(), options.restores) {
        (None, false) => Ok(FaultSet::Usual),
        (None, true) => Ok(FaultSet::WithRestores),
        (Some("paths"), false) => Ok(FaultSet::PathCuts),
        (Some("connections"), false) => Ok(FaultSet::Connections),
        (Some("paths" | "connections"), true) => {
            Err("--only and --restores exclude each other".to_owned())
        }
        (Some(other), _) => Err(format!("kind {other:?} is not one of connections, paths")),
    }
}

/// Builds the plan of the run from the options.
fn read_plan(options: &SoakArguments) -> Result<Plan, String> {
    let size = match options.size.as_str() {
        "small" => Size::SMALL,
        "large" => Size::LARGE,
        other => return Err(format!("size {other:?} is not one of large, small")),
    };
    if !(SECONDS_MIN..=SECONDS_MAX).contains(&options.seconds) {
        return Err(format!(
            "{} seconds: a run must take {SECONDS_MIN} to {SECONDS_MAX}",
            options.seconds
        ));
    }
    let binary = std::env::current_exe()
        .map_err(|error| format!("can't get the path of this binary: {error}"))?;
    let folder_name = format!("cranereach-soak-{}-{}", options.seed, std::process::id());
    let folder = options.out.clone();
    Ok(Plan {
        binary,
        folder: folder.unwrap_or_else(|| std::env::temp_dir().join(folder_name)),
        seed: options.seed,
        run_ms: options.seconds * 1_000,
        size,
        faults: read_faults(options)?,
    })
}
