//! Messages between instances.
//!
//! Each message is complete in itself, so that a lost or duplicated one does no harm.

mod demand;
mod digest;
mod grants;
mod limits;
mod origins;
mod owner;
mod packed_parts;

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

pub use self::demand::DemandMessage;
pub use self::demand::DemandPart;
pub use self::digest::Digest;
pub use self::digest::EndedLease;
pub use self::digest::HeldLease;
pub use self::digest::StoreFailure;
pub use self::grants::BrittleEnd;
pub use self::grants::GrantAsk;
pub use self::grants::SendGrant;
pub use self::limits::LimitAsk;
pub use self::limits::LimitGrant;
pub use self::limits::LimitReturn;
pub use self::origins::OriginAsk;
pub use self::origins::OriginReply;
use self::owner::AppendedBrittleness;
pub use self::owner::OwnerAsk;
pub use self::owner::OwnerEvent;
pub use self::owner::OwnerMessage;
pub use self::owner::Quote;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::evacuation::EvacuationList;
use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::listing::Span;
use cranereach_fleet::load::RANK_COUNT;
use cranereach_fleet::proof::ProofAnswer;
use cranereach_fleet::proof::ProofQuery;
use cranereach_fleet::quarantine::SuspectUpdate;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::stream_origins::OriginNote;

/// Version of the message format; messages of other versions are dropped.
pub const VERSION: u8 = 10;

/// Largest datagram accepted, in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 32 * 1024;

/// Largest decompressed size of the rows or parts of a datagram, in bytes.
pub const UNPACKED_MAX_BYTES: u64 = 512 * 1024;

/// Load of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Requests that have not ended.
    pub open_count: u32,
    /// Those of them that have not begun to answer, by priority rank.
    pub waiting_count: [u32; RANK_COUNT],
    /// Total time for which the requests are expected to occupy a slot, in milliseconds.
    pub stay_ms: u32,
    /// Prefill time of the prompts whose prefill is not complete, in milliseconds by priority
    /// rank.
    pub unread_ms: [u32; RANK_COUNT],
    /// Tokens that the requests may come to hold in the KV cache.
    pub held_tokens: u32,
}

/// A versioned message, sent as one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Version of the message format.
    pub version: u8,
    /// The message.
    pub message: Message,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's state.
    Digest(Box<Digest>),
    /// Changes of the worker list.
    List(ListMessage),
    /// Demand seen by the sender, sent only to lease holders.
    Demand(DemandMessage),
    /// A question or notice to the owner of a worker.
    Owner(OwnerMessage),
    /// Answer of a worker's owner.
    Quote(Quote),
    /// Adapters that are now loaded, for an instance that waits for them: worker, model and
    /// adapter.
    Placed(Vec<(u64, ModelKey)>),
    /// A lease holder's answer on when the models that the receiver's requests lack are
    /// expected.
    Expected(Vec<ExpectedModel>),
    /// A question for proof that the sender's configuration is the newest.
    Prove(ProofQuery),
    /// Answer to a question for proof.
    Proof(ProofAnswer),
    /// A request for units to the owner of a part of an account's limit.
    Limit(LimitAsk),
    /// Answer to a request for units.
    Granted(LimitGrant),
    /// Granted units that no request used.
    Returned(LimitReturn),
    /// Failure domains that are to be evacuated, for a peer whose list is behind.
    Evacuations(EvacuationList),
    /// A question to the owner of a worker whether one request may be sent to it.
    MaySend(GrantAsk),
    /// Answer to a question whether a request may be sent.
    SendGranted(SendGrant),
    /// A request during which a worker ended, for the instances that count such ends.
    Suspect(Box<SuspectUpdate>),
    /// A request that was granted for a brittle worker has ended.
    BrittleEnd(BrittleEnd),
    /// Notes of streams, for one of their two holders.
    OriginNotes(Vec<OriginNote>),
    /// A question to a holder where a stream began.
    OriginAsk(OriginAsk),
    /// Answer of a holder.
    OriginReply(OriginReply),
}

/// Time at which a model is expected to be loaded at some worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedModel {
    /// Key of the service.
    pub service: u64,
    /// Index of the model in the service's declared list.
    pub model: u16,
    /// Time until then, in milliseconds; `None` if the model isn't being loaded.
    pub in_ms: Option<u32>,
}

/// Changes of the worker list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListMessage {
    /// Store position that the rows start from.
    pub from: StorePosition,
    /// Whether the rows are all changes or only the difference between two lists.
    pub span: Span,
    /// Store position at which the list is complete with these rows.
    pub position: StorePosition,
    /// Time since that position was known to be the newest, in milliseconds.
    pub age_ms: u64,
    /// The changed rows, compressed.
    pub packed_rows: Vec<u8>,
}

/// Encodes a message as a datagram.
pub fn encode(message: Message) -> Vec<u8> {
    let appended = match &message {
        Message::Digest(digest) => digest
            .reach
            .map(|reach| postcard::to_stdvec(&(reach, digest.is_withdrawn))),
        Message::Quote(quote) => quote
            .brittle
            .map(|report| postcard::to_stdvec(&AppendedBrittleness::encode(&report))),
        Message::MaySend(ask) => ask.brittle.map(|brittle| postcard::to_stdvec(&brittle)),
        _ => None,
    };
    let datagram = Datagram {
        version: VERSION,
        message,
    };
    let mut encoded = postcard::to_stdvec(&datagram).unwrap_or_default();
    if let Some(Ok(appended)) = appended {
        encoded.extend(appended);
    }
    encoded
}

/// Decodes a datagram; `None` if it is malformed, too large or of another version. The part of a
/// datagram that follows its message may be absent, so that one that was cut can't be told from a
/// whole one by its content.
///
/// ```
/// use cranereach_fleet::reachability::ReachReport;
/// use cranereach_gateway::messages::Digest;
/// use cranereach_gateway::messages::Message;
/// use cranereach_gateway::messages::decode;
/// use cranereach_gateway::messages::encode;
///
/// let reach = Some(ReachReport { reached_percent: 40 });
/// let digest = Digest { reach, ..Digest::default() };
/// let message = Message::Digest(Box::new(digest));
/// assert_eq!(decode(&encode(message.clone())), Some(message));
/// assert_eq!(decode(b"nonsense"), None);
/// ```
pub fn decode(datagram: &[u8]) -> Option<Message> {
    if datagram.len() > DATAGRAM_MAX_BYTES {
        return None;
    }
    let (datagram, rest) = postcard::take_from_bytes::<Datagram>(datagram).ok()?;
    if datagram.version != VERSION {
        return None;
    }
    let mut message = datagram.message;
    match &mut message {
        Message::Digest(digest) => {
            if let Ok((reach, rest)) = postcard::take_from_bytes(rest) {
                digest.reach = Some(reach);
                digest.is_withdrawn = postcard::from_bytes(rest).unwrap_or_default();
            }
        }
        Message::Quote(quote) => quote.brittle = AppendedBrittleness::decode(rest),
        Message::MaySend(ask) => ask.brittle = postcard::from_bytes(rest).ok(),
        _ => {}
    }
    Some(message)
}

/// Compresses changed rows, which repeat the same strings and are sent to every instance.
pub fn pack_rows(rows: &[&ChangedRow]) -> Vec<u8> {
    pack(&postcard::to_stdvec(rows).unwrap_or_default())
}

/// Decompresses changed rows; `None` if they are malformed or larger than `max_bytes`.
pub fn unpack_rows(packed: &[u8], max_bytes: u64) -> Option<Vec<ChangedRow>> {
    postcard::from_bytes(&unpack(packed, max_bytes)?).ok()
}

/// Compresses bytes.
///
/// ```
/// use cranereach_gateway::messages::pack;
/// use cranereach_gateway::messages::unpack;
///
/// let packed = pack(&[7; 1_000]);
/// assert!(packed.len() < 100);
/// assert_eq!(unpack(&packed, 1_000), Some(vec![7; 1_000]));
/// assert_eq!(unpack(&packed, 999), None, "too large");
/// ```
pub fn pack(plain: &[u8]) -> Vec<u8> {
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory doesn't fail.
    let _written = packed.write_all(plain);
    packed.finish().unwrap_or_default()
}

/// Decompresses bytes; `None` if they are malformed or larger than `max_bytes`.
pub fn unpack(packed: &[u8], max_bytes: u64) -> Option<Vec<u8>> {
    let mut plain = Vec::new();
    let unpacked = DeflateDecoder::new(packed)
        .take(max_bytes + 1)
        .read_to_end(&mut plain);
    unpacked.ok()?;
    (plain.len() as u64 <= max_bytes).then_some(plain)
}
