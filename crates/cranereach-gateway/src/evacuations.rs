//! Tracks evacuations of failure domains, which are read with the configuration and sent to all
//! peers.
//!
//! See [`cranereach_fleet::evacuation`]. An operator requests an evacuation by a row in the store.
//! The instances do not confirm it to the operator: the time bound of an evacuation runs from the
//! store's own response to the write.

mod passed_over;

use std::cell::OnceCell;
use std::collections::HashSet;
use std::sync::Arc;

use slog::info;
use slog::warn;

pub use self::passed_over::PassedOver;
use crate::adapter::Row;
use crate::adapter::Rows;
use crate::cold;
use crate::node::Node;
use crate::node::lock;
use crate::recipients::Origin;
use cranereach_fleet::evacuation::EvacuationList;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::store_position::StorePosition;

/// Maximum length of an accepted domain name, in bytes.
const NAME_MAX_BYTES: usize = 200;

/// Maximum number of accepted domains that occur neither in the settings nor in a worker's row.
/// They are kept in case workers start there.
const UNKNOWN_DOMAIN_MAX_COUNT: usize = 16;

/// Number of characters of an unknown domain's name that are logged.
const LOGGED_NAME_CHARS: usize = 64;

/// Applies the store's response, which holds either the whole table or its changes. Returns false
/// if the whole table has to be read again; until then the response proves nothing.
///
/// The domains of workers are unknown until the first list of workers arrives. A list of
/// evacuations that left out domains for this reason would, being the newest, withdraw their
/// evacuation on all instances.
pub fn take_rows(node: &Node, rows: &Rows, is_whole: bool) -> bool {
    let known = node.roster().evacuations.list().clone();
    let of_domain = |row: &Row| {
        let domain = (node.adapter.store.evacuated_domain)(&row.key)?;
        Some((
            worker_key(domain),
            domain.to_owned(),
            row.position,
            row.is_gone,
        ))
    };
    let rows_of_domains = rows.rows.iter().filter_map(of_domain);
    let is_unknown = |(key, _): &&(u64, StorePosition)| node.topology.domain_by_key(*key).is_none();
    let mut unknown_count = known.domains.iter().filter(is_unknown).count();
    let knows_workers = lock(&node.list).age_ms(node.now_ms()).is_some();
    let worker_domains = OnceCell::new();
    let is_known = |domain: &str| {
        let is_in_settings = node.topology.region_of(domain).is_some();
        is_in_settings
            || worker_domains
                .get_or_init(|| domains_of_workers(node))
                .contains(domain)
    };
    if is_whole {
        node.passed_over.clear();
    }
    let mut passes_over = false;
    let mut taken = Vec::new();
    for (key, domain, position, is_gone) in rows_of_domains {
        let is_held = known.domains.iter().any(|(held, _)| *held == key);
        if !is_gone && !is_held && !is_known(&domain) {
            unknown_count += 1;
            let is_kept = record_unknown(node, &domain, unknown_count);
            if !is_kept && !knows_workers {
                return false;
            }
            if !is_kept {
                node.passed_over.insert(key);
                passes_over = true;
                continue;
            }
        }
        taken.push((key, position, is_gone));
    }
    if passes_over {
        // Workers may have come up there in the meantime.
        for domain in domains_of_workers(node) {
            node.passed_over.named(&domain);
        }
    }
    let list = if is_whole {
        let asked = taken.iter().filter(|(.., is_gone)| !is_gone);
        let asked = asked.map(|(key, position, _)| (*key, *position));
        // A restored store may lack the latest requests.
        let is_settling = lock(&node.proof).is_settling(node.now_ms());
        let kept = known.domains.iter().filter(|_| is_settling).copied();
        let whole = EvacuationList::whole(rows.position, asked.chain(kept));
        if whole.domains == known.domains {
            return true;
        }
        whole
    } else {
        taken.sort_unstable_by_key(|(_, position, _)| *position);
        let changes = taken.into_iter();
        changes.fold(known, |list, (key, position, is_gone)| {
            list.changed(key, position, is_gone)
        })
    };
    take(node, &list, Origin::Own)
}

/// Applies a list from the store or a peer. A list that is not newer is ignored. Returns false if
/// it is newer and can't be taken.
pub fn take(node: &Node, list: &EvacuationList, origin: Origin) -> bool {
    let now_ms = node.now_ms();
    let known_at_ms = lock(&node.proof).known_at_ms(now_ms);
    let bound_ms = node.settings.bounds.evacuation_ms;
    let mut roster = node.roster();
    if list.position <= roster.evacuations.list().position {
        return true;
    }
    let taken = roster
        .evacuations
        .take(now_ms, list.clone(), known_at_ms, bound_ms);
    drop(roster);
    let Some(change) = taken else {
        warn!(node.log, "evacuation list names too many failure domains"; "from" => format!("{origin:?}"), "domains" => list.domains.len());
        let counter = &node.metrics.bad_input_total;
        counter.with_label_values(&["evacuation"]).inc();
        return false;
    };
    lock(&node.proof).evacuations_known(list.position);
    for (domains, is_asked) in [(&change.requested, true), (&change.ended, false)] {
        for domain in domains {
            let name = node.topology.domain_by_key(*domain);
            let name = name.map_or_else(|| format!("{domain:016x}"), ToString::to_string);
            info!(node.log, "evacuation"; "domain" => name, "asked" => is_asked,
                "position" => %list.position, "from" => format!("{origin:?}"),
                "known_age_ms" => known_at_ms.map(|at_ms| now_ms - at_ms));
        }
    }
    cold::note_evacuations_ended(node, &change.ended);
    node.metrics
        .evacuated_domains
        .set(list.domains.len() as i64);
    node.roster_changed.notify_waiters();
    node.controller_wanted.notify_one();
    node.gossip_news(origin);
    true
}

/// Returns the domains that workers name.
fn domains_of_workers(node: &Node) -> HashSet<Arc<str>> {
    let roster = node.roster();
    let workers = roster.workers();
    workers
        .map(|worker| Arc::clone(&worker.record.failure_domain))
        .collect()
}

/// Counts and logs an unknown domain. Returns false if it is not kept.
fn record_unknown(node: &Node, domain: &str, count: usize) -> bool {
    let is_kept = domain.len() <= NAME_MAX_BYTES && count <= UNKNOWN_DOMAIN_MAX_COUNT;
    let counter = &node.metrics.bad_input_total;
    counter.with_label_values(&["evacuation"]).inc();
    // One more than the maximum, so that the log shows that a domain was not kept.
    if count <= UNKNOWN_DOMAIN_MAX_COUNT + 1 {
        let logged_name: String = domain.chars().take(LOGGED_NAME_CHARS).collect();
        warn!(node.log, "evacuation of an unknown failure domain";
            "domain" => logged_name, "bytes" => domain.len(), "kept" => is_kept);
    }
    is_kept
}
