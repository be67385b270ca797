//! Messages between entry instances.
//!
//! Digests go over UDP, each part small and complete in itself, so that a lost
//! or doubled datagram does no harm. Bodies of configurations go over TCP.
//! Every message is sealed with a keyed hash; [`crate::replay`] drops old ones.

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

/// Version of the messages; others are dropped.
pub const VERSION: u8 = 1;

/// Largest datagram, so that none is fragmented on the way, in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;

/// Largest message over TCP, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of the keyed hash at the start of each message.
const SEAL_BYTES: usize = 32;

/// Secret shared by all entry instances.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Derives the key from the secret in settings.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "cranereach peer messages v1",
            secret.as_bytes(),
        ))
    }
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Version of the message.
    pub version: u8,
    /// Who sends it.
    pub sender: InstanceId,
    /// Grows with each boot of the sender.
    pub boot_id: u64,
    /// Grows with each datagram of a boot.
    pub sequence: u64,
    /// What it says.
    pub parts: Vec<DigestPart>,
}

/// One statement of a digest, complete in itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DigestPart {
    /// Head that the sender holds.
    Head(Head),
    /// Requests that the sender has at a worker.
    Outstanding(WorkerId, u32),
    /// Demand that the sender sees for a target.
    Demand(TargetDemand),
    /// Total cost that the sender has served to an account, in tokens.
    Served(AccountName, f64),
    /// Report of a worker that the sender polls.
    Report(WorkerReport),
    /// Epoch under which the sender orders a cell.
    Epoch(CellId, Epoch),
    /// The sender is stopping.
    Leaving,
}

/// Question over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the body of a configuration by its hash.
    Body {
        /// BLAKE3 of the body, in hex.
        hash: String,
    },
}

/// Answer over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The body, if the peer holds it.
    Body(Option<Vec<u8>>),
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// Too short or not sealed with our secret.
    #[error("the seal doesn't fit")]
    Unsealed,
    /// Sealed, but not a message of this version.
    #[error("the message can't be read")]
    Malformed,
}

/// Seals a message.
///
/// # Panics
///
/// Never: our message types have no form that can't be written.
///
/// ```
/// use cranereach_wire::peer::{open, seal, PeerAnswer, PeerKey};
///
/// let key = PeerKey::derive("secret");
/// let sealed = seal(&key, &PeerAnswer::Body(None));
/// assert_eq!(open::<PeerAnswer>(&key, &sealed), Ok(PeerAnswer::Body(None)));
/// ```
pub fn seal<T: Serialize>(key: &PeerKey, message: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(message).expect("our messages can be written");
    let mut sealed = Vec::with_capacity(SEAL_BYTES + body.len());
    sealed.extend_from_slice(blake3::keyed_hash(&key.0, &body).as_bytes());
    sealed.extend_from_slice(&body);
    sealed
}

/// Opens a sealed message.
pub fn open<T: DeserializeOwned>(key: &PeerKey, sealed: &[u8]) -> Result<T, PeerError> {
    let Some((seal, body)) = sealed.split_at_checked(SEAL_BYTES) else {
        return Err(PeerError::Unsealed);
    };
    let seal: [u8; SEAL_BYTES] = seal.try_into().map_err(|_short| PeerError::Unsealed)?;
    // The comparison of hashes takes constant time.
    if blake3::keyed_hash(&key.0, body) != blake3::Hash::from_bytes(seal) {
        return Err(PeerError::Unsealed);
    }
    postcard::from_bytes(body).map_err(|_unreadable| PeerError::Malformed)
}

/// Splits parts over datagrams that each fit [`DATAGRAM_MAX_BYTES`].
///
/// `first_sequence` is the number of the first; they count up from there.
///
/// # Panics
///
/// Never: there is one digest from the start.
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
    let overhead = SEAL_BYTES + sender.as_str().len() + 32;
    let mut digests = vec![empty(first_sequence)];
    let mut used_bytes = overhead;
    for part in parts {
        let part_bytes = postcard::experimental::serialized_size(&part).unwrap_or(0);
        if used_bytes + part_bytes > DATAGRAM_MAX_BYTES && used_bytes > overhead {
            digests.push(empty(first_sequence + digests.len() as u64));
            used_bytes = overhead;
        }
        used_bytes += part_bytes;
        digests
            .last_mut()
            .expect("one digest at least")
            .parts
            .push(part);
    }
    digests
}
