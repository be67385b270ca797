//! Admission of callers' connections.
//!
//! A connection costs a file descriptor and memory for as long as it is open, one more descriptor
//! for its call to a worker, and processor time and bytes on the link for each of its requests. A
//! connection that would exceed the descriptors or the memory replaces the one that has been idle
//! for longest, or is turned away if none is idle. While the processor or the link is overloaded,
//! only as many requests a second are taken as the instance can serve: new connections beyond that
//! are turned away before anything is read, and kept ones end after their answer, so that their
//! callers come back as new ones, here or elsewhere.

mod memory_use;
mod rate_limit;

use std::collections::BTreeSet;
use std::collections::HashMap;

use self::memory_use::MemoryUse;
use self::rate_limit::RateLimit;
use super::load::Bottleneck;
use super::load::Load;
use super::load::Pressure;
use super::load::SAMPLE_INTERVAL_MS;
use super::load::Sample;

/// Share of the descriptors that is set aside for files, the store, peers and operators.
const RESERVED_DESCRIPTOR_SHARE: f64 = 0.125;

/// Bounds of the number of descriptors that are set aside.
const RESERVED_DESCRIPTOR_COUNTS: (u64, u64) = (8, 1_024);

/// Number of reserved descriptors for each of which one connection is taken however many descriptors
/// the connections to workers use, so that callers are not locked out.
const MIN_CONNECTIONS_PER_RESERVED: u64 = 4;

/// Number of requests that are open at any load: so few are not what overloads an instance, as when
/// it has just started.
const BUSY_MIN_COUNT: usize = 8;

/// Time without a connection turned away after which rates are no longer limited, in milliseconds.
const CALM_MS: u64 = 1_000;

/// Weight of a new sample in the smoothed rate of completed requests.
const COMPLETED_WEIGHT: f64 = 0.2;

/// What an instance has for its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// File descriptors.
    pub descriptor_count: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Bytes a second that the network link carries in each direction; `None` if not known.
    pub link_bytes_per_s: Option<f64>,
    /// Delay of the instance's own work above which its processor counts as overloaded, in
    /// milliseconds.
    pub delay_target_ms: u64,
}

/// Why a connection was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No descriptor is left.
    Descriptors,
    /// No memory is left.
    Memory,
    /// The processor is overloaded.
    Processor,
    /// The network link is overloaded.
    Link,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 4] = [Self::Descriptors, Self::Memory, Self::Processor, Self::Link];

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Descriptors => "descriptors",
            Self::Memory => "memory",
            Self::Processor => "processor",
            Self::Link => "link",
        }
    }
}

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The connection is taken under a number. If `closes` is set, that idle one is closed for it.
    Take {
        /// Number of the connection.
        connection: u64,
        /// Number of the idle connection that is to be closed.
        closes: Option<u64>,
    },
    /// The connection is closed unread.
    TurnAway(Reason),
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    open_request_count: u32,
    /// Since when it is idle, in milliseconds; `None` while a request is open, and once it is to be
    /// closed.
    idle_since_ms: Option<u64>,
    has_had_request: bool,
}

/// Decides which connections of callers are taken and kept.
///
/// ```
/// use cranereach_core::overload::admission::ConnectionAdmission;
/// use cranereach_core::overload::admission::Reason;
/// use cranereach_core::overload::admission::Resources;
/// use cranereach_core::overload::admission::Verdict;
///
/// let mut admission = ConnectionAdmission::new(Resources {
///     descriptor_count: 12,
///     memory_bytes: 1 << 30,
///     link_bytes_per_s: None,
///     delay_target_ms: 30,
/// });
/// for connection in 0..2 {
///     assert_eq!(admission.open(0, 0), Verdict::Take { connection, closes: None });
///     admission.request_began(0, connection);
/// }
/// // Two descriptors for each busy connection, and eight are set aside.
/// assert_eq!(admission.open(0, 0), Verdict::TurnAway(Reason::Descriptors));
/// admission.request_ended(10, 0);
/// assert_eq!(admission.open(20, 0), Verdict::Take { connection: 2, closes: Some(0) });
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionAdmission {
    resources: Resources,
    load: Load,
    rate: RateLimit,
    connections: HashMap<u64, Connection>,
    /// Idle connections by the time since when they are idle, in milliseconds.
    idle: BTreeSet<(u64, u64)>,
    next_number: u64,
    busy_count: usize,
    /// Connections whose first request has not come yet.
    unused_count: usize,
    /// Connections that are about to be closed.
    closing_count: usize,
    memory: MemoryUse,
    /// Requests completed since the last sample.
    completed_count: u64,
    completed_per_s: f64,
    last_sample_ms: Option<u64>,
    last_turned_away_ms: Option<u64>,
}

impl ConnectionAdmission {
    /// Creates the state of an instance without connections.
    pub fn new(resources: Resources) -> Self {
        Self {
            load: Load::new(resources.link_bytes_per_s, resources.delay_target_ms),
            resources,
            rate: RateLimit::default(),
            connections: HashMap::new(),
            idle: BTreeSet::new(),
            next_number: 0,
            busy_count: 0,
            unused_count: 0,
            closing_count: 0,
            memory: MemoryUse::new(resources.memory_bytes),
            completed_count: 0,
            completed_per_s: 0.0,
            last_sample_ms: None,
            last_turned_away_ms: None,
        }
    }

    /// Decides on a new connection. `other_count` is the number of descriptors that other
    /// connections use: those to workers, peers and the store.
    pub fn open(&mut self, now_ms: u64, other_count: u64) -> Verdict {
        if !self.has_room(now_ms) {
            let reason = match self.load.pressure().bottleneck {
                Bottleneck::Processor => Reason::Processor,
                Bottleneck::Link => Reason::Link,
            };
            return self.turn_away(now_ms, reason);
        }
        let closes = match self.shortage(other_count) {
            None => None,
            Some(reason) => match self.close_oldest_idle() {
                Some(closed) => Some(closed),
                None => return self.turn_away(now_ms, reason),
            },
        };
        self.rate.take(now_ms);
        self.unused_count += 1;
        self.memory.connection_taken();
        let connection = self.next_number;
        self.next_number += 1;
        self.idle.insert((now_ms, connection));
        self.connections.insert(
            connection,
            Connection {
                open_request_count: 0,
                idle_since_ms: Some(now_ms),
                has_had_request: false,
            },
        );
        Verdict::Take { connection, closes }
    }

    /// Counts a connection that is turned away.
    fn turn_away(&mut self, now_ms: u64, reason: Reason) -> Verdict {
        self.last_turned_away_ms = Some(now_ms);
        Verdict::TurnAway(reason)
    }

    /// Returns what is missing for one more connection, if anything is.
    fn shortage(&self, other_count: u64) -> Option<Reason> {
        let open_count = self.open_count() as u64 + 1;
        // Each connection may become busy at any time, and then needs one to a worker.
        let needed_count = open_count + open_count.max(other_count);
        let (usable_count, reserved_count) = self.descriptor_counts();
        let is_minimum = open_count <= reserved_count / MIN_CONNECTIONS_PER_RESERVED;
        if needed_count > usable_count && !is_minimum {
            return Some(Reason::Descriptors);
        }
        let has_memory = self.memory.has_room(self.open_count());
        (!has_memory).then_some(Reason::Memory)
    }

    /// Returns the number of descriptors for callers and the calls to workers, and the number of
    /// those that are set aside.
    fn descriptor_counts(&self) -> (u64, u64) {
        let (least, most) = RESERVED_DESCRIPTOR_COUNTS;
        let all = self.resources.descriptor_count;
        let reserved = (all as f64 * RESERVED_DESCRIPTOR_SHARE) as u64;
        let reserved = reserved.clamp(least, most);
        (all.saturating_sub(reserved), reserved)
    }

    /// Marks the connection that has been idle for longest as closing.
    fn close_oldest_idle(&mut self) -> Option<u64> {
        let (_since_ms, oldest) = self.idle.pop_first()?;
        if let Some(connection) = self.connections.get_mut(&oldest) {
            connection.idle_since_ms = None;
        }
        self.closing_count += 1;
        Some(oldest)
    }

    /// Records the time from accepting a connection until its first bytes were read, in
    /// milliseconds.
    pub fn first_read(&mut self, now_ms: u64, took_ms: u64) {
        self.load.add_first_read(now_ms, took_ms);
    }

    /// Records that a request begins on a connection.
    pub fn request_began(&mut self, now_ms: u64, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.open_request_count += 1;
        if connection.open_request_count == 1 {
            self.busy_count += 1;
            match connection.idle_since_ms.take() {
                Some(since_ms) => {
                    self.idle.remove(&(since_ms, number));
                }
                // It was about to be closed, and is busy instead.
                None => self.closing_count = self.closing_count.saturating_sub(1),
            }
        }
        if std::mem::replace(&mut connection.has_had_request, true) {
            self.rate.take(now_ms);
        } else {
            // It was counted with the connection.
            self.unused_count -= 1;
        }
    }

    /// Records that a request has ended.
    pub fn request_ended(&mut self, now_ms: u64, number: u64) {
        self.completed_count += 1;
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.open_request_count = connection.open_request_count.saturating_sub(1);
        if connection.open_request_count == 0 {
            self.busy_count -= 1;
            connection.idle_since_ms = Some(now_ms);
            self.idle.insert((now_ms, number));
        }
    }

    /// Records that a connection has been closed.
    pub fn closed(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        self.unused_count -= usize::from(!connection.has_had_request);
        match connection.idle_since_ms {
            Some(since_ms) => {
                self.idle.remove(&(since_ms, number));
            }
            None if connection.open_request_count > 0 => self.busy_count -= 1,
            None => self.closing_count = self.closing_count.saturating_sub(1),
        }
    }

    /// Adds a sample of the load, and adapts the rate of requests to it.
    pub fn sample(&mut self, sample: Sample) {
        self.load.add(sample);
        let last_ms = self.last_sample_ms.replace(sample.at_ms);
        let passed_ms = last_ms.map_or(SAMPLE_INTERVAL_MS, |last_ms| {
            sample.at_ms.saturating_sub(last_ms).max(1)
        });
        let completed_per_s = self.completed_count as f64 * 1_000.0 / passed_ms as f64;
        self.completed_count = 0;
        self.completed_per_s += COMPLETED_WEIGHT * (completed_per_s - self.completed_per_s);
        let level = self.load.pressure().level;
        let is_calm = !self.is_turning_away(sample.at_ms);
        self.rate
            .adapt(sample.at_ms, level, self.completed_per_s, is_calm);
    }

    /// Records how much memory is in use, in bytes.
    pub fn sample_memory(&mut self, resident_bytes: u64) {
        let open_count = self.open_count();
        self.memory.sample(resident_bytes, open_count);
    }

    /// Whether connections have been turned away within the last second.
    pub fn is_turning_away(&self, now_ms: u64) -> bool {
        self.last_turned_away_ms
            .is_some_and(|at_ms| now_ms < at_ms + CALM_MS)
    }

    /// Whether connections have been turned away within the last second while the processor or the
    /// link was overloaded. Kept ones then end with their current answer.
    pub fn is_shedding_load(&self, now_ms: u64) -> bool {
        self.rate.max_per_s().is_some() && self.is_turning_away(now_ms)
    }

    /// Whether the load leaves room for one more request.
    pub fn has_room(&mut self, now_ms: u64) -> bool {
        self.rate.has_room(now_ms) || self.busy_count + self.unused_count < BUSY_MIN_COUNT
    }

    /// Returns the number of open connections that aren't about to be closed.
    pub fn open_count(&self) -> usize {
        self.connections.len() - self.closing_count
    }

    /// Returns the number of connections with an open request.
    pub fn busy_count(&self) -> usize {
        self.busy_count
    }

    /// Returns the largest number of requests taken a second; `None` if it isn't limited.
    pub fn max_per_s(&self) -> Option<f64> {
        self.rate.max_per_s()
    }

    /// Returns the load of the instance.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Returns the load in relation to what the instance bears.
    pub fn pressure(&self) -> Pressure {
        self.load.pressure()
    }
}
