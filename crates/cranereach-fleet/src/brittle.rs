//! Workers that say that they are brittle: they fall over if they have to turn away more than some
//! number of requests in one second, from all instances together.
//!
//! Each request to such a worker needs a grant of the worker's owner, which is told when the request
//! ends, so that it knows all that are open there. A worker with a free slot turns nothing away, nor
//! does one that let as many in a moment ago, as far as the owner can tell: ends are heard late, so
//! requests that seem to have run together may have followed one another. Therefore there are never
//! more requests beyond the slots than the worker bears rejections, less what it has turned away
//! within a second: however late ends are heard, no more than these can be turned away.

mod grants;
mod statements;

pub use self::grants::BrittleAsk;
pub use self::grants::BrittleGrants;
pub use self::grants::Ticket;
pub use self::statements::BrittleReport;
pub use self::statements::BrittleStatements;
pub use self::statements::KnowledgeSource;
pub use self::statements::KnownBrittleness;
pub use self::statements::ReportedWord;

/// Time after which a refused instance may ask again, in milliseconds.
pub const ASK_AGAIN_AFTER_MS: u64 = 60;

/// Maximum length of a header value, in bytes.
const VALUE_MAX_BYTES: usize = 16;

/// What one answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrittleNotice {
    /// Nothing: the worker is not brittle, or the answer does not tell.
    Nothing,
    /// The worker bears this many rejections in one second.
    Bears(u32),
    /// The value is invalid and is ignored.
    Unreadable,
}

/// Parses the header values of an answer; returns the lowest of the valid ones.
///
/// ```
/// use cranereach_fleet::brittle::BrittleNotice;
/// use cranereach_fleet::brittle::read;
///
/// assert_eq!(read([].into_iter()), BrittleNotice::Nothing);
/// assert_eq!(read([&b"7"[..], &b"3"[..]].into_iter()), BrittleNotice::Bears(3));
/// assert_eq!(read([&b"0"[..]].into_iter()), BrittleNotice::Bears(0));
/// assert_eq!(read([&b"-1"[..]].into_iter()), BrittleNotice::Unreadable);
/// ```
pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> BrittleNotice {
    let mut notice = BrittleNotice::Nothing;
    for value in values {
        notice = match (notice, parse_count(value)) {
            (BrittleNotice::Bears(known), Some(count)) => BrittleNotice::Bears(count.min(known)),
            (BrittleNotice::Bears(known), None) => BrittleNotice::Bears(known),
            (_, Some(count)) => BrittleNotice::Bears(count),
            (_, None) => BrittleNotice::Unreadable,
        };
    }
    notice
}

/// Parses one value; none if it isn't a whole number.
fn parse_count(value: &[u8]) -> Option<u32> {
    let value = Some(value).filter(|value| value.len() <= VALUE_MAX_BYTES)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
