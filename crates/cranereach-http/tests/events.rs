//! Event boundaries are found however the bytes of a stream are split.

use cranereach_http::events::EventBuffer;
use cranereach_http::events::ResumePoint;

/// Returns the bytes of a stream of `event_count` events.
fn stream(event_count: usize) -> Vec<u8> {
    let events = (0..event_count).map(|number| format!("id: {number}\ndata: piece {number}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn only_complete_events_are_passed_on_wherever_a_stream_is_cut() {
    let stream = stream(4);
    for piece_bytes in 1..stream.len() {
        for cut_at in 0..=stream.len() {
            let mut events = EventBuffer::default();
            let mut passed = Vec::new();
            for piece in stream[..cut_at].chunks(piece_bytes) {
                passed.extend_from_slice(&events.take(piece));
            }
            events.discard_partial();
            assert!(stream.starts_with(&passed));
            assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
            let whole_count = stream[..cut_at].windows(2).filter(|pair| pair == b"\n\n");
            let whole_count = whole_count.count();
            let expected = match whole_count {
                0 => ResumePoint::Start,
                count => ResumePoint::Event((count - 1).to_string()),
            };
            assert_eq!(events.reached(), &expected);
            // The stream is complete once another worker has resumed it after the last whole event.
            let next_id_line = format!("id: {whole_count}\n");
            let resume_at =
                (0..stream.len()).find(|at| stream[*at..].starts_with(next_id_line.as_bytes()));
            passed.extend_from_slice(&events.take(&stream[resume_at.unwrap_or(stream.len())..]));
            assert_eq!(passed, stream);
            assert!(!events.has_non_increasing_id());
        }
    }
}

#[test]
fn lines_may_end_with_carriage_return_and_line_feed() {
    let mut events = EventBuffer::default();
    let bytes = events.take(b"id:7\r\ndata: a\r\n\r\nid:8\r\n");
    assert_eq!(bytes.as_ref(), b"id:7\r\ndata: a\r\n\r\n");
    assert_eq!(events.reached(), &ResumePoint::Event("7".to_owned()));
    assert_eq!(events.take_partial().as_ref(), b"id:8\r\n");
}

#[test]
fn a_stream_is_not_resumed_after_an_event_without_an_id() {
    let mut events = EventBuffer::default();
    let _passed = events.take(b"id: 1\ndata: a\n\ndata: b\n\n");
    assert_eq!(events.reached(), &ResumePoint::Unknown);
    let _passed = events.take(b"id: 2\ndata: c\n\n: only a remark\n\n");
    assert_eq!(events.reached(), &ResumePoint::Event("2".to_owned()));
}

#[test]
fn an_event_too_large_to_buffer_is_passed_on_as_it_arrives() {
    let mut events = EventBuffer::default();
    let _passed = events.take(b"id: 1\ndata: a\n\nid: 2\ndata: ");
    let large = vec![b'x'; 80 * 1024];
    assert!(events.take(&large).ends_with(&large));
    assert_eq!(events.take(b"more").as_ref(), b"more");
    assert_eq!(events.reached(), &ResumePoint::Unknown);
    let _passed = events.take(b"\n\nid: 3\ndata: c\n\n");
    assert_eq!(events.reached(), &ResumePoint::Unknown);
}

#[test]
fn non_increasing_event_ids_are_detected() {
    for (second, has_non_increasing_id) in [("5", true), ("4", true), ("6", false), ("10", false)] {
        let mut events = EventBuffer::default();
        let _passed = events.take(b"id: 5\ndata: a\n\n");
        let _passed = events.take(format!("id: {second}\ndata: b\n\n").as_bytes());
        assert_eq!(
            events.has_non_increasing_id(),
            has_non_increasing_id,
            "{second}"
        );
    }
}

/// Guards against events that a caller already has being passed on once more, because a worker does
/// not heed the event that the caller named.
#[test]
fn events_up_to_the_one_that_a_stream_continues_after_are_noticed() {
    for (first, is_repeated) in [("3", true), ("4", true), ("5", false)] {
        let mut events = EventBuffer::after("4");
        events.take(format!("id: {first}\ndata: a\n\n").as_bytes());
        assert_eq!(events.has_non_increasing_id(), is_repeated, "{first}");
    }
}

/// Guards against a resumption after the wrong event, and against bytes that are held back, where
/// lines end with CR alone, at which events are not split.
#[test]
fn a_stream_with_lone_crs_passes_and_can_not_be_resumed() {
    for text in ["id: 1\rdata: a\r\rid: 2", "id: 1\n\nid: 2\rdata: a\n\n"] {
        let mut events = EventBuffer::default();
        assert_eq!(events.take(text.as_bytes()), text.as_bytes());
        assert_eq!(events.reached(), &ResumePoint::Unknown, "{text:?}");
    }
}
