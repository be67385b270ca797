//! What an instance takes in: its connections and bytes, the delay of its own work, and which
//! connections of callers it takes (see [`cranereach_core::overload`]).

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::runtime::RuntimeMetrics;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::meter::Meter;
use crate::meter::Side;
use cranereach_core::overload::admission::ConnectionAdmission;
use cranereach_core::overload::admission::Reason;
use cranereach_core::overload::admission::Resources;
use cranereach_core::overload::admission::Verdict;
use cranereach_core::overload::load::Sample;
use cranereach_core::overload::own_delays::OwnDelays;

/// Everything that an instance takes in.
#[derive(Debug)]
pub struct Intake {
    clock: Clock,
    meter: Arc<Meter>,
    admission: Mutex<ConnectionAdmission>,
    own_delays: Mutex<OwnDelays>,
    /// Wakes the open connections that are to be closed, by number.
    closers: Mutex<HashMap<u64, Arc<Notify>>>,
    turned_away_counts: [AtomicU64; 4],
    first_read_count: AtomicU64,
    first_read_delay_ms: AtomicU64,
}

/// Locks a mutex, ignoring poisoning.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Intake {
    /// Creates the state of an instance, whose times are those of a clock.
    pub fn new(resources: Resources, clock: Clock) -> Self {
        Self {
            clock,
            meter: Arc::default(),
            admission: Mutex::new(ConnectionAdmission::new(resources)),
            own_delays: Mutex::default(),
            closers: Mutex::default(),
            turned_away_counts: Default::default(),
            first_read_count: AtomicU64::new(0),
            first_read_delay_ms: AtomicU64::new(0),
        }
    }

    /// Returns the counts of connections and bytes.
    pub fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// Returns the state of the admission.
    pub fn admission(&self) -> MutexGuard<'_, ConnectionAdmission> {
        lock(&self.admission)
    }

    /// Returns the number of connections that were turned away for a reason.
    pub fn turned_away_count(&self, reason: Reason) -> u64 {
        self.turned_away_counts[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of connections on which something was read, and the total of the times
    /// until then, in milliseconds.
    pub fn first_reads(&self) -> (u64, u64) {
        (
            self.first_read_count.load(Ordering::Relaxed),
            self.first_read_delay_ms.load(Ordering::Relaxed),
        )
    }

    /// Decides on a connection that a caller has opened. Wakes the idle one that is closed for it,
    /// if any.
    pub fn open(self: &Arc<Self>) -> Result<TakenConnection, Reason> {
        let now_ms = self.clock.now_ms();
        let verdict = self.admission().open(now_ms, self.other_descriptor_count());
        match verdict {
            Verdict::TurnAway(reason) => {
                self.turned_away_counts[reason as usize].fetch_add(1, Ordering::Relaxed);
                Err(reason)
            }
            Verdict::Take { connection, closes } => {
                let closing = Arc::new(Notify::new());
                let mut closers = lock(&self.closers);
                if let Some(idle) = closes.and_then(|idle| closers.get(&idle)) {
                    idle.notify_one();
                }
                closers.insert(connection, Arc::clone(&closing));
                Ok(TakenConnection {
                    intake: Arc::clone(self),
                    number: connection,
                    opened_ms: now_ms,
                    closing,
                })
            }
        }
    }

    /// Returns the number of descriptors that connections other than those of callers use.
    fn other_descriptor_count(&self) -> u64 {
        let others = Side::ALL.into_iter().filter(|side| *side != Side::Callers);
        others.map(|side| self.meter.open_count(side)).sum()
    }

    /// Takes a sample that was due `delay_ms` ago, and the memory in use, in bytes, if it was read.
    pub fn sample(&self, runtime: &RuntimeMetrics, delay_ms: u64, resident_bytes: Option<u64>) {
        let at_ms = self.clock.now_ms();
        let threads = 0..runtime.num_workers();
        let busy = threads.map(|thread| runtime.worker_total_busy_duration(thread));
        let sample = Sample {
            at_ms,
            delay_ms,
            busy_us: busy.max().unwrap_or_default().as_micros() as u64,
            sent_bytes: self.meter.sent_bytes(),
            received_bytes: self.meter.received_bytes(),
        };
        let is_link_full = {
            let mut admission = self.admission();
            admission.sample(sample);
            if let Some(resident_bytes) = resident_bytes {
                admission.sample_memory(resident_bytes);
            }
            // The bytes of connections that are turned away are not counted.
            admission.load().is_link_full() || admission.is_shedding_load(at_ms)
        };
        lock(&self.own_delays).add(at_ms, delay_ms, is_link_full);
    }

    /// Whether a time of `took_ms` that was measured here since `since_ms` is explained by a delay of
    /// this instance itself, so that it says nothing about others.
    pub fn explains(&self, since_ms: u64, took_ms: u64) -> bool {
        let now_ms = self.clock.now_ms();
        lock(&self.own_delays).explain(now_ms, since_ms, took_ms)
    }

    /// Returns the longest delay of this instance's own work since a time, in milliseconds.
    pub fn longest_delay_since_ms(&self, since_ms: u64) -> u64 {
        let now_ms = self.clock.now_ms();
        lock(&self.own_delays).longest_since_ms(now_ms, since_ms)
    }
}

/// A caller's connection that was taken. Dropping it frees its place.
#[derive(Debug)]
pub struct TakenConnection {
    intake: Arc<Intake>,
    number: u64,
    opened_ms: u64,
    closing: Arc<Notify>,
}

impl TakenConnection {
    /// Waits until the connection is to be closed.
    pub async fn until_closing(&self) {
        self.closing.notified().await;
    }

    /// Requests the close of the connection after its open requests.
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Counts a request as open until the result is dropped.
    pub fn begin_request(&self) -> OpenRequest {
        let now_ms = self.intake.clock.now_ms();
        self.intake.admission().request_began(now_ms, self.number);
        OpenRequest {
            intake: Arc::clone(&self.intake),
            number: self.number,
        }
    }

    /// Whether the connection is to be closed after the current answer.
    pub fn ends_after_answer(&self) -> bool {
        let now_ms = self.intake.clock.now_ms();
        self.intake.admission().is_shedding_load(now_ms)
    }

    /// Records that the first bytes of the caller have been read.
    pub fn note_first_read(&self) {
        let now_ms = self.intake.clock.now_ms();
        let delay_ms = now_ms.saturating_sub(self.opened_ms);
        self.intake.admission().first_read(now_ms, delay_ms);
        self.intake.first_read_count.fetch_add(1, Ordering::Relaxed);
        self.intake
            .first_read_delay_ms
            .fetch_add(delay_ms, Ordering::Relaxed);
    }
}

impl Drop for TakenConnection {
    fn drop(&mut self) {
        lock(&self.intake.closers).remove(&self.number);
        self.intake.admission().closed(self.number);
    }
}

/// A request that is open on a caller's connection until this is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    intake: Arc<Intake>,
    number: u64,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let now_ms = self.intake.clock.now_ms();
        self.intake.admission().request_ended(now_ms, self.number);
    }
}
