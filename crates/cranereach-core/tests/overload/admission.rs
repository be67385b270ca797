//! Which connections an instance takes and keeps, in random histories.

use std::collections::BTreeMap;

use proptest::prelude::*;

use cranereach_core::overload::admission::ConnectionAdmission;
use cranereach_core::overload::admission::Reason;
use cranereach_core::overload::admission::Resources;
use cranereach_core::overload::admission::Verdict;
use cranereach_core::overload::load::SAMPLE_INTERVAL_MS;
use cranereach_core::overload::load::Sample;

/// Link of the instances, in bytes a second.
const LINK_BYTES_PER_S: f64 = 100_000.0;

/// Memory of the instances, in bytes.
const MEMORY_BYTES: u64 = 1 << 20;

/// Number of descriptors that are set aside at least.
const RESERVED_COUNT: u64 = 8;

/// An event at an instance.
#[derive(Clone, Debug)]
enum Event {
    /// A connection is opened.
    Open,
    /// A request begins on one of the open connections.
    Begin(usize),
    /// A request ends on one of them.
    End(usize),
    /// One of them closes.
    Close(usize),
    /// A sample is taken, with bytes and a delay.
    Sample(u64, u64),
    /// The memory is read, in bytes.
    Memory(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Open),
        4 => any::<usize>().prop_map(Event::Begin),
        4 => any::<usize>().prop_map(Event::End),
        2 => any::<usize>().prop_map(Event::Close),
        2 => (0..30_000_u64, 0..400_u64).prop_map(|(bytes, delay)| Event::Sample(bytes, delay)),
        1 => (0..2_000_000_u64).prop_map(Event::Memory),
    ]
}

fn resources(descriptor_count: u64) -> Resources {
    Resources {
        descriptor_count,
        memory_bytes: MEMORY_BYTES,
        link_bytes_per_s: Some(LINK_BYTES_PER_S),
        delay_target_ms: 30,
    }
}

/// An instance with its open connections and the number of requests on each.
struct Instance {
    admission: ConnectionAdmission,
    open: BTreeMap<u64, u32>,
    now_ms: u64,
    received_bytes: u64,
}

impl Instance {
    fn new(descriptor_count: u64) -> Self {
        Self {
            admission: ConnectionAdmission::new(resources(descriptor_count)),
            open: BTreeMap::new(),
            now_ms: 0,
            received_bytes: 0,
        }
    }

    /// Returns one of the open connections.
    fn pick(&self, index: usize) -> Option<u64> {
        let index = index.checked_rem(self.open.len())?;
        self.open.keys().nth(index).copied()
    }

    /// Applies an event; returns the verdict if a connection is opened.
    fn apply(&mut self, event: &Event, other_count: u64) -> Option<Verdict> {
        self.now_ms += 7;
        match event {
            Event::Open => {
                let verdict = self.admission.open(self.now_ms, other_count);
                if let Verdict::Take { connection, closes } = verdict {
                    if let Some(closed) = closes {
                        let open_request_count = self.open.remove(&closed);
                        assert_eq!(open_request_count, Some(0), "a busy connection is closed");
                        self.admission.closed(closed);
                    }
                    self.open.insert(connection, 0);
                }
                return Some(verdict);
            }
            Event::Begin(index) => {
                if let Some(connection) = self.pick(*index) {
                    self.admission.request_began(self.now_ms, connection);
                    *self.open.entry(connection).or_default() += 1;
                }
            }
            Event::End(index) => {
                if let Some(connection) = self.pick(*index)
                    && self.open[&connection] > 0
                {
                    self.admission.request_ended(self.now_ms, connection);
                    *self.open.entry(connection).or_default() -= 1;
                }
            }
            Event::Close(index) => {
                if let Some(connection) = self.pick(*index) {
                    self.admission.closed(connection);
                    self.open.remove(&connection);
                }
            }
            Event::Sample(byte_count, delay_ms) => {
                self.now_ms += SAMPLE_INTERVAL_MS + delay_ms;
                self.received_bytes += byte_count;
                self.admission.sample(Sample {
                    at_ms: self.now_ms,
                    delay_ms: *delay_ms,
                    received_bytes: self.received_bytes,
                    ..Sample::default()
                });
            }
            Event::Memory(bytes) => self.admission.sample_memory(*bytes),
        }
        None
    }

    /// Samples without load for a time, in milliseconds.
    fn rest_for(&mut self, time_ms: u64) {
        for _sample in 0..time_ms / SAMPLE_INTERVAL_MS {
            self.apply(&Event::Sample(0, 0), 0);
        }
    }
}

/// Guards against callers who are turned away for good where the system doesn't tell what is in use.
#[test]
fn memory_that_is_not_known_limits_nothing() {
    let mut instance = Instance::new(1_000_000);
    for _connection in 0..1_000 {
        let verdict = instance.apply(&Event::Open, 0);
        assert!(matches!(verdict, Some(Verdict::Take { closes: None, .. })));
    }
}

/// Guards against an instance that turns its first callers away since its own start keeps it busy.
#[test]
fn a_few_requests_are_taken_at_any_load() {
    let mut instance = Instance::new(1_000);
    for _sample in 0..20 {
        instance.apply(&Event::Sample(30_000, 500), 0);
        let verdict = instance.apply(&Event::Open, 0);
        assert!(matches!(verdict, Some(Verdict::Take { .. })), "{verdict:?}");
        instance.apply(&Event::Begin(0), 0);
        instance.apply(&Event::End(0), 0);
        instance.apply(&Event::Close(0), 0);
    }
}

/// Guards against an instance that is killed for the memory of its connections.
#[test]
fn memory_that_runs_short_closes_idle_connections_first() {
    let mut instance = Instance::new(1_000_000);
    for _connection in 0..100 {
        instance.apply(&Event::Open, 0);
    }
    instance.apply(&Event::Memory(MEMORY_BYTES), 0);
    let verdict = instance.apply(&Event::Open, 0);
    let is_replaced = matches!(
        verdict,
        Some(Verdict::Take {
            closes: Some(0),
            ..
        })
    );
    assert!(is_replaced, "{verdict:?}");
    for index in 0..instance.open.len() {
        instance.apply(&Event::Begin(index), 0);
    }
    let verdict = instance.apply(&Event::Open, 0);
    assert_eq!(verdict, Some(Verdict::TurnAway(Reason::Memory)));
}

proptest! {
    /// Guards against connections that use up the descriptors of those to workers, or count wrongly.
    #[test]
    fn callers_and_their_calls_stay_within_the_descriptors(
        descriptor_count in 12..200_u64,
        other_count in 0..100_u64,
        events in proptest::collection::vec(event(), 0..400),
    ) {
        let mut instance = Instance::new(descriptor_count);
        for event in &events {
            let verdict = instance.apply(event, other_count);
            let open_count = instance.open.len() as u64;
            let busy_count = instance.open.values().filter(|count| **count > 0).count();
            prop_assert_eq!(instance.admission.open_count() as u64, open_count);
            prop_assert_eq!(instance.admission.busy_count(), busy_count);
            let usable_count = descriptor_count - RESERVED_COUNT.min(descriptor_count);
            // A few are taken however many connections others have.
            let is_minimum = open_count <= descriptor_count.max(RESERVED_COUNT * 4) / 8;
            if matches!(verdict, Some(Verdict::Take { .. })) && !is_minimum {
                prop_assert!(open_count + open_count.max(other_count) <= usable_count);
            }
        }
    }

    /// Guards against an instance that turns more away because there is less load, memory in use or
    /// other connections.
    #[test]
    fn less_of_anything_turns_no_more_away(
        events in proptest::collection::vec(event(), 0..200),
        other_counts in (0..100_u64, 0..100_u64),
        byte_counts in (0..30_000_u64, 0..30_000_u64),
        delays_ms in (0..400_u64, 0..400_u64),
        memory_bytes in (0..2_000_000_u64, 0..2_000_000_u64),
    ) {
        let verdict_with = |other_count, byte_count, delay_ms, memory_bytes| {
            let mut instance = Instance::new(64);
            for event in &events {
                instance.apply(event, 10);
            }
            instance.apply(&Event::Memory(memory_bytes), other_count);
            // The time of the sample is the same for both.
            instance.now_ms += 1_000 - delay_ms;
            instance.apply(&Event::Sample(byte_count, delay_ms), other_count);
            instance.apply(&Event::Open, other_count)
        };
        let least = |(left, right): (u64, u64)| left.min(right);
        let most = |(left, right): (u64, u64)| left.max(right);
        let with_less = verdict_with(
            least(other_counts), least(byte_counts), least(delays_ms), least(memory_bytes),
        );
        let with_more = verdict_with(
            most(other_counts), most(byte_counts), most(delays_ms), most(memory_bytes),
        );
        if matches!(with_more, Some(Verdict::Take { .. })) {
            prop_assert!(matches!(with_less, Some(Verdict::Take { .. })), "{with_less:?}");
        }
    }

    /// Guards against an instance that takes no new callers for good.
    #[test]
    fn after_a_second_without_load_connections_are_taken(
        events in proptest::collection::vec(event(), 0..400),
    ) {
        let mut instance = Instance::new(64);
        for event in &events {
            instance.apply(event, 10);
        }
        while !instance.open.is_empty() {
            instance.apply(&Event::Close(0), 10);
        }
        instance.rest_for(1_500);
        for _connection in 0..10 {
            let verdict = instance.apply(&Event::Open, 10);
            let is_taken = matches!(verdict, Some(Verdict::Take { .. }));
            prop_assert!(is_taken, "{verdict:?}");
        }
    }

    /// Guards against an instance that says it is ready and takes nobody.
    #[test]
    fn some_connections_are_taken_at_any_load(
        byte_count in 10_000..100_000_u64,
        delay_ms in 0..300_u64,
    ) {
        let mut instance = Instance::new(1_000);
        let mut taken_count = 0;
        let until_ms = 3_000;
        while instance.now_ms < until_ms {
            instance.apply(&Event::Sample(byte_count, delay_ms), 10);
            for _connection in 0..50 {
                let verdict = instance.apply(&Event::Open, 10);
                taken_count += usize::from(matches!(verdict, Some(Verdict::Take { .. })));
            }
        }
        prop_assert!(taken_count >= 10, "{taken_count}");
    }
}
