//! Stand-in of the platform's balancer: it asks instances whether they are ready, and hands new
//! connections to those that are, or most of them to one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::timeout;

use crate::load;
use crate::load::Call;
use cranereach_http::pool::Pool;

/// Interval between two questions to an instance, and the time that it has to answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of misses after which an instance gets no new connections.
const MISS_COUNT: u32 = 2;

/// Share of the new connections that go to one instance while they are concentrated.
const CONCENTRATED_SHARE: f64 = 0.9;

/// An instance.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready: SocketAddr,
}

/// What the balancer knows, and where it sends most connections.
#[derive(Debug)]
struct State {
    missed_counts: Vec<u32>,
    /// Instance that gets most new connections.
    favourite: Option<usize>,
    rng: StdRng,
}

/// A running balancer.
#[derive(Clone, Debug)]
pub struct Balancer {
    targets: Arc<Vec<Target>>,
    state: Arc<Mutex<State>>,
}

impl Balancer {
    /// Starts a balancer before some instances, which count as ready and answer at `ready_path`.
    pub fn start(targets: Vec<Target>, ready_path: &'static str, seed: u64) -> Self {
        let state = State {
            missed_counts: vec![0; targets.len()],
            favourite: None,
            rng: StdRng::seed_from_u64(seed),
        };
        let balancer = Self {
            targets: Arc::new(targets),
            state: Arc::new(Mutex::new(state)),
        };
        for number in 0..balancer.targets.len() {
            tokio::spawn(balancer.clone().check(number, ready_path));
        }
        balancer
    }

    /// Asks an instance whether it is ready, again and again.
    async fn check(self, number: usize, ready_path: &str) {
        let pool = Pool::new(&self.targets[number].ready.to_string());
        let probe = Call::plain("", Method::GET, ready_path, "");
        loop {
            let answered = timeout(CHECK_INTERVAL, load::send(&pool, &probe)).await;
            let is_ready = answered.is_ok_and(|answer| answer.status == 200);
            self.note_answer(number, is_ready);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Records whether an instance said in time that it is ready.
    fn note_answer(&self, number: usize, is_ready: bool) {
        let mut state = self.lock();
        let missed_count = &mut state.missed_counts[number];
        *missed_count = if is_ready { 0 } else { *missed_count + 1 };
    }

    /// Hands most new connections to one instance from now on, and to another once it is out.
    pub fn concentrate_on(&self, number: usize) {
        self.lock().favourite = Some(number);
    }

    /// Spreads new connections again.
    pub fn spread(&self) {
        self.lock().favourite = None;
    }

    /// Chooses the instance for a new connection; `failed` is the one of the try before.
    pub fn choose(&self, failed: Option<usize>) -> usize {
        let mut state = self.lock();
        let in_count = (0..self.targets.len())
            .filter(|number| state.missed_counts[*number] < MISS_COUNT)
            .count();
        let uses_all = 2 * in_count < self.targets.len();
        let usable: Vec<usize> = (0..self.targets.len())
            .filter(|number| uses_all || state.missed_counts[*number] < MISS_COUNT)
            .collect();
        if let Some(favourite) = state.favourite
            && !usable.contains(&favourite)
        {
            state.favourite = usable.first().copied();
        }
        let others: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|number| Some(*number) != failed)
            .collect();
        let concentrated = state
            .favourite
            .filter(|favourite| others.contains(favourite));
        match concentrated {
            Some(favourite) if state.rng.random_bool(CONCENTRATED_SHARE) => favourite,
            _ if others.is_empty() => usable[0],
            _ => others[state.rng.random_range(0..others.len())],
        }
    }

    /// Locks the state, ignoring poisoning.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of an instance for callers.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.targets[number].callers
    }
}
