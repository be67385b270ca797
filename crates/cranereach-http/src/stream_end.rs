//! End of an event stream that says itself where it is complete, by an event with the data `[DONE]`.

use crate::event_border::EventBorder;

/// Line of the event that ends a complete stream, without its line end.
const DONE_LINES: [&[u8]; 2] = [b"data: [DONE]", b"data:[DONE]"];

/// Name of the field that holds the data of an event.
const DATA_FIELD: &[u8] = b"data";

/// Number of bytes that are kept from the start of a line: one more than the longest line that
/// matters, so that longer ones are told from it.
const LINE_MAX_BYTES: usize = DONE_LINES[0].len() + 1;

/// Follows an event stream and knows whether its last event is the one that ends a complete stream.
///
/// Only the start of the current line is kept. The text of the marker inside another event does not
/// count, and neither does an event that still lacks its blank line.
///
/// ```
/// use cranereach_http::stream_end::StreamEnd;
///
/// let mut end = StreamEnd::default();
/// end.follow(b"data: the word [DONE]\n\n");
/// assert!(!end.is_complete());
/// end.follow(b"data: [DONE]\n\n");
/// assert!(end.is_complete());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamEnd {
    border: EventBorder,
    /// Start of the current line.
    line: Vec<u8>,
    /// Data of the current event.
    current: Data,
    /// Data of the last complete event that has any.
    last: Data,
    /// Whether the last byte was a CR, which an LF may complete.
    follows_cr: bool,
}

/// Data of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Data {
    /// There is none.
    #[default]
    Absent,
    /// The marker of a complete stream, and nothing else.
    Done,
    /// Anything else.
    Other,
}

impl StreamEnd {
    /// Follows the next bytes of the stream.
    pub fn follow(&mut self, bytes: &[u8]) {
        self.border.follow(bytes);
        let mut rest = bytes;
        if let Some((first, after)) = rest.split_first() {
            // The line has ended with the CR.
            if self.follows_cr && *first == b'\n' {
                rest = after;
            }
            self.follows_cr = false;
        }
        while let Some(end) = rest.iter().position(|byte| matches!(byte, b'\r' | b'\n')) {
            self.extend_line(&rest[..end]);
            self.end_line();
            let is_cr = rest[end] == b'\r';
            rest = &rest[end + 1..];
            self.follows_cr = is_cr && rest.is_empty();
            if is_cr && rest.first() == Some(&b'\n') {
                rest = &rest[1..];
            }
        }
        self.extend_line(rest);
    }

    /// Whether the stream is complete if it ends here.
    pub fn is_complete(&self) -> bool {
        self.last == Data::Done && !self.is_inside_event()
    }

    /// Whether the stream ends inside an event if it ends here.
    pub fn is_inside_event(&self) -> bool {
        self.border.is_inside_event()
    }

    /// Returns the number of events that have ended.
    pub fn event_count(&self) -> u64 {
        self.border.event_count()
    }

    /// Adds bytes to the current line, as far as they matter.
    fn extend_line(&mut self, bytes: &[u8]) {
        let room = LINE_MAX_BYTES - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Ends the current line.
    fn end_line(&mut self) {
        if self.line.is_empty() {
            let ended = std::mem::take(&mut self.current);
            if ended != Data::Absent {
                self.last = ended;
            }
            return;
        }
        if self.has_data_line() {
            let is_done = DONE_LINES.contains(&self.line.as_slice());
            self.current = match self.current {
                Data::Absent if is_done => Data::Done,
                Data::Absent | Data::Done | Data::Other => Data::Other,
            };
        }
        self.line.clear();
    }

    /// Whether the current line holds data.
    fn has_data_line(&self) -> bool {
        let rest = self.line.strip_prefix(DATA_FIELD);
        rest.is_some_and(|rest| rest.first().is_none_or(|byte| *byte == b':'))
    }
}
