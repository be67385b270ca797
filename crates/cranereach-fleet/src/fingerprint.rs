//! Fingerprints of what requests ask for, so that equal ones are known for such across
//! calls and instances, and in logs without their content.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What keys of fingerprints are derived for, so that a secret that serves elsewhere
/// too gives nothing away here.
const CONTEXT: &str = "cranereach fingerprints of requests";

/// Bytes of a fingerprint: nobody finds two contents that share one.
const FINGERPRINT_BYTES: usize = 16;

/// Key of all fingerprints of a deployment: who lacks it can't check guesses of a
/// content against fingerprints in logs.
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
}

/// What a request asks for, as far as it makes requests equal: neither its identity nor
/// its deadline.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// Client account, so that nobody's requests are taken for another's.
    pub account: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Model and adapter as named.
    pub model: &'a [u8],
    /// Parts of the prompt as named.
    pub prompt_parts: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Returns the fingerprint.
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
            // The length first: no field can stand in for the beginning of the next.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let hash = hasher.finalize();
        Fingerprint(hash.as_bytes().first_chunk().copied().unwrap_or_default())
    }
}

/// Fingerprint of what a request asks for; written as 32 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Reads one as it is written; none if that is none.
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

    /// Returns a number that orders instances for it.
    pub fn purpose(&self) -> u64 {
        u64::from_le_bytes(self.0.first_chunk().copied().unwrap_or_default())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
