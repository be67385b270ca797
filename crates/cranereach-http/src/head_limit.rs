//! Limit of the bytes that an upstream sends before the head of its answer is complete.
//!
//! An answer may be preceded by any number of interim responses, which are read and dropped. An
//! upstream that sends them without end would keep its connection busy until the call's deadline.

use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Maximum number of bytes that are read until the head of an answer is complete: several times the
/// largest head and what may follow it in the same read.
pub const HEAD_MAX_BYTES: u64 = 128 * 1024;

/// Number of bytes that may still be read on a connection; [`u64::MAX`] while none are counted.
#[derive(Debug)]
pub struct HeadBudget {
    remaining_bytes: AtomicU64,
}

impl Default for HeadBudget {
    fn default() -> Self {
        Self {
            remaining_bytes: AtomicU64::new(u64::MAX),
        }
    }
}

impl HeadBudget {
    /// Starts to count: a request is sent.
    ///
    /// ```
    /// use cranereach_http::head_limit::{HEAD_MAX_BYTES, HeadBudget};
    ///
    /// let budget = HeadBudget::default();
    /// assert!(budget.take(HEAD_MAX_BYTES + 1));
    /// budget.begin();
    /// assert!(budget.take(HEAD_MAX_BYTES));
    /// assert!(!budget.take(1));
    /// budget.end();
    /// assert!(budget.take(1));
    /// ```
    pub fn begin(&self) {
        self.remaining_bytes
            .store(HEAD_MAX_BYTES, Ordering::Release);
    }

    /// Stops counting: the head of the answer is complete.
    pub fn end(&self) {
        self.remaining_bytes.store(u64::MAX, Ordering::Release);
    }

    /// Takes bytes that were read; fails if they are too many.
    pub(crate) fn take_read(&self, byte_count: usize) -> io::Result<()> {
        if self.take(byte_count as u64) {
            return Ok(());
        }
        let error = "too many bytes before the head of an answer";
        Err(io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Takes bytes that were read. Returns false if they are too many.
    pub fn take(&self, byte_count: u64) -> bool {
        let take = |remaining: u64| match remaining {
            u64::MAX => Some(u64::MAX),
            remaining => remaining.checked_sub(byte_count),
        };
        let taken = self
            .remaining_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take);
        taken.is_ok()
    }
}
