//! What instances tell each other about the origins of streams, and what follows for one.

use serde::Deserialize;
use serde::Serialize;

/// Where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Key of the service.
    pub service: u64,
    /// Key of the version of the worker's software; zero if its row names none.
    pub version: u64,
}

/// A note of one stream, as told to its holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNote {
    /// Key of the stream.
    pub key: u64,
    /// Where it began.
    pub origin: Origin,
    /// Time for which the note is of use, in milliseconds.
    pub expires_in_ms: u32,
}

/// Answer of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// The stream began there.
    Known(Origin),
    /// The stream is not known, but the service has had this version only for longer than its
    /// streams last.
    Only(u64),
    /// The stream is not known, and the holder, which has not run for that long, has seen only this
    /// version.
    Started(u64),
    /// The stream is not known, and may have begun at more than one version.
    Unknown,
}

/// Whether all instances that were asked answered that they have just started, so that none of them
/// knows more than the one that asked.
///
/// ```
/// use cranereach_fleet::stream_origins::{OriginAnswer, all_started};
///
/// let started = [OriginAnswer::Started(1), OriginAnswer::Started(1)];
/// assert!(all_started(2, &started));
/// assert!(!all_started(2, &started[..1]));
/// assert!(!all_started(2, &[OriginAnswer::Started(1), OriginAnswer::Unknown]));
/// assert!(!all_started(0, &[]));
/// ```
pub fn all_started(asked_count: usize, answers: &[OriginAnswer]) -> bool {
    let has_started = |answer: &OriginAnswer| matches!(answer, OriginAnswer::Started(_));
    asked_count > 0 && answers.len() == asked_count && answers.iter().all(has_started)
}

/// What may be done with a stream that its caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may continue at this version.
    GoOn(Origin),
    /// The holders have to be asked.
    Ask,
    /// Its version can't be known.
    Refuse,
}
