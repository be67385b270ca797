//! Size of the gossip digest entries that report leaving workers.

use cranereach_fleet::departure::DepartureNews;
use cranereach_gateway::messages::Digest;
use cranereach_gateway::messages::Message;
use cranereach_gateway::messages::encode;

/// Maximum size of the digest entry for one leaving worker, in bytes.
const WORD_MAX_BYTES: usize = 20;

fn digest_bytes(count: usize) -> usize {
    let news = DepartureNews {
        worker: u64::MAX,
        start: u64::MAX,
    };
    let digest = Digest {
        departures: vec![news; count],
        ..Digest::default()
    };
    encode(Message::Digest(Box::new(digest))).len()
}

#[test]
fn a_worker_that_leaves_costs_few_bytes_a_digest() {
    let word_bytes = digest_bytes(1) - digest_bytes(0);
    println!("an entry takes {word_bytes} bytes");
    assert!(word_bytes <= WORD_MAX_BYTES);
}
