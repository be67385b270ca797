//! A run from start to end: starts the processes, injects the faults, watches and stops.

use std::fs;
use std::io;
use std::panic;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::back_ends::BackEnds;
use crate::callers::Caller;
use crate::concentrated_callers;
use crate::concentrated_callers::LINK_MBPS;
use crate::crash_requests;
use crate::faults;
use crate::faults::TestBed;
use crate::faults::pause;
use crate::gateways;
use crate::gateways::Gateway;
use crate::gateways::GatewayError;
use crate::journal::Journal;
use crate::notices;
use crate::rate_limits;
use crate::record::Event;
use crate::record::Records;
use crate::resuming_callers::ResumingCaller;
use crate::schedule;
use crate::schedule::SERVICES;
use crate::schedule::Size;
use crate::schedule::Step;
use cranereach_http::pool::Pool;
use cranereach_platform::requests::READY_PATH;
use cranereach_standin::load;

/// Time-out for a gateway to become ready at the start, in milliseconds.
const READY_TIMEOUT_MS: u64 = 60_000;

/// Pause between two readiness probes, in milliseconds.
const READY_POLL_INTERVAL_MS: u64 = 50;

/// Pause between two checks of the processes and their resource usage, in milliseconds.
const WATCH_INTERVAL_MS: u64 = 500;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Binary whose `gateway` command is run.
    pub binary: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of the faults and callers.
    pub seed: u64,
    /// Time during which callers send requests, in milliseconds.
    pub run_ms: u64,
    /// Size of the run.
    pub size: Size,
    /// Faults of the schedule.
    pub faults: FaultSet,
}

/// Faults that the schedule of a run is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSet {
    /// All but restores of the store.
    Usual,
    /// All.
    WithRestores,
    /// Cuts of paths between single gateways and workers alone.
    PathCuts,
    /// Most new connections at one gateway behind a narrow link alone.
    Connections,
}

impl Plan {
    /// Returns the fault schedule of the run.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.faults == FaultSet::Connections {
            return steps;
        }
        schedule::add_path_cuts(&mut steps, self.seed, self.run_ms, self.size);
        if self.faults == FaultSet::PathCuts {
            return steps;
        }
        schedule::add_faults(&mut steps, self.seed, self.run_ms, self.size);
        schedule::add_body_ends(&mut steps, self.seed, self.run_ms, self.size);
        schedule::add_releases(&mut steps, self.seed, self.run_ms, self.size);
        if self.faults == FaultSet::WithRestores {
            schedule::add_restores(&mut steps, self.seed, self.run_ms);
        }
        steps
    }
}

/// Reason why a run failed before it could be judged.
#[derive(Debug, Error)]
pub enum RunError {
    /// A gateway could not be run.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// A stand-in cannot listen.
    #[error("cannot start the stand-ins: {0}")]
    Listen(#[from] io::Error),
    /// A gateway did not become ready in time.
    #[error("gateway {0} did not become ready within {READY_TIMEOUT_MS} ms")]
    NotReady(usize),
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
}

/// Runs a plan. Ends every process that it started, also when `interrupted` completes first.
pub async fn run(plan: &Plan, interrupted: impl Future<Output = ()>) -> Result<Records, RunError> {
    let back_ends = BackEnds::start(plan.size).await?;
    let link_mbps = (plan.faults == FaultSet::Connections).then_some(LINK_MBPS);
    let stores = &back_ends.store_addresses;
    let prepared = gateways::prepare(&plan.binary, &plan.folder, stores, link_mbps);
    let gateways: Vec<Arc<Gateway>> = prepared.await?.into_iter().map(Arc::new).collect();
    let result = tokio::select! {
        result = execute(plan, back_ends, &gateways) => result,
        () = interrupted => Err(RunError::Interrupted),
    };
    for gateway in &gateways {
        gateway.kill().await;
    }
    result
}

/// Starts the gateways, runs callers and faults, and collects the records.
async fn execute(
    plan: &Plan,
    back_ends: BackEnds,
    gateways: &[Arc<Gateway>],
) -> Result<Records, RunError> {
    for gateway in gateways {
        gateway.start().await?;
    }
    for gateway in gateways {
        wait_until_ready(gateway).await?;
    }
    let test_bed = Arc::new(TestBed {
        gateways: gateways.to_vec(),
        back_ends,
        journal: Arc::new(Journal::new()),
    });
    let journal = &test_bed.journal;
    journal.record_event(Event::Moved {
        service: SERVICES[0].to_owned(),
        at_ms: 0,
    });
    let mut background = JoinSet::new();
    let heartbeats = Arc::clone(&test_bed);
    background.spawn(async move { heartbeats.back_ends.run_heartbeats().await });
    let replacer = Arc::clone(&test_bed);
    background.spawn(async move { replacer.back_ends.replace_ended(&replacer.journal).await });
    let watcher = Arc::clone(&test_bed);
    background.spawn(async move { watch(&watcher).await });
    let mut callers = JoinSet::new();
    for number in 0..plan.size.caller_count {
        let caller = Caller::new(number, plan.seed, gateways, journal);
        callers.spawn(caller.run(plan.run_ms));
    }
    for number in 0..plan.size.resuming_caller_count() {
        let caller = ResumingCaller::new(number, plan.seed, &test_bed);
        callers.spawn(caller.run(plan.run_ms));
    }
    if plan.faults == FaultSet::Connections {
        spawn_concentrated_callers(&mut callers, plan, gateways, journal);
    } else {
        spawn_troubling_callers(&mut callers, plan, gateways, &test_bed);
    }
    inject_all(&test_bed, plan.steps()).await;
    join_tasks(callers).await;
    background.shutdown().await;
    let mut records = journal.take();
    records.arrivals = test_bed.back_ends.arrivals(journal);
    records.end_ms = journal.now_ms();
    Ok(records)
}

/// Starts the callers whose connections are concentrated on one gateway.
fn spawn_concentrated_callers(
    callers: &mut JoinSet<()>,
    plan: &Plan,
    gateways: &[Arc<Gateway>],
    journal: &Arc<Journal>,
) {
    callers.spawn(concentrated_callers::run(
        plan.seed,
        plan.run_ms,
        gateways.to_vec(),
        Arc::clone(journal),
    ));
}

/// Starts the callers whose requests crash workers, and what makes workers announce limits and
/// leave.
fn spawn_troubling_callers(
    callers: &mut JoinSet<()>,
    plan: &Plan,
    gateways: &[Arc<Gateway>],
    test_bed: &Arc<TestBed>,
) {
    let journal = &test_bed.journal;
    let crash_caller = crash_requests::run(
        plan.seed,
        plan.run_ms,
        gateways.to_vec(),
        Arc::clone(journal),
    );
    callers.spawn(crash_caller);
    callers.spawn(crash_requests::run_prompts(
        plan.seed,
        plan.run_ms,
        gateways.to_vec(),
        Arc::clone(journal),
    ));
    callers.spawn(rate_limits::run(
        plan.seed,
        plan.run_ms,
        Arc::clone(test_bed),
    ));
    callers.spawn(notices::run(
        plan.seed,
        plan.run_ms,
        plan.size.worker_total(),
        Arc::clone(test_bed),
    ));
}

/// Injects each fault at its scheduled time and waits until all have ended.
async fn inject_all(test_bed: &Arc<TestBed>, steps: Vec<Step>) {
    let mut injecting = JoinSet::new();
    for step in steps {
        let test_bed = Arc::clone(test_bed);
        injecting.spawn(async move {
            pause(step.at_ms.saturating_sub(test_bed.journal.now_ms())).await;
            faults::inject(&test_bed, step).await;
        });
    }
    join_tasks(injecting).await;
}

/// Waits for all tasks. Resumes a panic of a task here, so that it ends the run and its processes.
async fn join_tasks(mut tasks: JoinSet<()>) {
    while let Some(joined) = tasks.join_next().await {
        if let Err(error) = joined
            && error.is_panic()
        {
            panic::resume_unwind(error.into_panic());
        }
    }
}

/// Watches the processes until dropped: records and restarts those that exited on their own, and
/// records the resource usage of all.
async fn watch(test_bed: &TestBed) {
    loop {
        pause(WATCH_INTERVAL_MS).await;
        for gateway in &test_bed.gateways {
            let number = gateway.number;
            if gateway.has_ended_by_itself().await {
                let at_ms = test_bed.journal.now_ms();
                test_bed.journal.record_event(Event::EndedByItself {
                    gateway: number,
                    at_ms,
                });
                if let Err(error) = gateway.start().await {
                    eprintln!("{error}");
                }
            }
            if let Some((memory_bytes, descriptor_count)) = gateway.resource_usage().await {
                test_bed.journal.record_event(Event::Held {
                    gateway: number,
                    memory_bytes,
                    descriptor_count,
                });
            }
        }
    }
}

/// Waits until a gateway reports that it is ready.
async fn wait_until_ready(gateway: &Gateway) -> Result<(), RunError> {
    let pool = Pool::new(&gateway.ready_address.to_string());
    let probe = load::Call::plain("", Method::GET, READY_PATH, "");
    let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
    while load::send(&pool, &probe).await.status != 200 {
        if Instant::now() >= deadline {
            return Err(RunError::NotReady(gateway.number));
        }
        pause(READY_POLL_INTERVAL_MS).await;
    }
    Ok(())
}

/// Creates the folder of a run. Fails if it isn't empty, so that logs of two runs never mix.
pub fn make_folder(path: &Path) -> io::Result<()> {
    fs::create_dir_all(path)?;
    let mut entries = fs::read_dir(path)?;
    if entries.next().is_some() {
        let message = "isn't empty; choose another folder";
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, message));
    }
    Ok(())
}
