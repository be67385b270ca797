//! Changes of the list of workers, told over UDP whenever there are some.
//!
//! A change that is too large for a datagram is told of all the same; whoever lacks it
//! fetches it ([`crate::list_bodies`]).

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

/// Largest packed rows that one message carries, in bytes.
const LIST_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - 1_024;

/// Age from which changes of the list count as known to all but those whom they have
/// missed, in milliseconds: some hops from peer to peer.
const PROPAGATION_MS: u64 = 400;

/// Tells changes of the list of workers whenever there are some, until the
/// process ends.
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
            // Only that it is still the newest is new.
            changes = without_rows(&changes);
        }
        announced_position = changes.position;
        let recipients = node.peers().list_recipients(node.now_ms(), origin);
        node.send_all(Message::List(changes), &recipients).await;
    }
}

/// Tells one peer whose list is behind what has changed.
///
/// News that are young are still on their way by themselves.
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

/// Returns the newest changes of the list; none before the first read.
fn list_changes(node: &Node) -> Option<ListMessage> {
    let age_ms = lock(&node.list).age_ms(node.now_ms())?;
    let listing = lock(&node.listing);
    listing.part().map(|part| list_message(&part, age_ms))
}

/// Makes the message of changes of the list.
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

/// Leaves the rows out: the message still says that there is something newer, or that
/// there is nothing.
fn without_rows(message: &ListMessage) -> ListMessage {
    ListMessage {
        from: message.position,
        span: Span::Changes,
        position: message.position,
        age_ms: message.age_ms,
        packed_rows: pack_rows(&[]),
    }
}
