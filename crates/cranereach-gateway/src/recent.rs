//! News that peers are told for some rounds, each by all who have just learnt of it.

/// Time for which each is told, in milliseconds.
const GOSSIP_FOR_MS: u64 = 4_000;

/// News that are told for a while.
#[derive(Debug)]
pub struct Recent<T> {
    /// When each was learnt, in milliseconds.
    entries: Vec<(u64, T)>,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T: Copy> Recent<T> {
    /// Takes what has just been learnt, unless something like it is told already; returns
    /// whether there is more to tell than before.
    ///
    /// ```
    /// use cranereach_gateway::recent::Recent;
    ///
    /// let mut recent = Recent::default();
    /// assert!(recent.learn(1_000, &[7, 8], |known, new| known == new));
    /// assert!(!recent.learn(2_000, &[7], |known, new| known == new));
    /// assert_eq!(recent.told().collect::<Vec<_>>(), [7, 8]);
    /// ```
    pub fn learn(&mut self, now_ms: u64, news: &[T], is_same: impl Fn(&T, &T) -> bool) -> bool {
        self.entries
            .retain(|(at_ms, _)| now_ms < at_ms + GOSSIP_FOR_MS);
        let before = self.entries.len();
        for new in news {
            if !self.entries.iter().any(|(_, known)| is_same(known, new)) {
                self.entries.push((now_ms, *new));
            }
        }
        self.entries.len() > before
    }

    /// Lists what is told.
    pub fn told(&self) -> impl Iterator<Item = T> {
        self.entries.iter().map(|(_, news)| *news)
    }
}
