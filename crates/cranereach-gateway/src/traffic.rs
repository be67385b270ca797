//! Byte counts of what this instance sends to its peers, by kind and distance.
//!
//! Every message between instances leaves through [`Node::send_now`], [`Node::send_all`] or
//! [`Node::note_sent`], so that the counters cover everything that leaves the process.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use slog::info;

use crate::messages::Message;
use crate::messages::OwnerEvent;
use crate::messages::encode;
use crate::node::Node;
use crate::node::pause;
use cranereach_fleet::topology::Distance;

/// Metric label for the distance to a peer whose failure domain is not known yet.
const UNKNOWN_DISTANCE: &str = "unknown";

/// Interval between two log lines with the bytes sent, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Purpose that bytes are sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Digests.
    Digest,
    /// Changes of the worker list.
    List,
    /// Configuration bodies.
    Configuration,
    /// Whole worker lists.
    Workers,
    /// Questions to owners of workers.
    Question,
    /// Answers of owners of workers.
    Answer,
    /// Notices to owners of workers: a request was sent, its prefill is complete, it has ended, or
    /// the worker's rate limit has changed.
    OwnerNotice,
    /// Demand, and lease holders' answers to it.
    Demand,
    /// Questions to owners of limits, and their answers.
    Limit,
    /// Questions for proof of the configuration, and their answers.
    Proof,
    /// Questions to owners of cold or rate-limited workers, and their answers.
    Grant,
    /// Lists of the failure domains that are to be evacuated, sent apart from digests.
    Evacuation,
    /// Requests during which workers ended, sent apart from digests.
    Suspect,
    /// Notes of streams, questions for them and their answers.
    Origin,
    /// Connections to workers that are relayed for peers, or by them.
    Tunnel,
    /// Anything else, such as requests for bodies.
    Other,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 16] = [
        Self::Digest,
        Self::List,
        Self::Configuration,
        Self::Workers,
        Self::Question,
        Self::Answer,
        Self::OwnerNotice,
        Self::Demand,
        Self::Limit,
        Self::Proof,
        Self::Grant,
        Self::Evacuation,
        Self::Suspect,
        Self::Origin,
        Self::Tunnel,
        Self::Other,
    ];

    /// Returns the metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Digest => "digest",
            Self::List => "list",
            Self::Configuration => "configuration",
            Self::Workers => "workers",
            Self::Question => "question",
            Self::Answer => "answer",
            Self::OwnerNotice => "word",
            Self::Demand => "demand",
            Self::Limit => "limit",
            Self::Proof => "proof",
            Self::Grant => "grant",
            Self::Evacuation => "evacuation",
            Self::Suspect => "suspect",
            Self::Origin => "origin",
            Self::Tunnel => "tunnel",
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
                | OwnerEvent::Limit(_)
                | OwnerEvent::Brittle(_) => Self::OwnerNotice,
            },
            Message::Quote(_) => Self::Answer,
            Message::Prove(_) | Message::Proof(_) => Self::Proof,
            Message::Limit(_) | Message::Granted(_) | Message::Returned(_) => Self::Limit,
            Message::MaySend(_) | Message::SendGranted(_) | Message::BrittleEnd(_) => Self::Grant,
            Message::Evacuations(_) => Self::Evacuation,
            Message::Suspect(_) => Self::Suspect,
            Message::OriginNotes(_) | Message::OriginAsk(_) | Message::OriginReply(_) => {
                Self::Origin
            }
        }
    }
}

/// Logs the bytes sent since the start at a fixed interval, until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        pause(LOG_INTERVAL_MS).await;
        info!(node.log, "sent"; "peers" => peer_bytes(&node), "workers" => worker_bytes(&node));
    }
}

/// Formats the bytes sent to peers as `kind/distance bytes`, leaving out zeros.
fn peer_bytes(node: &Node) -> String {
    let distances = Distance::ALL.map(Distance::name);
    let distances: Vec<&str> = distances.into_iter().chain([UNKNOWN_DISTANCE]).collect();
    let kinds = Kind::ALL.iter().map(|kind| kind.name());
    format_counter(&node.metrics.peer_sent_bytes_total, kinds, &distances)
}

/// Formats the bytes of calls to workers and their answers as `direction/distance bytes`.
fn worker_bytes(node: &Node) -> String {
    let distances = Distance::ALL.map(Distance::name);
    let directions = ["sent", "received"].into_iter();
    format_counter(&node.metrics.worker_bytes_total, directions, &distances)
}

/// Formats the values of a counter that aren't zero.
fn format_counter<'a>(
    counter: &IntCounterVec,
    first_labels: impl Iterator<Item = &'a str>,
    second_labels: &[&str],
) -> String {
    let mut listed = Vec::new();
    for first in first_labels {
        for second in second_labels {
            let byte_count = counter.with_label_values(&[first, *second]).get();
            if byte_count > 0 {
                listed.push(format!("{first}/{second} {byte_count}"));
            }
        }
    }
    listed.join(", ")
}

impl Node {
    /// Sends a message to a peer without waiting; it is dropped if the socket buffer is full,
    /// as any datagram may be.
    pub fn send_now(&self, peer: SocketAddr, message: Message) {
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        let kind = Kind::of(&message);
        let datagram = encode(message);
        if let (Ok(byte_count), IpAddr::V4(ip)) = (socket.try_send_to(&datagram, peer), peer.ip()) {
            self.intake.meter().add_sent(byte_count);
            self.note_sent(ip, kind, byte_count);
        }
    }

    /// Sends a message to several peers.
    pub async fn send_all(&self, message: Message, recipients: &[Ipv4Addr]) {
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        let kind = Kind::of(&message);
        let datagram = encode(message);
        for recipient in recipients {
            let address = SocketAddr::from((*recipient, self.peer_port()));
            // The next message makes up for a lost datagram.
            if let Ok(byte_count) = socket.send_to(&datagram, address).await {
                self.intake.meter().add_sent(byte_count);
                self.note_sent(*recipient, kind, byte_count);
            }
        }
    }

    /// Counts bytes sent to a peer, without network headers.
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

    /// Returns the counter of the bytes sent to a peer for a purpose, for a connection that sends
    /// many times.
    pub fn sent_bytes_counter(&self, peer: Ipv4Addr, kind: Kind) -> IntCounter {
        let distance = self.distance_to(peer);
        let labels = [
            kind.name(),
            distance.map_or(UNKNOWN_DISTANCE, Distance::name),
        ];
        let bytes = &self.metrics.peer_sent_bytes_total;
        bytes.with_label_values(&labels)
    }

    /// Returns the distance to a peer; `None` if its failure domain is not known yet.
    pub fn distance_to(&self, peer: Ipv4Addr) -> Option<Distance> {
        let domain = self.peers().members().domain_of(peer)?;
        Some(self.topology.distance_to(domain))
    }
}
