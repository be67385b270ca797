//! Borders between the events of an event stream (`text/event-stream`).

/// Mark that a stream may begin with, which belongs to no line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Follows an event stream and knows whether it is inside an event.
///
/// Nothing of the stream is kept. Lines end with LF, CR LF or CR; an event ends with a blank line. A
/// line that starts with a colon is a comment and begins no event.
///
/// ```
/// use cranereach_http::event_border::EventBorder;
///
/// let mut border = EventBorder::default();
/// border.follow(b"id: 1\ndata: a\n");
/// assert!(border.is_inside_event());
/// border.follow(b"\n: a comment\n");
/// assert!(!border.is_inside_event());
/// assert_eq!(border.event_count(), 1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBorder {
    mark: Mark,
    line: Line,
    /// Whether a line of the current event has begun.
    has_event_begun: bool,
    /// Number of events that have ended.
    event_count: u64,
    /// Whether the last byte was a CR, which an LF may complete.
    follows_cr: bool,
    /// Whether some line ended with CR LF.
    uses_cr_lf: bool,
}

/// Where in the byte order mark a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    /// The first line has not begun; this many bytes of the mark have been read.
    Read(usize),
    /// The first line has begun.
    Passed,
}

impl Default for Mark {
    fn default() -> Self {
        Self::Read(0)
    }
}

impl Mark {
    /// Whether a part of the mark has been read, but not all of it.
    fn is_inside(self) -> bool {
        matches!(self, Self::Read(count) if (1..BYTE_ORDER_MARK.len()).contains(&count))
    }
}

/// Where in a line a stream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Before the first byte of a line.
    #[default]
    Start,
    /// Inside a line.
    Inside,
}

impl EventBorder {
    /// Follows the next bytes of the stream.
    pub fn follow(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some((byte, after)) = rest.split_first() {
            rest = match (self.line, byte) {
                (Line::Inside, byte) if !matches!(byte, b'\r' | b'\n') => {
                    let end = after.iter().position(|byte| matches!(byte, b'\r' | b'\n'));
                    &after[end.unwrap_or(after.len())..]
                }
                _ => {
                    self.take(*byte);
                    after
                }
            };
        }
    }

    /// Whether the stream ends inside an event, or inside a line, if it ends here.
    pub fn is_inside_event(&self) -> bool {
        // Where lines end with CR LF, a blank line that ends with CR lacks its last byte.
        let lacks_lf = self.follows_cr && self.uses_cr_lf;
        self.mark.is_inside() || lacks_lf || self.has_event_begun || self.line == Line::Inside
    }

    /// Returns the number of events that have ended.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Takes a byte that begins or ends a line.
    fn take(&mut self, byte: u8) {
        if self.takes_mark(byte) {
            return;
        }
        self.mark = Mark::Passed;
        let completes_cr_lf = self.follows_cr && byte == b'\n';
        self.follows_cr = byte == b'\r';
        match byte {
            b'\n' if completes_cr_lf => self.uses_cr_lf = true,
            b'\r' | b'\n' => {
                let is_blank = self.line == Line::Start;
                self.event_count += u64::from(is_blank && self.has_event_begun);
                self.has_event_begun &= !is_blank;
                self.line = Line::Start;
            }
            _ => {
                self.has_event_begun |= byte != b':';
                self.line = Line::Inside;
            }
        }
    }

    /// Takes a byte of the byte order mark; returns false if it is none.
    fn takes_mark(&mut self, byte: u8) -> bool {
        let Mark::Read(count) = self.mark else {
            return false;
        };
        if BYTE_ORDER_MARK.get(count) == Some(&byte) {
            self.mark = Mark::Read(count + 1);
            return true;
        }
        if self.mark.is_inside() {
            // The bytes before were the beginning of a line.
            self.has_event_begun = true;
            self.line = Line::Inside;
        }
        false
    }
}
