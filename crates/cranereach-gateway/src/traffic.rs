//! The account of bytes: what this instance sends its peers, by kind and distance.
//!
//! Every message between instances leaves through [`Node::send_now`], [`Node::send_all`]
//! or [`Node::note_sent`], so that the counters add up to what leaves the process.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use prometheus::IntCounterVec;
use slog::info;

use crate::messages::Message;
use crate::messages::OwnerEvent;
use crate::messages::encode;
use crate::node::Node;
use crate::node::pause;
use cranereach_fleet::topology::Distance;

/// Name in metrics of the distance to whoever hasn't said yet where it stands.
const UNKNOWN_DISTANCE: &str = "unknown";

/// Time between two log lines of what was sent, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// What bytes are sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Digests.
    Digest,
    /// Changes of the list of workers.
    List,
    /// Bodies of configurations.
    Configuration,
    /// Whole lists of workers.
    Workers,
    /// Questions to owners of workers.
    Question,
    /// Their answers.
    Answer,
    /// Words to owners: a request begins, its prompt is read, it ends.
    Word,
    /// Demand, and what holders of leases answer to it.
    Demand,
    /// Questions to owners of limits, and their answers.
    Limit,
    /// Questions for proof, and their answers.
    Proof,
    /// Questions to owners of workers that get only so many requests, and their answers.
    Grant,
    /// Lists of the failure domains that are to be evacuated, beside digests.
    Evacuation,
    /// Requests under which workers ended, beside digests.
    Suspect,
    /// Anything else, such as what a body is asked for with.
    Other,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 14] = [
        Self::Digest,
        Self::List,
        Self::Configuration,
        Self::Workers,
        Self::Question,
        Self::Answer,
        Self::Word,
        Self::Demand,
        Self::Limit,
        Self::Proof,
        Self::Grant,
        Self::Evacuation,
        Self::Suspect,
        Self::Other,
    ];

    /// Returns the name that metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Digest => "digest",
            Self::List => "list",
            Self::Configuration => "configuration",
            Self::Workers => "workers",
            Self::Question => "question",
            Self::Answer => "answer",
            Self::Word => "word",
            Self::Demand => "demand",
            Self::Limit => "limit",
            Self::Proof => "proof",
            Self::Grant => "grant",
            Self::Evacuation => "evacuation",
            Self::Suspect => "suspect",
            Self::Other => "other",
        }
    }

    /// Returns the kind of a datagram.
    pub const fn of(message: &Message) -> Self {
        match message {
            Message::Digest(_) => Self::Digest,
            Message::List(_) => Self::List,
            Message::Demand(_) | Message::Placed(_) | Message::Expected(_) => Self::Demand,
            Message::Owner(owner) => match owner.event {
                OwnerEvent::Ask(_) => Self::Question,
                OwnerEvent::Begun(..)
                | OwnerEvent::Read(_)
                | OwnerEvent::Ended(_)
                | OwnerEvent::Limit(_) => Self::Word,
            },
            Message::Quote(_) => Self::Answer,
            Message::Prove(_) | Message::Proof(_) => Self::Proof,
            Message::Limit(_) | Message::Granted(_) | Message::Returned(_) => Self::Limit,
            Message::MaySend(_) | Message::SendGranted(_) => Self::Grant,
            Message::Evacuations(_) => Self::Evacuation,
            Message::Suspect(_) => Self::Suspect,
        }
    }
}

/// Logs now and then what was sent since the start, until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        pause(LOG_INTERVAL_MS).await;
        info!(node.log, "sent"; "peers" => peer_bytes(&node), "workers" => worker_bytes(&node));
    }
}

/// Lists the bytes sent to peers: `kind/distance bytes`, those that are none left out.
fn peer_bytes(node: &Node) -> String {
    let distances = Distance::ALL.map(Distance::name);
    let distances: Vec<&str> = distances.into_iter().chain([UNKNOWN_DISTANCE]).collect();
    let kinds = Kind::ALL.iter().map(|kind| kind.name());
    list(&node.metrics.peer_sent_bytes_total, kinds, &distances)
}

/// Lists the bytes of calls and answers, `direction/distance bytes`.
fn worker_bytes(node: &Node) -> String {
    let distances = Distance::ALL.map(Distance::name);
    let directions = ["sent", "received"].into_iter();
    list(&node.metrics.worker_bytes_total, directions, &distances)
}

/// Lists a counter's values that aren't zero.
fn list<'a>(
    counter: &IntCounterVec,
    first: impl Iterator<Item = &'a str>,
    second: &[&str],
) -> String {
    let mut listed = Vec::new();
    for first in first {
        for second in second {
            let byte_count = counter.with_label_values(&[first, *second]).get();
            if byte_count > 0 {
                listed.push(format!("{first}/{second} {byte_count}"));
            }
        }
    }
    listed.join(", ")
}

impl Node {
    /// Sends a message to a peer without waiting; one that finds no room is lost, as
    /// any datagram may be.
    pub fn send_now(&self, peer: SocketAddr, message: Message) {
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        let kind = Kind::of(&message);
        let datagram = encode(message);
        if let (Ok(byte_count), IpAddr::V4(ip)) = (socket.try_send_to(&datagram, peer), peer.ip()) {
            self.note_sent(ip, kind, byte_count);
        }
    }

    /// Sends a message to some peers.
    pub async fn send_all(&self, message: Message, recipients: &[Ipv4Addr]) {
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        let kind = Kind::of(&message);
        let datagram = encode(message);
        for recipient in recipients {
            let address = SocketAddr::from((*recipient, self.peer_port()));
            // A lost datagram is made good by the next.
            if let Ok(byte_count) = socket.send_to(&datagram, address).await {
                self.note_sent(*recipient, kind, byte_count);
            }
        }
    }

    /// Counts bytes sent to a peer; headers of the network aren't among them.
    pub fn note_sent(&self, peer: Ipv4Addr, kind: Kind, byte_count: usize) {
        let labels = [
            kind.name(),
            self.distance_to(peer)
                .map_or(UNKNOWN_DISTANCE, Distance::name),
        ];
        let bytes = self
            .metrics
            .peer_sent_bytes_total
            .with_label_values(&labels);
        bytes.inc_by(byte_count as u64);
        let messages = &self.metrics.peer_sent_messages_total;
        messages.with_label_values(&labels).inc();
    }

    /// Returns how far a peer is; none if it hasn't said yet where it stands.
    pub fn distance_to(&self, peer: Ipv4Addr) -> Option<Distance> {
        let domain = self.peers().members().domain_of(peer)?;
        Some(self.topology.distance_to(domain))
    }
}
