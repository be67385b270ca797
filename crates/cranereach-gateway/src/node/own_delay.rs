//! Whether times that were measured here say something about others.

use super::Node;

impl Node {
    /// Whether a time that was measured here, and that ends now, is explained by a delay of this
    /// instance itself or by its full network link. If it is, it must not be taken for evidence
    /// about a worker or a peer.
    pub fn is_own_delay(&self, took_ms: u64) -> bool {
        let since_ms = self.now_ms().saturating_sub(took_ms);
        self.intake.explains(since_ms, took_ms)
    }

    /// Returns by how much own work was late since a time, in milliseconds.
    pub fn own_delay_since_ms(&self, since_ms: u64) -> u64 {
        self.intake.longest_delay_since_ms(since_ms)
    }
}
