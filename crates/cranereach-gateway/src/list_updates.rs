//! Changes of the worker list, sent to peers over UDP as they occur.
//!
//! A change too large for a datagram is announced without its rows; peers that lack it fetch
//! it ([`crate::list_transfer`]).

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::messages::DATAGRAM_MAX_BYTES;
use crate::messages::ListMessage;
use crate::messages::Message;
use crate::messages::pack_rows;
use crate::node::Node;
use crate::node::lock;
use cranereach_fleet::listing::ListPart;
use cranereach_fleet::listing::Span;
use cranereach_fleet::store_position::StorePosition;

/// Maximum size of the compressed rows in one message, in bytes.
const LIST_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - 1_024;

/// Age from which changes should have reached all peers, in milliseconds: the time for
/// several hops between peers. A peer that still lacks them has missed them.
const PROPAGATION_MS: u64 = 400;

/// Sends the worker list's changes to peers as they occur, until the process ends.
pub async fn send(node: Arc<Node>) {
    let mut announced_position = StorePosition::default();
    loop {
        node.list_update_wanted.notified().await;
        let Some(origin) = lock(&node.list_origin).take() else {
            continue;
        };
        let Some(mut changes) = list_changes(&node) else {
            continue;
        };
        if changes.position == announced_position {
            // The rows were already sent; only the confirmation that they are the newest is
            // new.
            changes = without_rows(&changes);
        }
        announced_position = changes.position;
        let recipients = node.peers().list_recipients(node.now_ms(), origin);
        node.send_all(Message::List(changes), &recipients).await;
    }
}

/// Sends the latest changes to one peer whose list is behind.
///
/// Recent changes are not sent: they are still on their way through other peers.
pub async fn update_lagging_peer(node: &Node, peer: Ipv4Addr) {
    let age_ms = lock(&node.list).age_ms(node.now_ms());
    if age_ms.is_none_or(|age_ms| age_ms < PROPAGATION_MS) {
        return;
    }
    if !node.peers().may_update_lagging_peer(node.now_ms(), peer) {
        return;
    }
    if let Some(changes) = list_changes(node) {
        node.send_all(Message::List(changes), &[peer]).await;
    }
}

/// Returns the latest changes of the list; `None` before the first read.
fn list_changes(node: &Node) -> Option<ListMessage> {
    let age_ms = lock(&node.list).age_ms(node.now_ms())?;
    let listing = lock(&node.listing);
    listing.part().map(|part| list_message(&part, age_ms))
}

/// Builds the message with the list's changes, without rows if they are too large.
fn list_message(part: &ListPart<'_>, age_ms: u64) -> ListMessage {
    let packed_rows = pack_rows(&part.rows);
    let fits = packed_rows.len() <= LIST_MAX_BYTES;
    let message = ListMessage {
        from: part.from,
        span: part.span,
        position: part.position,
        age_ms,
        packed_rows,
    };
    if fits {
        message
    } else {
        without_rows(&message)
    }
}

/// Removes the rows: the message then only announces the list's position and age.
fn without_rows(message: &ListMessage) -> ListMessage {
    ListMessage {
        from: message.position,
        span: Span::Changes,
        position: message.position,
        age_ms: message.age_ms,
        packed_rows: pack_rows(&[]),
    }
}
