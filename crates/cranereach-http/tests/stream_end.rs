//! The event that ends a complete stream, however its bytes are split.

use cranereach_http::stream_end::StreamEnd;

/// Streams, and whether each is complete.
const ROWS: [(&str, bool); 22] = [
    ("", false),
    ("data: a\n\ndata: [DONE]\n\n", true),
    ("data: a\n\ndata:[DONE]\n\n", true),
    ("data: a\r\n\r\ndata: [DONE]\r\n\r\n", true),
    ("data: a\r\n\r\ndata: [DONE]\r\n\r", false),
    ("data: a\r\rdata: [DONE]\r\r", true),
    ("data: a\n\ndata: [DONE]\n", false),
    ("data: a\n\ndata: [DONE]", false),
    ("data: a\n\ndata: [DONE", false),
    ("data: a [DONE]\n\n", false),
    ("data: {\"content\":\"[DONE]\"}\n\n", false),
    ("data: [DONE] \n\n", false),
    ("data: [DONE]x\n\n", false),
    ("data: a\ndata: [DONE]\n\n", false),
    ("data: [DONE]\ndata: a\n\n", false),
    ("data: [DONE]\ndata\n\n", false),
    ("database: a\ndata: [DONE]\n\n", true),
    ("id: 4\ndata: [DONE]\n\n", true),
    ("data: [DONE]\n\n: a comment\n", true),
    ("data: [DONE]\n\ndata: a\n\n", false),
    ("data: [DONE]\n\nid: 5\n\n", true),
    (": [DONE]\n\n", false),
];

/// Guards against a stream that is taken for complete because the text of the marker is near its
/// end, and against complete streams that are not recognized.
#[test]
fn only_the_event_of_the_marker_completes_a_stream() {
    for (text, expected) in ROWS {
        let mut end = StreamEnd::default();
        end.follow(text.as_bytes());
        assert_eq!(end.is_complete(), expected, "{text:?}");
    }
}

/// Guards against a marker that is missed because it is split over frames.
#[test]
fn splitting_the_stream_changes_nothing() {
    for (text, expected) in ROWS {
        for first in 0..=text.len() {
            for second in first..=text.len() {
                let mut end = StreamEnd::default();
                for part in [&text[..first], &text[first..second], &text[second..]] {
                    end.follow(part.as_bytes());
                }
                let message = format!("{text:?} split at {first} and {second}");
                assert_eq!(end.is_complete(), expected, "{message}");
            }
        }
    }
}
