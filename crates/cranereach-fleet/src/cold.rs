//! Workers that have just started. A cold worker can take few requests for a while, and fails if it
//! gets many more. [`crate::send_grants`] decides who may send it one.

/// What one instance assumes about whether a worker is cold.
///
/// ```
/// use cranereach_fleet::cold::Coldness;
///
/// let mut coldness = Coldness::default();
/// coldness.cold_until(5_000);
/// assert!(coldness.is_cold(4_999));
/// assert!(!coldness.is_cold(5_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coldness {
    until_ms: u64,
}

impl Coldness {
    /// Records that the worker may be cold until a time.
    pub fn cold_until(&mut self, at_ms: u64) {
        self.until_ms = self.until_ms.max(at_ms);
    }

    /// Whether the worker may be cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns when the worker is warm, in milliseconds.
    pub fn warm_at_ms(&self) -> u64 {
        self.until_ms
    }
}
