//! Keyed fingerprints of request contents. They identify equal requests across calls and instances,
//! and in logs without revealing the content.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Context string for key derivation: fingerprints reveal nothing about the secret even if it is
/// used elsewhere too.
const CONTEXT: &str = "cranereach fingerprints of requests";

/// Length of a fingerprint, in bytes; long enough that two contents with the same fingerprint can't
/// be found.
const FINGERPRINT_BYTES: usize = 16;

/// First byte that is hashed of a prompt part, which no content of a request begins with.
const PART_TAG: u8 = 2;

/// Maximum number of parts of one prompt that have a fingerprint, the first ones; bounds what a
/// single request can add to the evidence about parts.
pub const PART_MAX_COUNT: usize = 32;

/// Key of all fingerprints of a deployment. Without it, guesses of a content can't be checked
/// against fingerprints in logs.
#[derive(Clone)]
pub struct FingerprintKey([u8; 32]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey")
    }
}

impl FingerprintKey {
    /// Derives the key from a secret that all instances share.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, secret.as_bytes()))
    }

    /// Computes the fingerprints of the parts of a prompt, which is listed as `ID:TOKENS` joined by
    /// commas. Each depends on the part's id alone, so that a part has the same one in all prompts.
    /// A part that is listed twice has one fingerprint.
    ///
    /// ```
    /// use cranereach_fleet::fingerprint::FingerprintKey;
    ///
    /// let key = FingerprintKey::new("secret");
    /// let parts = key.parts(b"5c1e:800,91bd:410");
    /// assert_eq!(key.parts(b"77aa:3, 91bd:9,91bd:9")[1..], parts[1..]);
    /// assert_eq!(key.parts(b""), []);
    /// ```
    pub fn parts(&self, listed: &[u8]) -> Vec<Fingerprint> {
        let mut fingerprints = Vec::new();
        for part in listed.split(|byte| *byte == b',') {
            let id = part.split(|byte| *byte == b':').next().unwrap_or_default();
            let id = id.trim_ascii();
            if id.is_empty() {
                continue;
            }
            let fingerprint = self.part(id);
            if !fingerprints.contains(&fingerprint) {
                fingerprints.push(fingerprint);
            }
            if fingerprints.len() >= PART_MAX_COUNT {
                break;
            }
        }
        fingerprints
    }

    /// Computes the fingerprint of one part of a prompt.
    fn part(&self, id: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[PART_TAG]);
        hasher.update(id);
        Fingerprint::from_hash(&hasher.finalize())
    }
}

/// The content that decides whether two requests are equal; excludes request identity and deadline.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// Client account, so that requests of different accounts are never taken for the same one.
    pub account: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Model and adapter, as named in the request.
    pub model: &'a [u8],
    /// Parts of the prompt, as named in the request.
    pub prompt_parts: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Computes the fingerprint.
    ///
    /// ```
    /// use cranereach_fleet::fingerprint::Content;
    /// use cranereach_fleet::fingerprint::FingerprintKey;
    ///
    /// let key = FingerprintKey::new("secret");
    /// let content = Content {
    ///     account: Some("a"), method: "POST", host: b"h", target: "/x?y", model: b"m",
    ///     prompt_parts: b"", body: b"body",
    /// };
    /// let other = Content { account: Some("b"), ..content };
    /// assert_eq!(content.fingerprint(&key), content.fingerprint(&key));
    /// assert_ne!(content.fingerprint(&key), other.fingerprint(&key));
    /// ```
    pub fn fingerprint(&self, key: &FingerprintKey) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        hasher.update(&[u8::from(self.account.is_some())]);
        let fields: [&[u8]; 7] = [
            self.account.unwrap_or_default().as_bytes(),
            self.method.as_bytes(),
            self.host,
            self.target.as_bytes(),
            self.model,
            self.prompt_parts,
            self.body,
        ];
        for field in fields {
            // The length prefix keeps the end of one field distinct from the beginning of the next.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        Fingerprint::from_hash(&hasher.finalize())
    }
}

/// Fingerprint of a request's content; displayed as 32 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Truncates a hash.
    fn from_hash(hash: &blake3::Hash) -> Self {
        Self(hash.as_bytes().first_chunk().copied().unwrap_or_default())
    }

    /// Parses the displayed form; none if the text is not a fingerprint.
    ///
    /// ```
    /// use cranereach_fleet::fingerprint::Fingerprint;
    ///
    /// let text = "000102030405060708090a0b0c0d0e0f";
    /// let read = Fingerprint::read(text).unwrap();
    /// assert_eq!(read.to_string(), text);
    /// assert_eq!(Fingerprint::read("0001"), None);
    /// ```
    pub fn read(text: &str) -> Option<Self> {
        let is_valid = text.len() == FINGERPRINT_BYTES * 2 && text.is_ascii();
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate().filter(|_| is_valid) {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
        }
        is_valid.then_some(Self(bytes))
    }

    /// Returns the key by which instances are ranked for this fingerprint.
    pub fn ranking_key(&self) -> u64 {
        u64::from_le_bytes(self.0.first_chunk().copied().unwrap_or_default())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
