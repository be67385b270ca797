//! Keys of what may cause workers to end.

use crate::fingerprint::Fingerprint;
use crate::fingerprint::PART_MAX_COUNT;

/// Size that stands for parts of prompts, where a request has the size of its body. Releases that
/// count ends by whole requests alone pass such entries on, and have no request of that size.
const PART_BODY_BYTES: u32 = u32::MAX;

/// The same for parts of prompts whose requests had written to their answers for some time.
const LATE_PART_BODY_BYTES: u32 = u32::MAX - 1;

/// Largest size of a body that is told apart.
const BODY_MAX_BYTES: u32 = u32::MAX - 2;

/// How far a request was when its worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// It had not written to its answer for [`PROGRESS_MS`] yet.
    Beginning,
    /// It had.
    Writing,
}

/// Time for which a request must have written to its answer to show that no part of its prompt ends
/// workers when an answer on it begins, in milliseconds.
pub const PROGRESS_MS: u64 = 1_000;

/// Identifies what may cause workers to end: a request by its whole content, or a part of prompts
/// by its id. A part counts twice: for requests that had just begun when their worker ended, and
/// for those that had written to their answers for some time. The size comes first, so that
/// requests of a size that is not known need no fingerprint.
///
/// ```
/// use cranereach_fleet::fingerprint::Fingerprint;
/// use cranereach_fleet::quarantine::SuspectKey;
///
/// let fingerprint = Fingerprint::default();
/// assert!(SuspectKey::part(fingerprint).is_part());
/// assert!(!SuspectKey::request(u32::MAX, fingerprint).is_part());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SuspectKey {
    body_bytes: u32,
    /// Fingerprint of the content, or of the part.
    pub fingerprint: Fingerprint,
}

impl SuspectKey {
    /// Returns the key of a request with a body of this size and a content with this fingerprint.
    pub const fn request(body_bytes: u32, fingerprint: Fingerprint) -> Self {
        let body_bytes = if body_bytes > BODY_MAX_BYTES {
            BODY_MAX_BYTES
        } else {
            body_bytes
        };
        Self {
            body_bytes,
            fingerprint,
        }
    }

    /// Returns the key of a part of prompts, for requests that had just begun.
    pub const fn part(fingerprint: Fingerprint) -> Self {
        Self {
            body_bytes: PART_BODY_BYTES,
            fingerprint,
        }
    }

    /// Returns the key of a part of prompts, for requests that had written for some time.
    pub const fn late_part(fingerprint: Fingerprint) -> Self {
        Self {
            body_bytes: LATE_PART_BODY_BYTES,
            fingerprint,
        }
    }

    /// Returns the key of a part of prompts, for requests that were in a phase.
    pub const fn part_in(phase: RunPhase, fingerprint: Fingerprint) -> Self {
        match phase {
            RunPhase::Beginning => Self::part(fingerprint),
            RunPhase::Writing => Self::late_part(fingerprint),
        }
    }

    /// Returns the key that an update names.
    pub(super) const fn from_update(body_bytes: u32, fingerprint: Fingerprint) -> Self {
        Self {
            body_bytes,
            fingerprint,
        }
    }

    /// Whether the key is that of a part of prompts.
    pub const fn is_part(&self) -> bool {
        self.body_bytes > BODY_MAX_BYTES
    }

    /// Whether the key is that of a part, for requests that had written for some time.
    pub const fn is_late_part(&self) -> bool {
        self.body_bytes == LATE_PART_BODY_BYTES
    }

    /// Size of the body in bytes, as in updates.
    pub(super) const fn body_bytes(&self) -> u32 {
        self.body_bytes
    }
}

/// Keys of all that a request may be suspected for.
#[derive(Clone, Copy, Debug)]
pub struct RequestKeys<'a> {
    /// Its whole content; `None` if nothing is known of requests of its size.
    pub content: Option<SuspectKey>,
    /// The parts of its prompt; empty if nothing is known of any part.
    pub parts: &'a [Fingerprint],
}

/// For which keys of a request ends of workers were known when it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownEnds {
    content: bool,
    /// A bit for each part of the prompt, in order, for ends under requests that had just begun.
    parts: u32,
    /// The same for ends under requests that had written for some time.
    late_parts: u32,
}

const _: () = assert!(PART_MAX_COUNT <= u32::BITS as usize);

impl KnownEnds {
    /// Notes that ends were known for the whole content.
    pub(super) const fn note_content(&mut self) {
        self.content = true;
    }

    /// Notes that ends were known for the part at `index` under requests in a phase.
    pub(super) fn note_part(&mut self, phase: RunPhase, index: usize) {
        match phase {
            RunPhase::Beginning => self.parts |= Self::bit(index),
            RunPhase::Writing => self.late_parts |= Self::bit(index),
        }
    }

    /// Whether ends were known for any key.
    pub const fn knew_any(self) -> bool {
        self.content || self.parts | self.late_parts != 0
    }

    /// Whether ends were known for the whole content.
    pub const fn knew_content(self) -> bool {
        self.content
    }

    /// Whether ends were known for the part at `index` under requests in a phase.
    pub fn knew_part(self, phase: RunPhase, index: usize) -> bool {
        let parts = match phase {
            RunPhase::Beginning => self.parts,
            RunPhase::Writing => self.late_parts,
        };
        parts & Self::bit(index) != 0
    }

    /// Returns the bit of the part at `index`; zero beyond the last that is counted.
    fn bit(index: usize) -> u32 {
        u32::try_from(index)
            .ok()
            .and_then(|index| 1_u32.checked_shl(index))
            .unwrap_or(0)
    }
}
