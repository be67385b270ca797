//! Equal requests have equal fingerprints, and different ones don't.

use std::collections::HashSet;

use cranereach_fleet::fingerprint::Content;
use cranereach_fleet::fingerprint::FingerprintKey;

const CONTENT: Content<'_> = Content {
    account: None,
    method: "POST",
    host: b"h",
    target: "/a/b",
    model: b"m0",
    prompt_parts: b"1:2",
    body: b"body",
};

#[test]
fn any_difference_changes_the_fingerprint() {
    let key = FingerprintKey::new("");
    let variants = [
        CONTENT,
        Content {
            account: Some(""),
            ..CONTENT
        },
        Content {
            account: Some("a"),
            ..CONTENT
        },
        Content {
            method: "PUT",
            ..CONTENT
        },
        Content {
            host: b"i",
            ..CONTENT
        },
        Content {
            target: "/a/b?c",
            ..CONTENT
        },
        Content {
            model: b"m1",
            ..CONTENT
        },
        Content {
            prompt_parts: b"1:3",
            ..CONTENT
        },
        Content {
            body: b"",
            ..CONTENT
        },
        // The end of one field isn't the beginning of the next.
        Content {
            model: b"m01",
            prompt_parts: b":2",
            ..CONTENT
        },
        Content {
            prompt_parts: b"1:2b",
            body: b"ody",
            ..CONTENT
        },
    ];
    let fingerprints: HashSet<_> = variants
        .iter()
        .map(|content| content.fingerprint(&key))
        .collect();
    assert_eq!(fingerprints.len(), variants.len());
}

#[test]
fn a_fingerprint_cannot_be_reproduced_without_the_secret() {
    let secret = FingerprintKey::new("secret");
    let guessed = FingerprintKey::new("");
    assert_ne!(CONTENT.fingerprint(&secret), CONTENT.fingerprint(&guessed));
    assert!(!format!("{secret:?}").contains(|character: char| character.is_ascii_digit()));
}
