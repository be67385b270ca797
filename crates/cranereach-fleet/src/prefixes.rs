//! Which parts of prompts a worker has probably kept, from what was sent to it.

use std::collections::HashMap;

/// Most parts remembered per worker.
const PART_MAX_COUNT: usize = 512;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part together with all before it, the model and adapter.
    pub chain: u64,
    /// Tokens.
    pub tokens: u32,
}

/// Makes the parts of a prompt; each is named together with all before it.
///
/// ```
/// use cranereach_fleet::prefixes::chain;
///
/// let parts = chain("m1", &[("a", 10), ("b", 20)]);
/// assert_ne!(parts[0].chain, parts[1].chain);
/// ```
pub fn chain(model: &str, parts: &[(&str, u32)]) -> Vec<PromptPart> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let mut chained = Vec::with_capacity(parts.len());
    for (id, tokens) in parts {
        hasher.update(b"/");
        hasher.update(id.as_bytes());
        let hash = hasher.finalize();
        let first = hash.as_bytes().first_chunk().copied().unwrap_or_default();
        chained.push(PromptPart {
            chain: u64::from_le_bytes(first),
            tokens: *tokens,
        });
    }
    chained
}

/// Parts that a worker has probably kept.
#[derive(Clone, Debug, Default)]
pub struct KeptPrefixes {
    used_at_ms: HashMap<u64, u64>,
}

impl KeptPrefixes {
    /// Returns how many tokens of a prompt need not be read again.
    pub fn kept_tokens(&self, parts: &[PromptPart]) -> u32 {
        let kept = parts
            .iter()
            .take_while(|part| self.used_at_ms.contains_key(&part.chain));
        kept.map(|part| part.tokens).sum()
    }

    /// Returns how many of a prompt's leading parts need not be read again.
    pub fn kept_part_count(&self, chains: &[u64]) -> usize {
        let kept = chains
            .iter()
            .take_while(|chain| self.used_at_ms.contains_key(chain));
        kept.count()
    }

    /// Notes that the worker reads a prompt.
    pub fn sent(&mut self, now_ms: u64, parts: &[PromptPart]) {
        for part in parts {
            self.used_at_ms.insert(part.chain, now_ms);
        }
        if self.used_at_ms.len() > PART_MAX_COUNT {
            self.evict_older_half();
        }
    }

    /// Forgets everything, as a worker does that has lost its memory.
    pub fn clear(&mut self) {
        self.used_at_ms.clear();
    }

    /// Forgets the half that was used least recently.
    fn evict_older_half(&mut self) {
        let mut times: Vec<u64> = self.used_at_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, &mut median_ms, _) = times.select_nth_unstable(middle);
        self.used_at_ms
            .retain(|_, used_at_ms| *used_at_ms > median_ms);
    }
}
