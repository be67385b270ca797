//! Borders between events, compared with a reference that keeps the whole stream.

use proptest::prelude::*;

use cranereach_http::event_border::EventBorder;

/// Pieces that streams are made of.
const PIECES: [&[u8]; 14] = [
    b"\n",
    b"\n",
    b"\r\n",
    b"\r\n",
    b"\r",
    b":",
    b": comment",
    b"data: a",
    b"id: 1",
    b"x",
    b"\xef",
    b"\xbb",
    b"\xbf",
    b"\xef\xbb\xbf",
];

/// Returns a stream without its byte order mark, and with LF at the end of each line.
fn normalized(stream: &[u8]) -> Vec<u8> {
    let stream = stream.strip_prefix(b"\xef\xbb\xbf").unwrap_or(stream);
    let mut text = Vec::new();
    for (index, byte) in stream.iter().enumerate() {
        match byte {
            b'\r' => text.push(b'\n'),
            b'\n' if index > 0 && stream[index - 1] == b'\r' => {}
            byte => text.push(*byte),
        }
    }
    text
}

/// Whether a stream that ends here ends inside an event, a line or a byte order mark.
fn reference(stream: &[u8]) -> bool {
    let is_part_of_mark = matches!(stream, b"\xef" | b"\xef\xbb");
    let lacks_lf = stream.ends_with(b"\r") && stream.windows(2).any(|pair| pair == b"\r\n");
    let text = normalized(stream);
    let mut lines: Vec<&[u8]> = text.split(|byte| *byte == b'\n').collect();
    let rest = lines.pop().unwrap_or_default();
    let after_blank = lines.rsplit(|line| line.is_empty()).next();
    let has_event_begun = after_blank.unwrap_or_default().iter();
    let has_event_begun = has_event_begun.into_iter().any(|line| line[0] != b':');
    is_part_of_mark || lacks_lf || !rest.is_empty() || has_event_begun
}

/// Counts the events of a stream that have ended.
fn reference_count(stream: &[u8]) -> u64 {
    let text = normalized(stream);
    let mut lines: Vec<&[u8]> = text.split(|byte| *byte == b'\n').collect();
    lines.pop();
    let mut event_count = 0;
    let mut has_event_begun = false;
    for line in lines {
        match line.first() {
            Some(b':') => {}
            Some(_) => has_event_begun = true,
            None => event_count += u64::from(std::mem::take(&mut has_event_begun)),
        }
    }
    event_count
}

proptest! {
    /// Guards against an incomplete event that is missed, and a complete one that is not seen, in
    /// streams that nobody thought of, however they are split.
    #[test]
    fn borders_match_the_reference(
        pieces in prop::collection::vec((prop::sample::select(&PIECES[..]), any::<bool>()), 0..24),
    ) {
        let mut border = EventBorder::default();
        let mut stream = Vec::new();
        let mut chunk = Vec::new();
        for (piece, ends_chunk) in pieces {
            stream.extend_from_slice(piece);
            chunk.extend_from_slice(piece);
            if ends_chunk {
                border.follow(&chunk);
                chunk.clear();
                prop_assert_eq!(border.is_inside_event(), reference(&stream), "{:?}", stream);
            }
        }
        border.follow(&chunk);
        prop_assert_eq!(border.is_inside_event(), reference(&stream), "{:?}", stream);
        prop_assert_eq!(border.event_count(), reference_count(&stream), "{:?}", stream);
    }
}
