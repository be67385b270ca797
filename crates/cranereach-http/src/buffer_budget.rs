//! Memory that bodies may use together while they are held in full.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Size up to which a body is held whatever others use, in bytes. Small answers don't wait for
/// large ones to be sent.
const UNSHARED_MAX_BYTES: u64 = 16 * 1024;

/// Memory for bodies that are held in full.
///
/// ```
/// use std::sync::Arc;
///
/// use cranereach_http::buffer_budget::BufferBudget;
///
/// let budget = Arc::new(BufferBudget::new(100_000));
/// let mut large = budget.share();
/// assert!(large.grow(90_000));
/// let mut other = budget.share();
/// assert!(!other.grow(50_000) && other.grow(10_000));
/// drop(large);
/// assert!(other.grow(50_000));
/// ```
#[derive(Debug)]
pub struct BufferBudget {
    max_bytes: u64,
    used_bytes: AtomicU64,
}

impl BufferBudget {
    /// Creates a budget of a number of bytes.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            used_bytes: AtomicU64::new(0),
        }
    }

    /// Begins the share of one body.
    pub fn share(self: &Arc<Self>) -> BufferShare {
        BufferShare {
            budget: Arc::clone(self),
            held_bytes: 0,
        }
    }

    /// Returns the number of bytes that bodies use now.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Acquire)
    }
}

/// What one body uses of a budget, until it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<BufferBudget>,
    held_bytes: u64,
}

impl BufferShare {
    /// Takes memory for further bytes. Returns false if the budget doesn't allow that.
    pub fn grow(&mut self, byte_count: usize) -> bool {
        let byte_count = byte_count as u64;
        let is_small = self.held_bytes + byte_count <= UNSHARED_MAX_BYTES;
        let max_bytes = self.budget.max_bytes;
        let take = |used_bytes: u64| {
            let next_bytes = used_bytes + byte_count;
            (is_small || next_bytes <= max_bytes).then_some(next_bytes)
        };
        let used = &self.budget.used_bytes;
        let is_taken = used.fetch_update(Ordering::AcqRel, Ordering::Acquire, take);
        if is_taken.is_ok() {
            self.held_bytes += byte_count;
        }
        is_taken.is_ok()
    }

    /// Keeps the share for as long as the bytes of its body are in use.
    pub fn bind(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(SharedBytes {
            bytes,
            _share: self,
        })
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let used = &self.budget.used_bytes;
        used.fetch_sub(self.held_bytes, Ordering::AcqRel);
    }
}

/// Bytes of a body with its share.
struct SharedBytes {
    bytes: Bytes,
    _share: BufferShare,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
