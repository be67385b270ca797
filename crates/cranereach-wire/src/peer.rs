//! Messages between entry instances.
//!
//! Digests are sent over UDP. Each part of a digest is small and complete in itself, so that
//! a lost or duplicated datagram does no harm. Configuration bodies are sent over TCP. Every
//! message is authenticated by a keyed hash; [`crate::replay`] drops replayed datagrams.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use cranereach_core::cell::CellId;
use cranereach_core::config::Head;
use cranereach_core::demand::TargetDemand;
use cranereach_core::dispatch::workers::WorkerReport;
use cranereach_core::fence::Epoch;
use cranereach_core::names::AccountName;
use cranereach_core::names::InstanceId;
use cranereach_core::names::WorkerId;

/// Version of the message format; datagrams of other versions are dropped.
pub const VERSION: u8 = 1;

/// Largest datagram, in bytes; small enough not to be fragmented by the network.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;

/// Largest message over TCP, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Length of the keyed hash at the start of each message, in bytes.
const KEYED_HASH_BYTES: usize = 32;

/// Authentication key shared by all entry instances.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Derives the key from the secret in the settings.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "cranereach peer messages v1",
            secret.as_bytes(),
        ))
    }
}

/// Datagram with the state of one entry instance, or a part of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Version of the message format.
    pub version: u8,
    /// Instance that sends the datagram.
    pub sender: InstanceId,
    /// Number of the sender's boot; grows with each boot.
    pub boot_id: u64,
    /// Number of the datagram; grows with each datagram of a boot.
    pub sequence: u64,
    /// Content.
    pub parts: Vec<DigestPart>,
}

/// Part of a digest, complete in itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DigestPart {
    /// Configuration version that the sender holds.
    Head(Head),
    /// Number of requests that the sender has outstanding at a worker.
    Outstanding(WorkerId, u32),
    /// Demand for a target, as observed by the sender.
    Demand(TargetDemand),
    /// Total cost of the requests that the sender has served to an account, in tokens.
    Served(AccountName, f64),
    /// Report of a worker, as polled by the sender.
    Report(WorkerReport),
    /// Epoch under which the sender sends orders to the workers of a cell.
    Epoch(CellId, Epoch),
    /// The sender is shutting down.
    Leaving,
}

/// Request over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Fetches the body of a configuration by its hash.
    Body {
        /// BLAKE3 hash of the body, in hex.
        hash: String,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The body, if the peer holds it.
    Body(Option<Vec<u8>>),
}

/// Reasons why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The message is too short, or its keyed hash wasn't made with the shared key.
    #[error("the message is too short or its keyed hash is wrong")]
    NotAuthentic,
    /// The message is authentic but can't be decoded.
    #[error("the message is authentic but can't be decoded")]
    Malformed,
}

/// Encodes a message and puts its keyed hash in front. The message isn't encrypted.
///
/// # Panics
///
/// Never panics for the message types of this module, which can always be encoded.
///
/// ```
/// use cranereach_wire::peer::{open, seal, PeerAnswer, PeerKey};
///
/// let key = PeerKey::derive("secret");
/// let sealed = seal(&key, &PeerAnswer::Body(None));
/// assert_eq!(open::<PeerAnswer>(&key, &sealed), Ok(PeerAnswer::Body(None)));
/// ```
pub fn seal<T: Serialize>(key: &PeerKey, message: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(message).expect("peer messages can be encoded");
    let mut sealed = Vec::with_capacity(KEYED_HASH_BYTES + body.len());
    sealed.extend_from_slice(blake3::keyed_hash(&key.0, &body).as_bytes());
    sealed.extend_from_slice(&body);
    sealed
}

/// Verifies the keyed hash of a sealed message and decodes the message.
pub fn open<T: DeserializeOwned>(key: &PeerKey, sealed: &[u8]) -> Result<T, PeerError> {
    let Some((hash, body)) = sealed.split_at_checked(KEYED_HASH_BYTES) else {
        return Err(PeerError::NotAuthentic);
    };
    let hash: [u8; KEYED_HASH_BYTES] = hash.try_into().map_err(|_short| PeerError::NotAuthentic)?;
    // `blake3::Hash` compares in constant time, which gives nothing away to timing attacks.
    if blake3::keyed_hash(&key.0, body) != blake3::Hash::from_bytes(hash) {
        return Err(PeerError::NotAuthentic);
    }
    postcard::from_bytes(body).map_err(|_undecodable| PeerError::Malformed)
}

/// Distributes parts over datagrams of at most [`DATAGRAM_MAX_BYTES`].
///
/// A part that is larger than that gets a datagram of its own. The datagrams are numbered
/// from `first_sequence`. Without parts, there is one empty datagram.
///
/// # Panics
///
/// Never panics: the list starts with one digest.
pub fn pack(
    sender: &InstanceId,
    boot_id: u64,
    first_sequence: u64,
    parts: Vec<DigestPart>,
) -> Vec<Digest> {
    let empty = |sequence| Digest {
        version: VERSION,
        sender: sender.clone(),
        boot_id,
        sequence,
        parts: Vec::new(),
    };
    // 32 bytes are more than the version, boot, sequence number and lengths take.
    let overhead_bytes = KEYED_HASH_BYTES + sender.as_str().len() + 32;
    let mut digests = vec![empty(first_sequence)];
    let mut used_bytes = overhead_bytes;
    for part in parts {
        let part_bytes = postcard::experimental::serialized_size(&part).unwrap_or(0);
        if used_bytes + part_bytes > DATAGRAM_MAX_BYTES && used_bytes > overhead_bytes {
            digests.push(empty(first_sequence + digests.len() as u64));
            used_bytes = overhead_bytes;
        }
        used_bytes += part_bytes;
        digests
            .last_mut()
            .expect("the list is never empty")
            .parts
            .push(part);
    }
    digests
}
