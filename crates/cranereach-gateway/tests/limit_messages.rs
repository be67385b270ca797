//! Size of the messages in which instances exchange the rate limits that workers announce.

use cranereach_fleet::named_limit::LimitReport;
use cranereach_gateway::messages::GrantAsk;
use cranereach_gateway::messages::Message;
use cranereach_gateway::messages::OwnerAsk;
use cranereach_gateway::messages::OwnerEvent;
use cranereach_gateway::messages::OwnerMessage;
use cranereach_gateway::messages::SendGrant;
use cranereach_gateway::messages::encode;

/// Maximum size that a limit report adds to a message, in bytes.
const REPORT_MAX_BYTES: usize = 32;

/// Maximum size of a request for a send grant, and of the grant, in bytes.
const GRANT_MAX_BYTES: usize = 64;

/// A limit report of maximum encoded size.
const LARGEST_REPORT: LimitReport = LimitReport {
    start: u64::MAX,
    rate_per_s: Some(1.2),
    asked_age_ms: u32::MAX,
    heard_age_ms: u32::MAX,
};

fn owner_message_bytes(limit: Option<LimitReport>) -> usize {
    let ask = OwnerAsk {
        limit,
        ..OwnerAsk::default()
    };
    let message = OwnerMessage {
        worker: u64::MAX,
        ticket: u64::MAX,
        event: OwnerEvent::Ask(ask),
    };
    encode(Message::Owner(message)).len()
}

#[test]
fn a_limit_report_adds_few_bytes() {
    let bytes_without = owner_message_bytes(None);
    let bytes_with = owner_message_bytes(Some(LARGEST_REPORT));
    println!("a limit report takes {} bytes", bytes_with - bytes_without);
    assert!(bytes_with - bytes_without <= REPORT_MAX_BYTES);
}

#[test]
fn a_grant_is_two_small_messages() {
    let ask = GrantAsk {
        ticket: u64::MAX,
        worker: u64::MAX,
        rank: 2,
        is_cold: true,
        limit: Some(LARGEST_REPORT),
        brittle: None,
    };
    let grant = SendGrant {
        ticket: u64::MAX,
        worker: u64::MAX,
        wait_ms: Some(u32::MAX),
        limit: Some(LARGEST_REPORT),
    };
    let ask_bytes = encode(Message::MaySend(ask)).len();
    let grant_bytes = encode(Message::SendGranted(grant)).len();
    println!("a request takes {ask_bytes} bytes, a grant {grant_bytes}");
    assert!(ask_bytes <= GRANT_MAX_BYTES);
    assert!(grant_bytes <= GRANT_MAX_BYTES);
}
