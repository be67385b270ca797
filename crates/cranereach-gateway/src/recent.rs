//! Recently learned updates, which every instance repeats to its peers for a few gossip rounds.

/// Time for which an update is repeated, in milliseconds.
const GOSSIP_FOR_MS: u64 = 4_000;

/// Updates that are repeated to peers for a limited time.
#[derive(Debug)]
pub struct RecentUpdates<T> {
    /// Updates with the times at which they were learned, in milliseconds.
    entries: Vec<(u64, T)>,
}

impl<T> Default for RecentUpdates<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T: Copy> RecentUpdates<T> {
    /// Adds updates, except those for which a matching one is already present. Returns whether the
    /// number of updates to repeat has grown.
    ///
    /// ```
    /// use cranereach_gateway::recent::RecentUpdates;
    ///
    /// let mut recent = RecentUpdates::default();
    /// assert!(recent.add(1_000, &[7, 8], |known, new| known == new));
    /// assert!(!recent.add(2_000, &[7], |known, new| known == new));
    /// assert_eq!(recent.updates().collect::<Vec<_>>(), [7, 8]);
    /// ```
    pub fn add(&mut self, now_ms: u64, updates: &[T], is_same: impl Fn(&T, &T) -> bool) -> bool {
        self.entries
            .retain(|(at_ms, _)| now_ms < at_ms + GOSSIP_FOR_MS);
        let before = self.entries.len();
        for new in updates {
            if !self.entries.iter().any(|(_, known)| is_same(known, new)) {
                self.entries.push((now_ms, *new));
            }
        }
        self.entries.len() > before
    }

    /// Returns the updates to repeat.
    pub fn updates(&self) -> impl Iterator<Item = T> {
        self.entries.iter().map(|(_, update)| *update)
    }
}
