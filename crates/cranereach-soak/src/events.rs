//! Events of the streams that the stand-in workers send.

use cranereach_platform::standin::content;

/// An event as its caller received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEvent<'a> {
    /// Number in the stream.
    pub number: usize,
    /// Identity of the request that it was sent for.
    pub request: &'a str,
    /// Version of the software of the worker that wrote it.
    pub version: &'a str,
}

/// The events of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvents<'a> {
    /// The complete events, or the first one that isn't a worker's.
    pub events: Result<Vec<StreamEvent<'a>>, &'a str>,
    /// What follows the last complete event.
    pub rest: &'a str,
}

impl<'a> StreamEvents<'a> {
    /// Splits a body into events.
    ///
    /// ```
    /// use cranereach_soak::events::StreamEvents;
    ///
    /// let split = StreamEvents::new("id: 0\ndata: r-1 v2\n\nid: 1\nda");
    /// let events = split.events.unwrap();
    /// assert_eq!((events[0].request, events[0].version), ("r-1", "v2"));
    /// assert_eq!(split.rest, "id: 1\nda");
    /// ```
    pub fn new(body: &'a str) -> Self {
        let complete_bytes = body.rfind(BORDER).map_or(0, |at| at + BORDER.len());
        let (complete, rest) = body.split_at(complete_bytes);
        let events = complete.split_inclusive(BORDER);
        Self {
            events: events.map(|text| parse(text).ok_or(text)).collect(),
            rest,
        }
    }

    /// Returns the complete events; none if one of them isn't a worker's.
    pub fn complete(&self) -> &[StreamEvent<'a>] {
        self.events.as_deref().unwrap_or_default()
    }
}

/// End of an event.
const BORDER: &str = "\n\n";

/// Reads an event; `None` if no worker writes it so.
fn parse(text: &str) -> Option<StreamEvent<'_>> {
    let (number, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
    let piece = data.strip_suffix(BORDER)?;
    let (request, version) = piece.split_once(' ').unwrap_or((piece, ""));
    let number = number.parse().ok()?;
    let is_as_written = content::event(number, piece) == text;
    is_as_written.then_some(StreamEvent {
        number,
        request,
        version,
    })
}
