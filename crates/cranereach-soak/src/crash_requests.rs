//! A request that crashes each worker that starts to run it, and a caller that keeps resending it
//! through randomly chosen gateways.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::callers::deadline_ms;
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

/// Word in the path of crash requests, which makes a worker crash. Their IDs start with it, too.
pub const ENDING: &str = "ending";

/// Mixed into the seed, so that these random draws are independent of others in the run.
const SEED_SALT: u64 = 0x656e_6469_6e67;

/// Range of the pause between two attempts, in milliseconds.
const PAUSE_MS: (u64, u64) = (200, 1_500);

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
    let end_ms = run_ms.saturating_sub(FAULT_FREE_END_MS.min(run_ms / 2));
    pause(FAULT_FREE_START_MS).await;
    let mut number = 0;
    while journal.now_ms() < end_ms {
        let gateway = &gateways[rng.random_range(0..gateways.len())];
        let id = format!("{ENDING}-{seed:x}-{number}");
        let request = request(kind, key, &id);
        send_single_request(gateway, &journal, (kind, key), id, request).await;
        number += 1;
        pause(rng.random_range(PAUSE_MS.0..PAUSE_MS.1)).await;
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
