//! An instance whose link carries a certain number of requests a second finds that number, and
//! takes nearly as many, however many come.

use std::collections::VecDeque;

use cranereach_core::overload::admission::ConnectionAdmission;
use cranereach_core::overload::admission::Resources;
use cranereach_core::overload::admission::Verdict;
use cranereach_core::overload::load::Sample;

/// Bytes on the link for each request.
const REQUEST_BYTES: f64 = 4_000.0;

/// Time that a request takes beside its bytes, in milliseconds.
const REQUEST_MS: u64 = 300;

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 10;

/// Time within which an instance must have found its capacity, in milliseconds.
const ADAPTING_MS: u64 = 3_000;

/// An open request.
struct OpenRequest {
    connection: u64,
    began_ms: u64,
    remaining_bytes: f64,
}

/// What an instance was offered in a time, and what it took.
#[derive(Debug, Default)]
struct Offer {
    offered: usize,
    taken: usize,
    /// Time that the last request to end took, in milliseconds.
    last_took_ms: u64,
}

/// An instance with a link on which requests follow each other.
struct Instance {
    admission: ConnectionAdmission,
    link_bytes_per_s: f64,
    open: VecDeque<OpenRequest>,
    now_ms: u64,
    sent_bytes: f64,
    owed: f64,
}

impl Instance {
    fn new(requests_per_s: f64) -> Self {
        let link_bytes_per_s = requests_per_s * REQUEST_BYTES;
        Self {
            admission: ConnectionAdmission::new(Resources {
                descriptor_count: 1_000_000,
                memory_bytes: 1 << 40,
                link_bytes_per_s: Some(link_bytes_per_s),
                delay_target_ms: 30,
            }),
            link_bytes_per_s,
            open: VecDeque::new(),
            now_ms: 0,
            sent_bytes: 0.0,
            owed: 0.0,
        }
    }

    /// Offers connections with one request each at a rate for a time, in milliseconds.
    fn offer(&mut self, per_s: f64, time_ms: u64) -> Offer {
        let mut taken = Offer::default();
        let until_ms = self.now_ms + time_ms;
        while self.now_ms < until_ms {
            self.owed += per_s * STEP_MS as f64 / 1_000.0;
            while self.owed >= 1.0 {
                self.owed -= 1.0;
                taken.offered += 1;
                taken.taken += usize::from(self.open_connection());
            }
            self.step(&mut taken);
        }
        taken
    }

    /// Opens a connection with a request; returns whether it is taken.
    fn open_connection(&mut self) -> bool {
        let Verdict::Take { connection, .. } = self.admission.open(self.now_ms, 0) else {
            return false;
        };
        self.admission.request_began(self.now_ms, connection);
        self.open.push_back(OpenRequest {
            connection,
            began_ms: self.now_ms,
            remaining_bytes: REQUEST_BYTES,
        });
        true
    }

    /// Sends what the link carries in one step, and takes a sample each tenth of a second.
    fn step(&mut self, taken: &mut Offer) {
        self.now_ms += STEP_MS;
        let mut room_bytes = self.link_bytes_per_s * STEP_MS as f64 / 1_000.0;
        for request in &mut self.open {
            let sent_bytes = room_bytes.min(request.remaining_bytes);
            request.remaining_bytes -= sent_bytes;
            room_bytes -= sent_bytes;
            self.sent_bytes += sent_bytes;
        }
        while let Some(first) = self.open.front()
            && first.remaining_bytes <= 0.0
            && self.now_ms >= first.began_ms + REQUEST_MS
        {
            self.admission.request_ended(self.now_ms, first.connection);
            self.admission.closed(first.connection);
            taken.last_took_ms = self.now_ms - first.began_ms;
            self.open.pop_front();
        }
        if self.now_ms.is_multiple_of(100) {
            self.admission.sample(Sample {
                at_ms: self.now_ms,
                sent_bytes: self.sent_bytes as u64,
                ..Sample::default()
            });
        }
    }
}

/// Capacities of small and large instances, in requests a second.
const CAPACITIES_PER_S: [f64; 4] = [30.0, 200.0, 1_000.0, 5_000.0];

/// Guards against a bound that fits one size of instance: a small one takes too much, and a large
/// one too little.
#[test]
fn small_and_large_instances_find_their_capacity() {
    for capacity_per_s in CAPACITIES_PER_S {
        let mut instance = Instance::new(capacity_per_s);
        instance.offer(capacity_per_s * 0.1, 3_000);
        instance.offer(capacity_per_s * 4.0, ADAPTING_MS);
        let taken = instance.offer(capacity_per_s * 4.0, 5_000);
        let taken_per_s = taken.taken as f64 / 5.0;
        let share = taken_per_s / capacity_per_s;
        assert!(
            (0.55..=1.0).contains(&share),
            "{share} of {capacity_per_s}: {taken:?}"
        );
        assert!(
            taken.last_took_ms <= REQUEST_MS * 2,
            "{capacity_per_s}: {taken:?}"
        );
    }
}

/// Guards against callers that are turned away although there is room.
#[test]
fn nobody_is_turned_away_below_the_capacity() {
    for capacity_per_s in CAPACITIES_PER_S {
        let mut instance = Instance::new(capacity_per_s);
        let taken = instance.offer(capacity_per_s * 0.7, 10_000);
        assert_eq!(taken.taken, taken.offered, "{capacity_per_s}");
    }
}

/// Guards against an instance that goes on turning callers away after too many have come.
#[test]
fn after_overload_all_are_taken_again() {
    for capacity_per_s in CAPACITIES_PER_S {
        let mut instance = Instance::new(capacity_per_s);
        instance.offer(capacity_per_s * 4.0, 5_000);
        instance.offer(capacity_per_s * 0.5, ADAPTING_MS);
        let taken = instance.offer(capacity_per_s * 0.5, 3_000);
        assert_eq!(taken.taken, taken.offered, "{capacity_per_s}");
    }
}
