//! Borders between the events of a stream, however its bytes are split.

use cranereach_http::event_border::EventBorder;

/// Beginnings of streams, and whether each ends inside an event.
const ROWS: [(&[u8], bool); 27] = [
    (b"", false),
    (b"id: 1\ndata: a\n\n", false),
    (b"id: 1\ndata: a\n", true),
    (b"id: 1\ndata: a", true),
    (b"id: 1\ndata: a\n\nid: 2", true),
    (b"id: 1\r\ndata: a\r\n\r\n", false),
    (b"id: 1\r\ndata: a\r\n\r", true),
    (b"id: 1\r\ndata: a\r\n", true),
    (b"id: 1\r\ndata: a\r", true),
    (b"id: 1\rdata: a\r\r", false),
    (b"id: 1\rdata: a\r", true),
    (b"data: a\n\n\n\n", false),
    (b": comment\n", false),
    (b": comm", true),
    (b"data: a\n\n: comment\n", false),
    (b"data: a\n\n: comment\n\n", false),
    (b"data: a\n: comment\n", true),
    (b"data: a\n\n:\n", false),
    (b"x-weight-versions: 3\nid: 1\ndata: a\n\n", false),
    (b"x-weight-versions: 3\n", true),
    (b"\xef\xbb\xbf", false),
    (b"\xef\xbb", true),
    (b"\xef\xbb\xbfdata: a\n\n", false),
    (b"\xef\xbb\xbf: comment\n", false),
    (b"\xef\xbbdata: a\n\n", false),
    (b"\xef\xbb\xbf\xef\xbb\xbf", true),
    (b"data\n\n", false),
];

/// Guards against a stream that ends inside an event being taken for one that ends after it, and
/// against the reverse, in all forms of line ends, comments and byte order marks.
#[test]
fn the_end_of_an_event_is_found() {
    for (bytes, expected) in ROWS {
        let text = String::from_utf8_lossy(bytes);
        let mut whole = EventBorder::default();
        whole.follow(bytes);
        assert_eq!(whole.is_inside_event(), expected, "{text:?}");
    }
}

/// Guards against a border that is missed because it is split over chunks.
#[test]
fn splitting_the_bytes_changes_nothing() {
    for (bytes, expected) in ROWS {
        for first in 0..=bytes.len() {
            for second in first..=bytes.len() {
                let mut split = EventBorder::default();
                split.follow(&bytes[..first]);
                split.follow(&bytes[first..second]);
                split.follow(&bytes[second..]);
                let text = String::from_utf8_lossy(bytes);
                let message = format!("{text:?} split at {first} and {second}");
                assert_eq!(split.is_inside_event(), expected, "{message}");
            }
        }
    }
}
