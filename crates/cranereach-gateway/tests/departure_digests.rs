//! Size of the gossip digest entries that report leaving workers.

use cranereach_fleet::departure::DepartureNews;
use cranereach_gateway::messages::Digest;
use cranereach_gateway::messages::Message;
use cranereach_gateway::messages::encode;

/// Maximum size of the digest entry for one leaving worker, in bytes.
const ENTRY_MAX_BYTES: usize = 20;

fn digest_bytes(count: usize) -> usize {
    let update = DepartureNews {
        worker: u64::MAX,
        start: u64::MAX,
    };
    let digest = Digest {
        departures: vec![update; count],
        ..Digest::default()
    };
    encode(Message::Digest(Box::new(digest))).len()
}

#[test]
fn a_leaving_worker_adds_few_bytes_to_a_digest() {
    let entry_bytes = digest_bytes(1) - digest_bytes(0);
    println!("an entry takes {entry_bytes} bytes");
    assert!(entry_bytes <= ENTRY_MAX_BYTES);
}
