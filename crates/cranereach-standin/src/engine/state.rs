//! State, counters and injected faults of the engine stand-in.

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

/// Capacity and timing of the engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Requests that are batched at once.
    pub slot_count: u32,
    /// Base time between tokens, in microseconds; a fuller batch takes longer.
    pub token_us: u64,
    /// Relative increase of the time between tokens with a full batch.
    pub batch_slowdown_ratio: f64,
    /// Prefill time of a prompt whose prefix isn't cached, in microseconds per token.
    pub prompt_token_us: u64,
    /// Number of prompt prefixes that fit into the prefix cache.
    pub prefix_cache_count: usize,
    /// Interval between refreshes of the load report, in milliseconds.
    pub report_every_ms: u64,
    /// Load time of a target without a weight store, in milliseconds.
    pub load_ms: u64,
    /// Address of the weight store, `ip:port`.
    pub weight_store: Option<String>,
    /// Whether fencing tokens of orders are checked.
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

/// Faults to inject. Each occurrence of a counted fault decrements its count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Orders to drop.
    pub lose_order_count: u32,
    /// Orders to apply after a delay.
    pub delay_order_count: u32,
    /// Delay of delayed orders, in milliseconds.
    pub delay_order_ms: u64,
    /// Number of orders out of which one is dropped and another one delayed; zero for none.
    pub lose_one_of_count: u32,
    /// Orders to apply twice.
    pub repeat_order_count: u32,
    /// Requests that run and whose connection is then closed without a response.
    pub close_unanswered_count: u32,
    /// Streams to break after two tokens.
    pub break_stream_count: u32,
    /// Streams to end in order after two tokens, of which the second is the marker of a complete
    /// stream as text.
    pub marker_text_count: u32,
    /// Streams to end in order inside the event that ends a complete stream.
    pub cut_marker_count: u32,
    /// Responses that carry the ID of another request.
    pub wrong_request_count: u32,
    /// Responses with a body that is not a completion.
    pub garble_count: u32,
    /// Requests to refuse without running them.
    pub refuse_count: u32,
}

/// Counters of the engine, for checks in tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Peak memory use, in bytes.
    pub peak_bytes: u64,
    /// Loads that overcommitted memory.
    pub excess_count: u64,
    /// Load orders that were accepted.
    pub load_count: u64,
    /// Unload orders that were accepted.
    pub unload_count: u64,
    /// Orders received.
    pub order_count: u64,
    /// Orders refused because of their fencing token or boot ID.
    pub fenced_count: u64,
    /// Requests that ran.
    pub run_count: u64,
    /// Requests that ended before their response was complete.
    pub cancelled_count: u64,
    /// Tokens generated.
    pub token_count: u64,
    /// Requests whose prompt prefix was cached.
    pub prefix_hit_count: u64,
}

/// Memory contents, fencing state and running requests by target.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub(crate) occupants: HashMap<TargetName, Occupant>,
    pub(crate) gate: FenceGate,
    pub(crate) running: HashMap<TargetName, u32>,
}

/// Complete state of the engine stand-in.
#[derive(Debug)]
pub struct EngineState {
    /// Capacity and timing.
    pub options: EngineOptions,
    /// Faults to inject.
    pub faults: Mutex<EngineFaults>,
    pub(crate) memory: Mutex<Memory>,
    pub(crate) counts: Mutex<EngineCounts>,
    pub(crate) slots: Semaphore,
    pub(crate) running_count: AtomicU32,
    pub(crate) outstanding_count: AtomicU32,
    pub(crate) prefixes: Mutex<VecDeque<u64>>,
    report: Mutex<EngineLoad>,
    is_leaving: Mutex<bool>,
    pub(crate) boot_id: u64,
}

impl EngineState {
    /// Creates the state of an engine with empty memory.
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

    /// Returns the load report of the last refresh.
    pub fn report(&self) -> EngineLoad {
        lock(&self.report).clone()
    }

    /// Returns the counters.
    pub fn ledger(&self) -> EngineCounts {
        lock(&self.counts).clone()
    }

    /// Drops one out of every `one_of_count` orders, and delays another one.
    pub fn set_periodic_order_faults(&self, one_of_count: u32, delay_ms: u64) {
        let mut faults = lock(&self.faults);
        faults.lose_one_of_count = one_of_count;
        faults.delay_order_ms = delay_ms;
    }

    /// Counts an order and schedules the periodic faults.
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

    /// Makes a target resident without loading it, if it fits into memory; returns whether it did.
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

    /// Announces in the following load reports that the engine is leaving.
    pub fn leave(&self) {
        *lock(&self.is_leaving) = true;
    }

    /// Builds a new load report from the current state.
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

    /// Returns the memory in use, in bytes.
    pub fn taken_bytes(&self) -> u64 {
        lock(&self.memory)
            .occupants
            .values()
            .map(|occupant| occupant.memory_bytes)
            .sum()
    }

    /// Returns whether a target is resident.
    pub fn is_resident(&self, target: &str) -> bool {
        let memory = lock(&self.memory);
        memory
            .occupants
            .get(&TargetName::from(target))
            .is_some_and(|occupant| occupant.residence == Residence::Resident)
    }

    /// Decrements the count of a fault and returns whether it was above zero.
    pub(crate) fn consume_fault(&self, field: impl Fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let count = field(&mut faults);
        let was_set = *count > 0;
        *count = count.saturating_sub(1);
        was_set
    }
}
