//! Ends of JSON texts, compared with a parser that keeps the whole text.

use proptest::prelude::*;
use serde::de::IgnoredAny;
use serde_json::Value;

use cranereach_http::json_text::JsonText;

/// Pieces that texts are made of, valid together or not.
const PIECES: [&str; 28] = [
    "{", "}", "[", "]", "\"", "\"", "\\", "\\\"", "\\u00e9", "é", ":", ",", " ", "\n", "0", "12",
    "-", ".", "e", "E+", "true", "fal", "se", "null", "nul", "\"a\":", "\"b\"", "x",
];

/// Whether a text is cut off, by the parser; none if it is neither whole nor the beginning of a
/// longer text.
fn reference(text: &[u8]) -> Option<bool> {
    match serde_json::from_slice::<IgnoredAny>(text) {
        Ok(_) => Some(false),
        Err(error) if error.is_eof() => Some(true),
        Err(_) => None,
    }
}

/// Follows a text that comes in two parts.
fn is_cut_off(text: &[u8], split_at: usize) -> bool {
    let mut followed = JsonText::default();
    let (first, second) = text.split_at(split_at);
    followed.follow(first);
    followed.follow(second);
    followed.is_cut_off()
}

/// Returns JSON values of all kinds.
fn values() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".*".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(".{0,4}", inner, 0..4)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Guards against an answer that was cut being taken for a whole one, and a whole one for a cut
    /// one, wherever it is cut and however its bytes are split.
    #[test]
    fn each_beginning_of_a_text_is_cut_off(
        value in values(),
        is_pretty in any::<bool>(),
        split_share in 0.0..=1.0_f64,
    ) {
        let text = if is_pretty {
            serde_json::to_vec_pretty(&value).unwrap()
        } else {
            serde_json::to_vec(&value).unwrap()
        };
        for end in 0..=text.len() {
            let beginning = &text[..end];
            let split_at = (end as f64 * split_share) as usize;
            // A number outside of all brackets is whole wherever it ends with a digit.
            let expected = serde_json::from_slice::<IgnoredAny>(beginning).is_err();
            prop_assert_eq!(is_cut_off(beginning, split_at), expected, "{:?}", beginning);
        }
    }

    /// Guards against texts that nobody thought of being judged otherwise than by a parser.
    #[test]
    fn any_text_is_judged_as_by_a_parser(
        pieces in prop::collection::vec(prop::sample::select(&PIECES[..]), 0..12),
        split_share in 0.0..=1.0_f64,
    ) {
        let text = pieces.concat().into_bytes();
        let split_at = (text.len() as f64 * split_share) as usize;
        if let Some(expected) = reference(&text) {
            prop_assert_eq!(is_cut_off(&text, split_at), expected, "{:?}", pieces);
        }
    }
}

/// Guards against a text that no parser takes as the beginning of another being broken off.
#[test]
fn what_is_no_json_text_is_not_cut_off() {
    for text in ["half", "<html>", "}", "truth", "1x", "nothing"] {
        assert!(!is_cut_off(text.as_bytes(), 1), "{text}");
    }
}

/// Guards against a byte order mark making a whole text look cut off, or a cut one whole.
#[test]
fn a_byte_order_mark_changes_nothing() {
    assert!(!is_cut_off(b"\xef\xbb\xbf{}", 1));
    assert!(is_cut_off(b"\xef\xbb\xbf{", 2));
    assert!(is_cut_off(b"\xef\xbb\xbf", 3));
}
