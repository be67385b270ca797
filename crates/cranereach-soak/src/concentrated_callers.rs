//! Callers that open a connection for each request and keep it, behind a balancer that hands most of
//! them to one gateway for some seconds.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::callers;
use crate::faults::pause;
use crate::gateways::Gateway;
use crate::journal::Journal;
use crate::record::End;
use crate::record::Event;
use crate::record::Kind;
use crate::record::RequestRecord;
use crate::schedule::KEYS;
use cranereach_platform::requests::HEADERS;
use cranereach_platform::requests::READY_PATH;
use cranereach_platform::standin::declared::HOST;
use cranereach_standin::balancer::Balancer;
use cranereach_standin::balancer::Target;

/// Capacity of the network link of each gateway, as its settings state it, in megabits a second.
pub const LINK_MBPS: f64 = 8.0;

/// What is left of it for callers, in bytes a second: less than the settings state. It carries a
/// quarter of their requests, but not most of them.
pub const LINK_BYTES_PER_S: f64 = 800_000.0;

/// Mixed into the seed, so that these random draws are independent of others in the run.
const SEED_SALT: u64 = 0x636f_6e63;

/// Interval between two requests of all these callers together, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 12;

/// Size of the body of a request, in bytes.
const BODY_BYTES: usize = 16 * 1024;

/// Number of tries of a request whose connection is closed unread.
const TRY_MAX_COUNT: usize = 4;

/// Range of the time for which connections are spread, in milliseconds.
const SPREAD_MS: (u64, u64) = (4_000, 7_000);

/// Range of the time for which they are concentrated, in milliseconds.
const CONCENTRATED_MS: (u64, u64) = (4_500, 9_000);

/// Largest number of connections that are kept.
const KEPT_MAX_COUNT: usize = 2_000;

/// Marks the identities of these requests.
const ID_MARK: char = 'n';

/// A connection that its caller keeps.
type KeptConnection = SendRequest<Full<Bytes>>;

/// What all requests of these callers share.
#[derive(Debug)]
struct Swarm {
    seed: u64,
    balancer: Balancer,
    journal: Arc<Journal>,
    kept: Mutex<Vec<KeptConnection>>,
}

/// Sends requests until `end_ms`, and concentrates them on one gateway after the other.
pub async fn run(seed: u64, end_ms: u64, gateways: Vec<Arc<Gateway>>, journal: Arc<Journal>) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    let targets = gateways.iter().map(|gateway| Target {
        callers: gateway.caller_address,
        ready: gateway.ready_address,
    });
    let swarm = Arc::new(Swarm {
        seed,
        balancer: Balancer::start(targets.collect(), READY_PATH, seed ^ SEED_SALT),
        journal,
        kept: Mutex::default(),
    });
    let sending = tokio::spawn(send_until(Arc::clone(&swarm), end_ms));
    while swarm.journal.now_ms() < end_ms {
        pause(rng.random_range(SPREAD_MS.0..SPREAD_MS.1)).await;
        let from_ms = swarm.journal.now_ms();
        swarm
            .balancer
            .concentrate_on(rng.random_range(0..gateways.len()));
        pause(rng.random_range(CONCENTRATED_MS.0..CONCENTRATED_MS.1)).await;
        swarm.balancer.spread();
        swarm.journal.record_event(Event::Concentrated {
            from_ms,
            to_ms: swarm.journal.now_ms().min(end_ms),
        });
    }
    if let Err(error) = sending.await {
        eprintln!("callers that are concentrated on one gateway: {error}");
    }
}

/// Sends requests at a fixed interval until `end_ms`, and waits for their ends.
async fn send_until(swarm: Arc<Swarm>, end_ms: u64) {
    let mut sending = JoinSet::new();
    for number in 0_u64.. {
        if swarm.journal.now_ms() >= end_ms {
            break;
        }
        sending.spawn(send(Arc::clone(&swarm), number));
        pause(REQUEST_INTERVAL_MS).await;
    }
    while sending.join_next().await.is_some() {}
}

/// Sends a request until a gateway has answered it or its caller has given up. A connection that is
/// closed without an answer is followed by a try elsewhere, as the route allows.
async fn send(swarm: Arc<Swarm>, number: u64) {
    let mut failed = None;
    for try_number in 0..TRY_MAX_COUNT {
        let gateway = swarm.balancer.choose(failed);
        failed = Some(gateway);
        let Some(mut connection) = callers::connect(swarm.balancer.address(gateway)).await else {
            continue;
        };
        let id = request_id(swarm.seed, number, try_number);
        let sent_ms = swarm.journal.now_ms();
        let limit_ms = callers::deadline_ms(Kind::Again) + callers::GIVE_UP_DELAY_MS;
        let exchange = callers::exchange(&mut connection, request(&id));
        let end = timeout(Duration::from_millis(limit_ms), exchange).await;
        let end = end.unwrap_or(End::GaveUp);
        let is_closed = end == End::Closed;
        swarm.journal.record_request(RequestRecord {
            id,
            kind: Kind::Again,
            key: 0,
            gateway,
            sent_ms,
            ended_ms: swarm.journal.now_ms(),
            end,
            take_up: None,
            is_left: false,
        });
        if !is_closed {
            swarm.keep(connection);
            return;
        }
    }
}

impl Swarm {
    /// Keeps a connection open without using it again.
    fn keep(&self, connection: KeptConnection) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() >= KEPT_MAX_COUNT {
            kept.clear();
        }
        kept.push(connection);
    }
}

/// Returns the identity of one try of a request.
fn request_id(seed: u64, number: u64, try_number: usize) -> String {
    format!("{seed:x}-{ID_MARK}{number}-{try_number}")
}

/// Returns the number of the request that a try with an identity belongs to; `None` if it isn't one
/// of these callers'.
///
/// ```
/// use cranereach_soak::concentrated_callers::request_number;
///
/// assert_eq!(request_number("7-n12-0"), Some(12));
/// assert_eq!(request_number("7-3-12"), None);
/// ```
pub fn request_number(id: &str) -> Option<u64> {
    let (_seed, rest) = id.split_once('-')?;
    let (number, _try_number) = rest.strip_prefix(ID_MARK)?.split_once('-')?;
    number.parse().ok()
}

/// Builds a request.
fn request(id: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method("POST")
        .uri(format!("/{}/x", Kind::Again.route()))
        .header("host", HOST)
        .header("authorization", format!("Bearer {}", KEYS[0]))
        .header(HEADERS.request_id, id)
        .header(HEADERS.deadline_ms, callers::deadline_ms(Kind::Again));
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    builder.body(body).expect("request parts are valid")
}
