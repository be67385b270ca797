//! Costs of following the contents of responses, by size.

use std::hint::black_box;

use serde_json::json;

use super::Slope;
use super::core_decisions::measure_slope;
use super::core_decisions::time_us;
use cranereach_http::content::Content;
use cranereach_http::event_border::EventBorder;
use cranereach_http::json_text::JsonText;

/// Bytes of one KB.
const KB: usize = 1_000;

/// Sizes of the measured contents, in KB.
const SIZES_KB: [usize; 4] = [1, 4, 16, 64];

/// Measures how the costs of following all contents scale.
pub fn measure() -> Vec<Slope> {
    vec![
        measure_slope("follow events", "KB", "us", &SIZES_KB, |size_kb| {
            follow_us(Content::Events(EventBorder::default()), &events(size_kb))
        }),
        measure_slope("follow a JSON text", "KB", "us", &SIZES_KB, |size_kb| {
            follow_us(Content::Json(JsonText::default()), &json_text(size_kb))
        }),
    ]
}

/// Returns a stream of events with a token each.
fn events(size_kb: usize) -> Vec<u8> {
    let event = b"id: 12\ndata: {\"token\": \" word\"}\n\n";
    event.iter().copied().cycle().take(size_kb * KB).collect()
}

/// Returns a JSON text of objects with text and numbers.
fn json_text(size_kb: usize) -> Vec<u8> {
    let item = json!({ "text": "Some words, \"quoted\", and a line.\n", "scores": [0.25, 12, -3] });
    let item_bytes = item.to_string().len() + 1;
    let items = vec![item; size_kb * KB / item_bytes];
    json!(items).to_string().into_bytes()
}

/// Returns the time to follow bytes, in microseconds.
fn follow_us(content: Content, bytes: &[u8]) -> f64 {
    time_us(|| {
        let mut content = content;
        content.follow(black_box(bytes));
        black_box(&content);
    })
}
