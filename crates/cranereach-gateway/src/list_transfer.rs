//! Transfer of the worker list from peers over TCP: the whole list, or its changes since a
//! position.
//!
//! Datagrams carry small changes ([`crate::gossip`]). An instance that starts, has missed a
//! change, or is notified of one too large for a datagram, fetches it here.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::body_transfer;
use crate::body_transfer::BodyRequest;
use crate::messages::ListMessage;
use crate::messages::pack_rows;
use crate::messages::unpack_rows;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::recipients::Origin;
use crate::roster_sync;
use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::listing::History;
use cranereach_fleet::listing::Span;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::Distance;

/// Maximum number of whole lists sent at a time. More would share the link's bandwidth, so
/// that no receiver could pass the list on before all are done; a peer that is turned away
/// asks another one.
const CONCURRENT_WHOLE_LISTS_MAX_COUNT: usize = 3;

/// Time for which a compressed whole list is reused, in milliseconds: compressing 10,000 rows
/// takes some 30 ms of a core, and later changes are fetched separately.
const PACKED_LIST_TTL_MS: u64 = 5_000;

/// Maximum delay before changes too large for a datagram are fetched, in milliseconds: all
/// instances of a failure domain are notified of them at the same moment.
const FETCH_SPREAD_MS: u64 = 200;

/// Time for which the local list may lag behind that of a peer before its changes are fetched,
/// in milliseconds: usually they are already on their way.
const OWN_DOMAIN_LAG_MS: u64 = 600;

/// The same for a peer of another failure domain; peers of this domain are asked first.
const OTHER_DOMAIN_LAG_MS: u64 = 1_800;

/// Response body that says that there is nothing to send now. It is told from a connection that ends
/// before the answer, and from the beginning of a list, since it begins with no valid number.
const NOTHING_TO_SEND: &[u8] = &[0xff; 10];

/// Response body: a worker list, or its changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ListBody {
    list: ListMessage,
    /// Change history before the list's position; set if the rows are the whole list.
    history: Option<History>,
}

/// State for sending whole lists.
#[derive(Debug)]
pub struct ListSending {
    send_slots: Semaphore,
    packed: Mutex<Option<PackedList>>,
}

impl Default for ListSending {
    fn default() -> Self {
        Self {
            send_slots: Semaphore::new(CONCURRENT_WHOLE_LISTS_MAX_COUNT),
            packed: Mutex::default(),
        }
    }
}

/// A compressed whole list.
#[derive(Clone, Debug)]
struct PackedList {
    packed_at_ms: u64,
    position: StorePosition,
    /// Time at which `position` was known to be the newest, in milliseconds.
    as_of_ms: u64,
    packed_rows: Vec<u8>,
    history: History,
}

/// Result of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The local list is newer than before, or confirmed as of a later time.
    Updated,
    /// The peer has no list, nothing newer, or no free slot to send it.
    NothingNew,
    /// The peer could not be reached, or its answer was malformed or ended early.
    Failed,
}

/// Answers a peer whose list is complete at position `known`.
///
/// The permit, if any, must be held until the body is sent.
pub fn answer(node: &Node, known: StorePosition) -> (Bytes, Option<SemaphorePermit<'_>>) {
    let Some(age_ms) = lock(&node.list).age_ms(node.now_ms()) else {
        return (Bytes::from_static(NOTHING_TO_SEND), None);
    };
    if let Some(list) = changes_since(node, known, age_ms) {
        return (encode_body(list, None), None);
    }
    let Ok(slot) = node.list_sending.send_slots.try_acquire() else {
        return (Bytes::from_static(NOTHING_TO_SEND), None);
    };
    let (list, history) = whole_list(node, age_ms);
    (encode_body(list, Some(history)), Some(slot))
}

/// Returns the changes since a position; `None` if they aren't known.
fn changes_since(node: &Node, known: StorePosition, age_ms: u64) -> Option<ListMessage> {
    let listing = lock(&node.listing);
    if known.is_none() || known > listing.position() {
        return None;
    }
    let rows = listing.since(known)?;
    let rows: Vec<&ChangedRow> = rows.iter().collect();
    Some(ListMessage {
        from: known,
        span: listing.span_since(known),
        position: listing.position(),
        age_ms,
        packed_rows: pack_rows(&rows),
    })
}

/// Returns the whole list, from the cache if that is recent enough.
fn whole_list(node: &Node, age_ms: u64) -> (ListMessage, History) {
    let now_ms = node.now_ms();
    let mut packed = lock(&node.list_sending.packed);
    let era = node.list_position().era;
    let cached = packed.take().filter(|cached| {
        now_ms < cached.packed_at_ms + PACKED_LIST_TTL_MS && cached.position.era == era
    });
    let cached = cached.unwrap_or_else(|| pack_list(node, now_ms, age_ms));
    let message = ListMessage {
        from: StorePosition::default(),
        span: Span::Difference,
        position: cached.position,
        age_ms: now_ms.saturating_sub(cached.as_of_ms),
        packed_rows: cached.packed_rows.clone(),
    };
    let history = cached.history.clone();
    *packed = Some(cached);
    (message, history)
}

/// Compresses the whole list.
fn pack_list(node: &Node, now_ms: u64, age_ms: u64) -> PackedList {
    let listing = lock(&node.listing);
    let rows = listing.rows().map(|(key, position, value)| ChangedRow {
        key: key.to_owned(),
        position,
        value: Some(value.to_vec()),
    });
    let rows: Vec<ChangedRow> = rows.collect();
    let rows: Vec<&ChangedRow> = rows.iter().collect();
    PackedList {
        packed_at_ms: now_ms,
        position: listing.position(),
        as_of_ms: now_ms.saturating_sub(age_ms),
        packed_rows: pack_rows(&rows),
        history: listing.history().clone(),
    }
}

/// Encodes a response body.
fn encode_body(list: ListMessage, history: Option<History>) -> Bytes {
    let body = ListBody { list, history };
    Bytes::from(postcard::to_stdvec(&body).unwrap_or_default())
}

/// Fetches from a peer whatever its list has that the local one lacks.
pub async fn fetch(node: &Node, peer: Ipv4Addr) -> FetchOutcome {
    let asked_at_ms = node.now_ms();
    let known = node.list_position();
    let Ok(body) = body_transfer::fetch(node, peer, BodyRequest::Workers(known)).await else {
        return FetchOutcome::Failed;
    };
    if body == NOTHING_TO_SEND {
        return FetchOutcome::NothingNew;
    }
    if body.is_empty() {
        return FetchOutcome::Failed;
    }
    let Ok(ListBody { list, history }) = postcard::from_bytes(&body) else {
        return count_malformed(node);
    };
    // However long the answer took, its age is counted from the question, so that the list
    // never seems fresher than it is.
    let as_of_ms = asked_at_ms.saturating_sub(list.age_ms);
    let is_newer = list.position > known || lock(&node.list).is_older_than(as_of_ms);
    if let Some(history) = history {
        let Some(rows) = unpack_rows(&list.packed_rows, body_transfer::FETCH_MAX_BYTES as u64)
        else {
            return count_malformed(node);
        };
        info!(node.log, "workers from a peer"; "peer" => peer.to_string(),
            "position" => %list.position, "rows" => rows.len());
        if list.position < node.list_position() {
            return FetchOutcome::NothingNew;
        }
        roster_sync::take_whole(node, as_of_ms, list.position, rows);
        lock(&node.listing).adopt_history(list.position, history);
        node.announce_list(Origin::at(node.distance_to(peer)));
    } else {
        roster_sync::take_changes(node, peer, as_of_ms, &list);
    }
    if is_newer {
        FetchOutcome::Updated
    } else {
        FetchOutcome::NothingNew
    }
}

/// Counts a malformed answer.
fn count_malformed(node: &Node) -> FetchOutcome {
    let counter = &node.metrics.bad_input_total;
    counter.with_label_values(&["peer"]).inc();
    FetchOutcome::Failed
}

/// Fetches list changes that a peer has announced but not sent, after a random delay.
pub fn fetch_missing(node: &Arc<Node>, peer: Ipv4Addr, position: StorePosition) {
    fetch_after(
        node,
        peer,
        position,
        rand::random_range(0..=FETCH_SPREAD_MS),
    );
}

/// Fetches the list from a peer that has a newer one, unless the changes arrive otherwise
/// within the allowed lag.
pub fn fetch_if_behind(node: &Arc<Node>, peer: Ipv4Addr, position: StorePosition) {
    // An instance without a list selects its first source elsewhere (`list_source`).
    if node.list_position().is_none() {
        return;
    }
    let is_near = node.distance_to(peer) == Some(Distance::OwnDomain);
    fetch_after(
        node,
        peer,
        position,
        if is_near {
            OWN_DOMAIN_LAG_MS
        } else {
            OTHER_DOMAIN_LAG_MS
        },
    );
}

/// Fetches the list from a peer after a delay, unless the local one has caught up by then.
fn fetch_after(node: &Arc<Node>, peer: Ipv4Addr, position: StorePosition, after_ms: u64) {
    if position <= node.list_position() || node.is_fetching_list.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        pause(after_ms).await;
        let known = node.list_position();
        if known < position {
            info!(node.log, "changes of the list missing"; "peer" => peer.to_string(),
                "known" => %known, "position" => %position);
            // After a failure, the next digest triggers another fetch.
            let _fetched = fetch(&node, peer).await;
        }
        node.is_fetching_list.store(false, Ordering::Release);
    });
}
