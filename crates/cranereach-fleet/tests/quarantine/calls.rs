//! Calls of the simulated fleet.

use super::prompts::Prompt;
use cranereach_fleet::fingerprint::Content;
use cranereach_fleet::fingerprint::Fingerprint;
use cranereach_fleet::fingerprint::FingerprintKey;
use cranereach_fleet::quarantine::KnownEnds;
use cranereach_fleet::quarantine::PROGRESS_MS;
use cranereach_fleet::quarantine::RunPhase;
use cranereach_fleet::quarantine::SuspectKey;

/// Returns the key of the request with the given number.
pub fn request_key(number: u64) -> SuspectKey {
    let content = Content {
        account: None,
        method: "POST",
        host: b"h",
        target: "/",
        model: b"",
        prompt_parts: b"",
        body: &number.to_le_bytes(),
    };
    let fingerprint: Fingerprint = content.fingerprint(&FingerprintKey::new(""));
    SuspectKey::request(8, fingerprint)
}

#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub number: u64,
    pub is_fatal: bool,
    pub model: usize,
    pub client_retries: u32,
    pub attempts: u32,
    pub instance: usize,
    pub known_ends: KnownEnds,
    pub is_isolated: bool,
    pub sent_at_ms: i64,
    pub ends_at_ms: i64,
    pub prompt: Prompt,
    /// When it was first received.
    pub received_ms: i64,
}

impl Call {
    /// Returns how far the call is; it writes to its answer from the moment at which it was sent.
    pub fn phase(&self, now_ms: i64) -> RunPhase {
        if now_ms - self.sent_at_ms >= PROGRESS_MS as i64 {
            RunPhase::Writing
        } else {
            RunPhase::Beginning
        }
    }
}
