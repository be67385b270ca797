//! What the engine's stand-in keeps, counts and breaks.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;

use crate::lock;
use cranereach_core::fence::FenceGate;
use cranereach_core::ledger::MemoryReport;
use cranereach_core::ledger::Occupant;
use cranereach_core::ledger::Residence;
use cranereach_core::names::TargetName;
use cranereach_wire::upstream::EngineLoad;

/// How the engine behaves when nothing is broken.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Requests that it batches at once.
    pub slot_count: u32,
    /// Time from one token to the next with one request, in microseconds.
    pub token_us: u64,
    /// Part by which a full batch makes each token slower.
    pub batch_slowdown_ratio: f64,
    /// Time to read a prompt that isn't cached, in microseconds per token.
    pub prompt_token_us: u64,
    /// Prompt starts that fit into the prefix cache.
    pub prefix_cache_count: usize,
    /// Time between two refreshes of the report, in milliseconds.
    pub report_every_ms: u64,
    /// Time of a load when there is no weight store, in milliseconds.
    pub load_ms: u64,
    /// Weight store, `ip:port`.
    pub weight_store: Option<String>,
    /// Whether it checks fences.
    pub checks_fences: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            memory_bytes: 80_000_000_000,
            slot_count: 16,
            token_us: 1_000,
            batch_slowdown_ratio: 0.5,
            prompt_token_us: 20,
            prefix_cache_count: 64,
            report_every_ms: 100,
            load_ms: 100,
            weight_store: None,
            checks_fences: true,
        }
    }
}

/// Faults; each count is spent one by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Orders that are lost.
    pub lose_order_count: u32,
    /// Orders that take effect late.
    pub delay_order_count: u32,
    /// How late, in milliseconds.
    pub delay_order_ms: u64,
    /// Of this many orders one is lost and one late; zero for none.
    pub lose_one_of_count: u32,
    /// Orders that arrive twice.
    pub repeat_order_count: u32,
    /// Requests that run and then close without an answer.
    pub close_unanswered_count: u32,
    /// Streams that break after two tokens.
    pub break_stream_count: u32,
    /// Answers that name another request.
    pub wrong_request_count: u32,
    /// Answers that aren't what was asked for.
    pub garble_count: u32,
    /// Requests refused as not run.
    pub refuse_count: u32,
}

/// What a test wants to know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLedger {
    /// Most memory ever taken, in bytes.
    pub peak_bytes: u64,
    /// Times at which memory was overcommitted.
    pub excess_count: u64,
    /// Loads that were accepted.
    pub load_count: u64,
    /// Unloads that were accepted.
    pub unload_count: u64,
    /// Orders that arrived.
    pub order_count: u64,
    /// Orders refused by the fence.
    pub fenced_count: u64,
    /// Requests that began to run.
    pub run_count: u64,
    /// Streams that the caller left.
    pub cancelled_count: u64,
    /// Tokens generated.
    pub token_count: u64,
    /// Requests whose prompt start was cached.
    pub prefix_hit_count: u64,
}

/// Memory and fence.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub(crate) occupants: HashMap<TargetName, Occupant>,
    pub(crate) gate: FenceGate,
    pub(crate) running: HashMap<TargetName, u32>,
}

/// Everything that the engine's stand-in keeps.
#[derive(Debug)]
pub struct EngineState {
    /// How it behaves.
    pub options: EngineOptions,
    /// Faults in force.
    pub faults: Mutex<EngineFaults>,
    pub(crate) memory: Mutex<Memory>,
    pub(crate) counts: Mutex<EngineLedger>,
    pub(crate) slots: Semaphore,
    pub(crate) running_count: AtomicU32,
    pub(crate) outstanding_count: AtomicU32,
    pub(crate) prefixes: Mutex<VecDeque<u64>>,
    report: Mutex<EngineLoad>,
    is_leaving: Mutex<bool>,
    pub(crate) boot_id: u64,
}

impl EngineState {
    /// Starts with empty memory.
    pub fn new(options: EngineOptions) -> Self {
        let state = Self {
            slots: Semaphore::new(options.slot_count as usize),
            options,
            faults: Mutex::default(),
            memory: Mutex::default(),
            counts: Mutex::default(),
            running_count: AtomicU32::new(0),
            outstanding_count: AtomicU32::new(0),
            prefixes: Mutex::default(),
            report: Mutex::default(),
            is_leaving: Mutex::new(false),
            boot_id: rand::random(),
        };
        state.refresh_report();
        state
    }

    /// Returns the lagging report.
    pub fn report(&self) -> EngineLoad {
        lock(&self.report).clone()
    }

    /// Returns what was counted.
    pub fn ledger(&self) -> EngineLedger {
        lock(&self.counts).clone()
    }

    /// Lets one order of so many be lost, and one take effect late.
    pub fn lose_orders_by_part(&self, one_of_count: u32, delay_ms: u64) {
        let mut faults = lock(&self.faults);
        faults.lose_one_of_count = one_of_count;
        faults.delay_order_ms = delay_ms;
    }

    /// Spreads the faults that come by part over the orders.
    pub(crate) fn record_order(&self) {
        let number = lock(&self.counts).order_count;
        lock(&self.counts).order_count += 1;
        let mut faults = lock(&self.faults);
        if faults.lose_one_of_count > 0 {
            let position = number % u64::from(faults.lose_one_of_count);
            faults.lose_order_count += u32::from(position == 0);
            faults.delay_order_count +=
                u32::from(position == u64::from(faults.lose_one_of_count) / 2);
        }
    }

    /// Makes a target resident from the start, if there is room for it.
    pub fn preload(&self, target: &str, memory_bytes: u64) -> bool {
        let name = TargetName::from(target);
        let fits = self.taken_bytes() + memory_bytes <= self.options.memory_bytes;
        if fits {
            let occupant = Occupant {
                target: name.clone(),
                memory_bytes,
                residence: Residence::Resident,
            };
            lock(&self.memory).occupants.insert(name, occupant);
            self.refresh_report();
        }
        fits
    }

    /// Announces in its report that it is leaving.
    pub fn leave(&self) {
        *lock(&self.is_leaving) = true;
    }

    /// Makes a new report from the present state.
    pub fn refresh_report(&self) {
        let memory = lock(&self.memory);
        let mut occupants: Vec<Occupant> = memory.occupants.values().cloned().collect();
        occupants.sort_by(|a, b| a.target.cmp(&b.target));
        let applied = memory.gate.highest();
        drop(memory);
        let mut report = lock(&self.report);
        let report_number = report.memory.report_number + 1;
        *report = EngineLoad {
            memory: MemoryReport {
                boot_id: self.boot_id,
                report_number,
                applied,
                occupants,
            },
            outstanding_count: self.outstanding_count.load(Ordering::Relaxed),
            slot_count: self.options.slot_count,
            is_leaving: *lock(&self.is_leaving),
        };
    }

    /// Returns the memory that is taken now, in bytes.
    pub fn taken_bytes(&self) -> u64 {
        lock(&self.memory)
            .occupants
            .values()
            .map(|occupant| occupant.memory_bytes)
            .sum()
    }

    /// Whether a target can serve now.
    pub fn is_resident(&self, target: &str) -> bool {
        let memory = lock(&self.memory);
        memory
            .occupants
            .get(&TargetName::from(target))
            .is_some_and(|occupant| occupant.residence == Residence::Resident)
    }

    /// Spends one of a counted fault; says whether there was one.
    pub(crate) fn consume_fault(&self, field: impl Fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let count = field(&mut faults);
        let was_set = *count > 0;
        *count = count.saturating_sub(1);
        was_set
    }
}
