//! Keeps the list of workers current, from reads of the store and from peers' messages.
//!
//! A [`ListSourceSelector`] decides when this instance has to read, and from where. Each read's
//! changes are sent to all peers at once, so that normally one instance reads on behalf of all.

mod row_effects;

use std::net::Ipv4Addr;
use std::sync::Arc;

use slog::info;
use slog::warn;

use self::row_effects::RowEffects;
use crate::adapter::Row;
use crate::body_transfer;
use crate::list_source::ListSourceSelector;
use crate::list_source::Source;
use crate::list_transfer;
use crate::messages::ListMessage;
use crate::messages::unpack_rows;
use crate::node::Node;
use crate::node::lock;
use crate::recipients::Origin;
use crate::store::StoreError;
use crate::store_backoff;
use crate::store_era;
use cranereach_fleet::freshness::reported_as_of_ms;
use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::listing::Span;
use cranereach_fleet::listing::Verdict;
use cranereach_fleet::store_position::StorePosition;

/// Long-poll wait requested from the store, in milliseconds. It is zero so that each response shows
/// the list as of the time of the request.
const WAIT_MS: u64 = 0;

/// Maximum number of rows of one change that are logged individually. When thousands of workers
/// start, logging each of them would take more processor time than everything else.
const LOGGED_MAX_COUNT: usize = 64;

/// Minimum gain in freshness for which an unchanged list is announced to further peers, in
/// milliseconds. It is far below the staleness bound, and far above the differences between
/// announcements from several peers.
const REBROADCAST_MIN_ADVANCE_MS: u64 = 250;

/// Runs until the process exits.
pub async fn run(node: Arc<Node>) {
    let mut source_selector = ListSourceSelector::default();
    let mut is_whole = true;
    let mut failure_count = 0_u32;
    loop {
        match source_selector.next(&node).await {
            Source::Peer(peer) => {
                let fetched = list_transfer::fetch(&node, peer).await;
                source_selector.fetched(node.now_ms(), peer, fetched);
                is_whole &= node.list_position().is_none();
                continue;
            }
            Source::Store => {}
        }
        // In a new era, changes relative to the earlier list have no meaning.
        is_whole |= node.list_position().era < node.store.eras().newest();
        let read = read(&node, is_whole).await;
        source_selector.note_store_read();
        match read {
            Ok(()) => {
                if failure_count > 0 {
                    info!(node.log, "store regained"; "for" => "workers", "failures" => failure_count);
                }
                failure_count = 0;
                is_whole = false;
                // Also sent without changes: peers need to know that the list is current.
                node.announce_list(Origin::Own);
            }
            Err(error @ (StoreError::HistoryGone | StoreError::OtherEra)) => {
                info!(node.log, "list to be read whole"; "why" => error.to_string(),
                    "position" => %node.list_position());
                is_whole = true;
                if error == StoreError::OtherEra {
                    store_backoff::pause_after_era_change().await;
                }
            }
            Err(error) => {
                if failure_count == 0 {
                    warn!(node.log, "store lost"; "for" => "workers", "error" => error.to_string());
                }
                store_backoff::back_off_after_failure(&node, failure_count).await;
                failure_count += 1;
            }
        }
    }
}

/// Reads the whole list from the store, or the changes since the known position.
async fn read(node: &Node, is_whole: bool) -> Result<(), StoreError> {
    let table = node.adapter.store.workers;
    let begun_ms = node.now_ms();
    let read = if is_whole {
        node.store.read(table).await
    } else {
        let position = node.list_position();
        node.store.watch(table, position, WAIT_MS).await
    };
    store_backoff::count_read(node, "workers", &read);
    let rows = read?;
    if is_whole {
        info!(node.log, "workers read whole"; "rows" => rows.rows.len(),
            "position" => %rows.position, "known" => %node.list_position());
    }
    let changed = rows.rows.into_iter().map(changed_row).collect();
    if is_whole {
        take_whole(node, begun_ms, rows.position, changed);
    } else {
        apply_rows(node, begun_ms, rows.position, Span::Changes, changed);
    }
    Ok(())
}

/// Applies list changes sent by a peer. Missing changes are fetched from that peer.
pub fn take_message(node: &Arc<Node>, sender: Ipv4Addr, message: &ListMessage) {
    node.peers().note_list_advertised(sender, message.position);
    let as_of_ms = reported_as_of_ms(node.now_ms(), message.age_ms);
    let verdict = take_changes(node, sender, as_of_ms, message);
    // An instance without any list obtains one in `run`.
    if verdict == Verdict::Gap && !node.list_position().is_none() {
        list_transfer::fetch_missing(node, sender, message.position);
    }
}

/// Applies changes that make the list complete as of the given time, if they follow on from the
/// known position, and passes on what is new.
pub fn take_changes(
    node: &Node,
    sender: Ipv4Addr,
    as_of_ms: u64,
    message: &ListMessage,
) -> Verdict {
    let (position, span) = (message.position, message.span);
    let known_position = node.list_position();
    let verdict = lock(&node.listing).judge(message.from, position, span);
    if verdict != Verdict::Applies {
        return verdict;
    }
    let Some(rows) = unpack_rows(&message.packed_rows, body_transfer::FETCH_MAX_BYTES as u64)
    else {
        let counter = &node.metrics.bad_input_total;
        counter.with_label_values(&["peer"]).inc();
        return Verdict::Old;
    };
    let known_at_ms = lock(&node.list).known_at_ms();
    apply_rows(node, as_of_ms, position, span, rows);
    let is_much_fresher =
        known_at_ms.is_none_or(|known_ms| known_ms + REBROADCAST_MIN_ADVANCE_MS < as_of_ms);
    if position > known_position || is_much_fresher {
        node.announce_list(Origin::at(node.distance_to(sender)));
    }
    verdict
}

/// Applies a peer's statement that the list at a position was complete `age_ms` ago.
pub fn take_age(node: &Node, position: StorePosition, age_ms: u64) {
    let as_of_ms = reported_as_of_ms(node.now_ms(), age_ms);
    let is_fresher = lock(&node.list).is_older_than(as_of_ms);
    if !position.is_none() && position == node.list_position() && is_fresher {
        apply(node, as_of_ms, position, &[]);
    }
}

/// Replaces the list by the whole list as of the given time.
pub fn take_whole(node: &Node, as_of_ms: u64, position: StorePosition, listed: Vec<ChangedRow>) {
    enter_era(node, position);
    let changed = lock(&node.listing).take_whole(position, listed);
    apply(node, as_of_ms, position, &changed);
}

/// Applies rows that make the list complete as of the given time.
fn apply_rows(
    node: &Node,
    as_of_ms: u64,
    position: StorePosition,
    span: Span,
    rows: Vec<ChangedRow>,
) {
    enter_era(node, position);
    let changed = lock(&node.listing).take(position, span, rows);
    apply(node, as_of_ms, position, &changed);
}

/// Enters the era of a position, in case it has not been announced before.
fn enter_era(node: &Node, position: StorePosition) {
    node.store.eras().advance_to(position.era, "list");
    store_era::enter(node);
}

/// Updates the state of the workers to a list that was complete as of the given time.
fn apply(node: &Node, as_of_ms: u64, position: StorePosition, changed: &[ChangedRow]) {
    let now_ms = node.now_ms();
    let lapse_until_ms = confirm_list(node, now_ms, as_of_ms, position);
    if changed.is_empty() {
        return;
    }
    let effects = update_roster(node, changed, lapse_until_ms);
    let ended = changed.iter().filter(|row| row.value.is_none());
    for row in ended.take(LOGGED_MAX_COUNT) {
        info!(node.log, "worker gone"; "worker" => &row.key, "position" => %row.position,
            "lapsed_until_ms" => lapse_until_ms);
    }
    note_leaving(node, now_ms, &effects.leaving);
    node.forget_pools(&effects.ended);
    node.roster_changed.notify_waiters();
    node.controller_wanted.notify_one();
}

/// Applies changed rows to the roster. Returns the workers that are leaving or gone as a result.
fn update_roster(node: &Node, changed: &[ChangedRow], lapse_until_ms: Option<u64>) -> RowEffects {
    let mut roster = node.roster();
    // Workers on the first list started before this instance.
    let are_new = roster.workers().next().is_some();
    let mut effects = RowEffects {
        are_new,
        are_logged: are_new && changed.len() <= LOGGED_MAX_COUNT,
        ..RowEffects::default()
    };
    if !are_new {
        info!(node.log, "first list of workers"; "rows" => changed.len());
    } else if changed.len() > LOGGED_MAX_COUNT {
        info!(node.log, "many workers changed"; "rows" => changed.len());
    }
    for row in changed {
        match &row.value {
            None => effects.end(&mut roster, row, lapse_until_ms),
            Some(value) => {
                if let Some(record) = row_effects::parse(node, &row.key, value) {
                    effects.put(node, &mut roster, row, record);
                }
            }
        }
    }
    effects
}

/// Records that the list was complete as of the given time. Returns the time until which rows may
/// have been removed only because they lapsed during an outage of the store; `None` if there was
/// none.
fn confirm_list(node: &Node, now_ms: u64, as_of_ms: u64, position: StorePosition) -> Option<u64> {
    if position.era < node.store.eras().newest() {
        // The list was in transit when the store was restored from a backup, so newer rows may be
        // missing.
        return None;
    }
    let mut list = lock(&node.list);
    let is_regained = list.ends_outage(as_of_ms);
    let lapse_until_ms = list.lapse_until_ms(now_ms, as_of_ms);
    list.confirm(as_of_ms);
    drop(list);
    if is_regained {
        node.roster().distrust_restored_rows(now_ms);
        // The pending wait for the configuration may have been lost in the outage.
        node.configuration_wanted.notify_one();
    }
    lapse_until_ms
}

/// Converts a row of the store's response to a changed row.
fn changed_row(row: Row) -> ChangedRow {
    ChangedRow {
        key: row.key,
        position: row.position,
        value: (!row.is_gone).then_some(row.value),
    }
}

/// Drops workers whose rows lapsed during an outage and did not come back.
pub fn drop_lapsed(node: &Node, now_ms: u64) {
    let age_ms = lock(&node.list).age_ms(now_ms);
    let is_fresh = age_ms.is_some_and(|age_ms| age_ms < node.settings.bounds.drain_ms);
    let mut roster = node.roster();
    if is_fresh {
        roster.trust_restored_rows(now_ms);
    }
    let lapsed = roster.lapsed(now_ms);
    if lapsed.is_empty() {
        return;
    }
    for (position, id) in &lapsed {
        roster.remove(*position, id);
    }
    drop(roster);
    let ended: Vec<Arc<str>> = lapsed.into_iter().map(|(_, id)| id).collect();
    for id in &ended {
        info!(node.log, "worker lapsed"; "worker" => id.as_ref());
    }
    node.forget_pools(&ended);
    node.roster_changed.notify_waiters();
    node.controller_wanted.notify_one();
}

/// Passes on a peer's report that a worker is leaving.
pub fn forward_leaving(node: &Node, key: u64, position: StorePosition) {
    note_leaving(node, node.now_ms(), &[(key, position)]);
}

/// Queues workers that are leaving or gone for the digests to peers.
fn note_leaving(node: &Node, now_ms: u64, leaving: &[(u64, StorePosition)]) {
    let is_same = |(known, _): &(u64, StorePosition), (key, _): &(u64, StorePosition)| known == key;
    if lock(&node.recent_leaving).add(now_ms, leaving, is_same) {
        node.digest_wanted.notify_one();
    }
}
