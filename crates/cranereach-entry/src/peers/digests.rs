//! Sends this instance's state to its peers as digests, by default five times a
//! second, and receives theirs.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use xtra::Address;

use crate::control_actor::CollectDigestParts;
use crate::control_actor::ControlActor;
use crate::control_actor::PeerDigestReceived;
use crate::discovery;
use crate::dispatch_actor::CollectDigest;
use crate::dispatch_actor::PeerParts;
use crate::shared::Shared;
use cranereach_core::cell::INSTANCES_MAX;
use cranereach_core::drain::Phase;
use cranereach_wire::digest_filter::DigestFilter;
use cranereach_wire::peer::DATAGRAM_MAX_BYTES;
use cranereach_wire::peer::Digest;
use cranereach_wire::peer::DigestPart;
use cranereach_wire::peer::VERSION;
use cranereach_wire::peer::open;
use cranereach_wire::peer::pack;
use cranereach_wire::peer::seal;
use cranereach_wire::replay::ReplayGuard;

/// Sends digests until the process ends.
pub async fn send(shared: Arc<Shared>, control: Address<ControlActor>, socket: Arc<UdpSocket>) {
    let mut sequence = 1;
    let mut digest_filter = DigestFilter::default();
    loop {
        tokio::time::sleep(Duration::from_millis(shared.settings.peers.digest_every_ms)).await;
        let parts =
            digest_filter.select_due(shared.now_ms(), collect_parts(&shared, &control).await);
        let digests = pack(shared.own_id(), shared.boot_id, sequence, parts);
        sequence += digests.len() as u64;
        let peers = discovery::peers(&shared);
        for digest in &digests {
            let sealed = seal(&shared.peer_key, digest);
            for peer in peers.iter().take(INSTANCES_MAX) {
                // Errors are ignored: the next digest makes up for a lost datagram.
                let sent = socket.send_to(&sealed, peer.address).await.unwrap_or(0);
                shared.metrics.peer_sent_bytes_total.inc_by(sent as u64);
            }
        }
    }
}

/// Receives digests until the process ends.
pub async fn receive(shared: Arc<Shared>, control: Address<ControlActor>, socket: Arc<UdpSocket>) {
    let mut guard = ReplayGuard::default();
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES * 2];
    loop {
        let Ok((length, _from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        match open::<Digest>(&shared.peer_key, &buffer[..length]) {
            Ok(digest) if digest.version != VERSION => count_dropped(&shared, "version"),
            Ok(digest) if !guard.admit(&digest.sender, digest.boot_id, digest.sequence) => {
                count_dropped(&shared, "replayed");
            }
            Ok(digest) => apply_digest(&shared, &control, digest).await,
            Err(_unsealed) => count_dropped(&shared, "unsealed"),
        }
    }
}

/// Collects the parts of this instance's digest.
async fn collect_parts(shared: &Shared, control: &Address<ControlActor>) -> Vec<DigestPart> {
    let mut parts = vec![DigestPart::Head(shared.config().held().clone())];
    if shared.phase() != Phase::Serving {
        parts.push(DigestPart::Leaving);
    }
    if let Ok(digest) = shared.dispatcher.send(CollectDigest).await {
        parts.extend(
            digest
                .outstanding
                .into_iter()
                .map(|(worker, count)| DigestPart::Outstanding(worker, count)),
        );
        parts.extend(digest.demand.into_iter().map(DigestPart::Demand));
        parts.extend(
            digest
                .served
                .into_iter()
                .map(|(account, tokens)| DigestPart::Served(account, tokens)),
        );
    }
    parts.extend(control.send(CollectDigestParts).await.unwrap_or_default());
    parts
}

/// Applies a peer's digest: updates membership and the configuration's head, and
/// passes the parts to both actors.
async fn apply_digest(shared: &Shared, control: &Address<ControlActor>, digest: Digest) {
    let now_ms = shared.now_ms();
    shared.membership().record_message(now_ms, &digest.sender);
    for part in &digest.parts {
        match part {
            DigestPart::Head(head) => {
                shared.config().observe_head(head);
                if shared.config().missing().is_some() {
                    shared.config_body_missing.notify_one();
                }
            }
            DigestPart::Leaving => shared.membership().remove(&digest.sender),
            _ => {}
        }
    }
    let received = PeerDigestReceived {
        sender: digest.sender.clone(),
        parts: digest.parts.clone(),
    };
    // Both actors outlive this task, so sending can't fail.
    let _sent = control.send(received).await;
    let _sent = shared
        .dispatcher
        .send(PeerParts {
            sender: digest.sender,
            parts: digest.parts,
        })
        .await;
}

/// Counts a dropped message, by reason.
fn count_dropped(shared: &Shared, reason: &str) {
    shared
        .metrics
        .peer_dropped_total
        .with_label_values(&[reason])
        .inc();
}
