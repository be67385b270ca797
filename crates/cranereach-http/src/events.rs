//! Incremental splitting of an event stream (`text/event-stream`) into complete events.
//!
//! A stream that another upstream may resume is forwarded in complete events only. If the
//! upstream fails, its incomplete event is discarded, and the next upstream resumes after
//! the id of the last complete event.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event that is buffered until it is complete, in bytes.
const EVENT_MAX_BYTES: usize = 64 * 1024;

/// Largest event id that is kept, in bytes.
const ID_MAX_BYTES: usize = 256;

/// Position after the last complete event, from which a stream may be resumed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResumePoint {
    /// No event is complete yet.
    #[default]
    Start,
    /// The last complete event has this id.
    Event(String),
    /// The last complete event has no usable id, so that the stream can't be resumed.
    Unknown,
}

/// Buffer that releases the bytes of one stream in complete events.
///
/// ```
/// use cranereach_http::events::ResumePoint;
/// use cranereach_http::events::EventBuffer;
///
/// let mut events = EventBuffer::default();
/// let bytes = events.take(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(bytes.as_ref(), b"id: 1\ndata: a\n\n");
/// assert_eq!(events.reached(), &ResumePoint::Event("1".to_owned()));
/// // The stream breaks: the incomplete event is discarded, and another upstream sends it again.
/// events.discard_partial();
/// let bytes = events.take(b"id: 2\ndata: b\n\n");
/// assert_eq!(bytes.as_ref(), b"id: 2\ndata: b\n\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    /// Bytes of an event that isn't complete yet.
    buffer: BytesMut,
    reached: ResumePoint,
    /// Identity of the event before the first one, if the stream continues another one.
    before_first: Option<String>,
    /// Whether events can't be told apart, so that bytes pass as they arrive.
    is_unsplit: bool,
    has_non_increasing_id: bool,
}

/// Fields of an event that matter for resuming.
#[derive(Debug, Default)]
struct Event {
    id: Option<String>,
    has_data: bool,
}

impl EventBuffer {
    /// Creates the buffer of a stream that continues after an event.
    pub fn after(last_event: &str) -> Self {
        Self {
            before_first: Some(last_event.to_owned()),
            ..Self::default()
        }
    }

    /// Adds received bytes; returns the buffered bytes up to the end of the last complete event.
    ///
    /// Once an event exceeds the buffer limit of 64 KiB, or a line ends with CR alone, bytes are
    /// returned as they arrive and the stream can't be resumed any more.
    pub fn take(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut line_start = 0;
        let mut event = Event::default();
        let buffer = std::mem::take(&mut self.buffer);
        while let Some((line, next)) = line_at(&buffer, line_start) {
            if line.is_empty() {
                self.finish_event(std::mem::take(&mut event));
                end = next;
            } else if line.starts_with(b"data") {
                event.has_data = true;
            } else if let Some(id) = parse_id(line) {
                event.id = Some(id);
            }
            line_start = next;
        }
        self.buffer = buffer;
        self.is_unsplit |= self.buffer.len() - end > EVENT_MAX_BYTES || has_lone_cr(&self.buffer);
        if self.is_unsplit {
            self.reached = ResumePoint::Unknown;
            return self.take_partial();
        }
        self.buffer.split_to(end).freeze()
    }

    /// Updates the position in the stream at the end of an event.
    fn finish_event(&mut self, event: Event) {
        match event.id {
            Some(id) => {
                let before = match &self.reached {
                    ResumePoint::Event(before) => Some(before),
                    ResumePoint::Start => self.before_first.as_ref(),
                    ResumePoint::Unknown => None,
                };
                self.has_non_increasing_id |= before.is_some_and(|before| !is_after(before, &id));
                self.reached = ResumePoint::Event(id);
            }
            None if event.has_data => self.reached = ResumePoint::Unknown,
            None => {}
        }
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the position after the last complete event.
    pub fn reached(&self) -> &ResumePoint {
        &self.reached
    }

    /// Returns whether an event had an id that doesn't follow that of the event before it.
    pub fn has_non_increasing_id(&self) -> bool {
        self.has_non_increasing_id
    }
}

/// Returns whether `id` may follow `before`: it must be a higher number, or just different if
/// either isn't a number.
fn is_after(before: &str, id: &str) -> bool {
    match (before.parse::<u64>(), id.parse::<u64>()) {
        (Ok(before), Ok(id)) => id > before,
        _ => id != before,
    }
}

/// Whether some line ends with CR alone, which this buffer does not split at.
fn has_lone_cr(bytes: &[u8]) -> bool {
    bytes
        .windows(2)
        .any(|pair| pair[0] == b'\r' && pair[1] != b'\n')
}

/// Returns the line that starts at an offset, without its line ending, and the offset of the
/// next line. Returns `None` if the line isn't complete.
fn line_at(bytes: &[u8], start: usize) -> Option<(&[u8], usize)> {
    let rest = bytes.get(start..)?;
    let length = rest.iter().position(|byte| *byte == b'\n')?;
    let line = &rest[..length];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Some((line, start + length + 1))
}

/// Parses an `id:` line. Returns `None` for other lines and for ids that are empty, too long
/// or contain other than visible ASCII and blanks, which can't be sent back in a header.
fn parse_id(line: &[u8]) -> Option<String> {
    let value = line.strip_prefix(b"id:")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    let is_sendable = !value.is_empty()
        && value.len() <= ID_MAX_BYTES
        && value.iter().all(|byte| (0x20..0x7f).contains(byte));
    is_sendable.then(|| String::from_utf8_lossy(value).into_owned())
}
