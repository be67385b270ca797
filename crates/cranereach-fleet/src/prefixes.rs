//! Estimate of a worker's prefix cache, from the prompts that were sent to the worker.

use std::collections::HashMap;

/// Maximum number of prompt parts tracked per worker.
const PART_MAX_COUNT: usize = 512;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of this part, all parts before it, and the model and adapter.
    pub chain: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Hashes the parts of a prompt; each hash also covers all parts before it.
///
/// ```
/// use cranereach_fleet::prefixes::hash_parts;
///
/// let parts = hash_parts("m1", &[("a", 10), ("b", 20)]);
/// assert_ne!(parts[0].chain, parts[1].chain);
/// ```
pub fn hash_parts(model: &str, parts: &[(&str, u32)]) -> Vec<PromptPart> {
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

/// Prompt parts that are probably in a worker's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct CachedPrefixes {
    used_at_ms: HashMap<u64, u64>,
}

impl CachedPrefixes {
    /// Returns how many leading tokens of a prompt are probably cached and need no prefill.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let kept = parts
            .iter()
            .take_while(|part| self.used_at_ms.contains_key(&part.chain));
        kept.map(|part| part.tokens).sum()
    }

    /// Returns how many leading parts of a prompt are probably cached.
    pub fn kept_part_count(&self, chains: &[u64]) -> usize {
        let kept = chains
            .iter()
            .take_while(|chain| self.used_at_ms.contains_key(chain));
        kept.count()
    }

    /// Records that a prompt was sent to the worker.
    pub fn sent(&mut self, now_ms: u64, parts: &[PromptPart]) {
        for part in parts {
            self.used_at_ms.insert(part.chain, now_ms);
        }
        if self.used_at_ms.len() > PART_MAX_COUNT {
            self.evict_older_half();
        }
    }

    /// Drops all parts, because the worker has lost its cache.
    pub fn clear(&mut self) {
        self.used_at_ms.clear();
    }

    /// Evicts the least recently used half.
    fn evict_older_half(&mut self) {
        let mut times: Vec<u64> = self.used_at_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, &mut median_ms, _) = times.select_nth_unstable(middle);
        self.used_at_ms
            .retain(|_, used_at_ms| *used_at_ms > median_ms);
    }
}
