//! Memory that connections take.

/// Share of the memory above which no connection is added.
const MEMORY_MAX_SHARE: f64 = 0.8;

/// Memory that a connection may take that isn't part of the last sample yet, in bytes.
const CONNECTION_BYTES: u64 = 48 * 1024;

/// Share of a number of connections that once fitted into the memory which may be open although
/// much memory is in use: allocators keep the memory of closed connections for new ones.
const PROVEN_COUNT_SHARE: f64 = 0.75;

/// Number of connections that are open at any use of memory.
const CONNECTION_MIN_COUNT: usize = 128;

/// Memory in use, and how many connections once fitted into it.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryUse {
    max_bytes: f64,
    /// Memory in use, in bytes; `None` if it isn't known, so that it limits nothing.
    resident_bytes: Option<u64>,
    /// Connections taken since the memory was sampled.
    unsampled_count: u64,
    /// Largest number of connections that were seen open within the memory.
    proven_count: usize,
}

impl MemoryUse {
    /// Creates the state of a process that may use this much memory, in bytes.
    pub(super) fn new(memory_bytes: u64) -> Self {
        Self {
            max_bytes: memory_bytes as f64 * MEMORY_MAX_SHARE,
            resident_bytes: None,
            unsampled_count: 0,
            proven_count: CONNECTION_MIN_COUNT,
        }
    }

    /// Whether there is memory for one more connection beside those that are open.
    pub(super) fn has_room(&self, open_count: usize) -> bool {
        let Some(resident_bytes) = self.resident_bytes else {
            return true;
        };
        let used_bytes = resident_bytes + (self.unsampled_count + 1) * CONNECTION_BYTES;
        let proven_count = (self.proven_count as f64 * PROVEN_COUNT_SHARE) as usize;
        (used_bytes as f64) <= self.max_bytes || open_count < proven_count
    }

    /// Records that a connection is taken.
    pub(super) fn connection_taken(&mut self) {
        self.unsampled_count += 1;
    }

    /// Records how much memory is in use with this many open connections, in bytes.
    pub(super) fn sample(&mut self, resident_bytes: u64, open_count: usize) {
        self.resident_bytes = Some(resident_bytes);
        self.unsampled_count = 0;
        if resident_bytes as f64 <= self.max_bytes {
            self.proven_count = self.proven_count.max(open_count);
        }
    }
}
