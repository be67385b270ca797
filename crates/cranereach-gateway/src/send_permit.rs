//! The one place that is asked right before something is sent to a worker: a caller's
//! request, an order, a question for a report.
//!
//! Whoever chose a worker may have waited since: for a burst of prompts, a connection, the
//! worker's owner. Meanwhile the worker may have gone, or said that it leaves or wants rest. So
//! nothing is waited for between the permit and the write.

use std::sync::Arc;

use crate::named_limits;
use crate::node::Node;
use crate::send_grants;
use cranereach_fleet::purpose::Purpose;

/// That one request may be sent to a worker at once. Its answer is heard as that of the
/// start of the worker that was meant.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The worker.
    pub worker: Arc<str>,
    /// When the start that is meant began, as its row says, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// What the request is for.
    pub purpose: Purpose,
    /// When it is sent, in milliseconds.
    pub sent_ms: u64,
}

/// Asks for a permit to send one request of a rank; none if the worker isn't to get it now.
pub async fn ask(node: &Node, worker: &Arc<str>, purpose: Purpose, rank: u8) -> Option<Permit> {
    if is_barred(node, worker, purpose, rank) {
        return None;
    }
    if !send_grants::may_send(node, worker, purpose, rank).await {
        return None;
    }
    // Owners take some ten milliseconds, in which a word may have come.
    if is_barred(node, worker, purpose, rank) {
        return None;
    }
    let sent_ms = node.now_ms();
    let started_unix_ms = {
        let mut roster = node.roster();
        let worker = roster.get_mut(worker)?;
        if purpose == Purpose::Call {
            worker.rest.sent(sent_ms);
        }
        worker.record.started_unix_ms
    };
    named_limits::note_sent(node, worker, purpose);
    Some(Permit {
        worker: Arc::clone(worker),
        started_unix_ms,
        purpose,
        sent_ms,
    })
}

/// Whether something speaks against sending to a worker now; counts what it is. No permit:
/// what waits asks so early that it is moved on at once.
pub fn is_barred(node: &Node, worker: &str, purpose: Purpose, rank: u8) -> bool {
    let now_ms = node.now_ms();
    let barred = {
        let roster = node.roster();
        roster.barred(now_ms, worker, purpose, usize::from(rank))
    };
    if let Some(barred) = barred {
        let counter = &node.metrics.sends_barred_total;
        counter
            .with_label_values(&[barred.name(), purpose.name()])
            .inc();
    }
    barred.is_some()
}
