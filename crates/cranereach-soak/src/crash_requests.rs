//! Requests that crash each worker that starts to run them, and callers that keep sending them
//! through randomly chosen gateways: the same request again and again, and unlike requests that
//! share a part of their prompts.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::callers::TOKENS;
use crate::callers::deadline_ms;
use crate::callers::prompt_parts;
use crate::callers::send_single_request;
use crate::faults::pause;
use crate::gateways::Gateway;
use crate::journal::Journal;
use crate::record::Kind;
use crate::schedule::FAULT_FREE_END_MS;
use crate::schedule::FAULT_FREE_START_MS;
use crate::schedule::FIRST_REVOCABLE;
use crate::schedule::KEYS;
use cranereach_platform::requests::HEADERS;
use cranereach_platform::standin::declared::HOST;
use cranereach_platform::standin::declared::MODELS;

/// Word in the path of crash requests, which makes a worker crash. Their IDs start with it, too.
pub const ENDING: &str = "ending";

/// Part of prompts that makes a worker crash, and what the IDs of requests with it start with.
pub const CRASH_PART: &str = "dead";
const CRASH_PART_ID: &str = "part";

/// Mixed into the seed, so that these random draws are independent of others in the run.
const SEED_SALT: u64 = 0x656e_6469_6e67;

/// The same for requests that share a part.
const PROMPT_SEED_SALT: u64 = 0x7061_7274;

/// Range of the pause between two attempts, in milliseconds.
const PAUSE_MS: (u64, u64) = (200, 1_500);

/// Returns whether an ID belongs to a request with the crash part.
pub fn has_crash_part(id: &str) -> bool {
    id.starts_with(CRASH_PART_ID)
}

/// Returns whether an ID belongs to a crash request.
pub fn is_crash_request(id: &str) -> bool {
    id.starts_with(ENDING)
}

/// Resends the request until the fault-free time at the end of a run, so that recovery from it is
/// checked as well.
pub async fn run(seed: u64, run_ms: u64, gateways: Vec<Arc<Gateway>>, journal: Arc<Journal>) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    let kinds = [Kind::Once, Kind::Again];
    let kind = kinds[rng.random_range(0..kinds.len())];
    let key = rng.random_range(0..FIRST_REVOCABLE);
    let caller = CrashCaller {
        gateways,
        journal,
        end_ms: end_ms(run_ms),
    };
    let make_request = |number: usize, _rng: &mut StdRng| {
        let id = format!("{ENDING}-{seed:x}-{number}");
        let request = request(kind, key, &id);
        ((kind, key), id, request)
    };
    caller.send_repeatedly(&mut rng, make_request).await;
}

/// Sends unlike requests that share the crash part, as long as [`run`] resends its request.
pub async fn run_prompts(
    seed: u64,
    run_ms: u64,
    gateways: Vec<Arc<Gateway>>,
    journal: Arc<Journal>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ PROMPT_SEED_SALT);
    let caller = CrashCaller {
        gateways,
        journal,
        end_ms: end_ms(run_ms),
    };
    let make_request = |number: usize, rng: &mut StdRng| {
        let id = format!("{CRASH_PART_ID}-{seed:x}-{number}");
        let key = rng.random_range(0..FIRST_REVOCABLE);
        let model = MODELS[rng.random_range(0..MODELS.len())];
        let request = prompt_request(key, model, &id);
        ((Kind::Stream, key), id, request)
    };
    caller.send_repeatedly(&mut rng, make_request).await;
}

/// Returns the time until which crash requests are sent, in milliseconds.
fn end_ms(run_ms: u64) -> u64 {
    run_ms.saturating_sub(FAULT_FREE_END_MS.min(run_ms / 2))
}

/// A caller that keeps sending crash requests.
struct CrashCaller {
    gateways: Vec<Arc<Gateway>>,
    journal: Arc<Journal>,
    end_ms: u64,
}

/// Kind and key of a request, its ID, and the request.
type CrashRequest = ((Kind, usize), String, Request<Full<Bytes>>);

impl CrashCaller {
    /// Sends one request after the other, each through a gateway of its own.
    async fn send_repeatedly(
        &self,
        rng: &mut StdRng,
        make_request: impl Fn(usize, &mut StdRng) -> CrashRequest,
    ) {
        pause(FAULT_FREE_START_MS).await;
        let mut number = 0;
        while self.journal.now_ms() < self.end_ms {
            let gateway = &self.gateways[rng.random_range(0..self.gateways.len())];
            let (asked, id, request) = make_request(number, rng);
            send_single_request(gateway, &self.journal, asked, id, request).await;
            number += 1;
            pause(rng.random_range(PAUSE_MS.0..PAUSE_MS.1)).await;
        }
    }
}

/// Builds the request. Only its ID differs between attempts.
fn request(kind: Kind, key: usize, id: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method("POST")
        .uri(format!("/{}/{ENDING}", kind.route()))
        .header("host", HOST)
        .header("authorization", format!("Bearer {}", KEYS[key]))
        .header(HEADERS.request_id, id)
        .header(HEADERS.deadline_ms, deadline_ms(kind));
    builder
        .body(Full::new(Bytes::from_static(b"the same each time")))
        .expect("request parts are valid")
}

/// Builds a request with the crash part in its prompt.
fn prompt_request(key: usize, model: &str, id: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method("POST")
        .uri(format!("/{}/{id}", Kind::Stream.route()))
        .header("host", HOST)
        .header("authorization", format!("Bearer {}", KEYS[key]))
        .header(HEADERS.request_id, id)
        .header(HEADERS.deadline_ms, deadline_ms(Kind::Stream))
        .header(HEADERS.model, model)
        .header(HEADERS.tokens, TOKENS)
        .header(HEADERS.prompt_parts, prompt_parts(CRASH_PART, id));
    let body = Full::new(Bytes::from(id.to_owned()));
    builder.body(body).expect("request parts are valid")
}
