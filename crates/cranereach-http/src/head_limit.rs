//! Limit of the bytes that an upstream sends before the head of its answer is complete.
//!
//! An answer may be preceded by any number of interim responses, which are read and dropped. An
//! upstream that sends them without end would keep its connection busy until the call's deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

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

/// Stream whose reads fail once more was read than its budget allows.
#[derive(Debug)]
pub struct HeadLimited<S> {
    stream: S,
    budget: Arc<HeadBudget>,
}

impl<S> HeadLimited<S> {
    /// Limits a stream by a budget.
    pub fn new(stream: S, budget: &Arc<HeadBudget>) -> Self {
        Self {
            stream,
            budget: Arc::clone(budget),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let read_bytes = (buf.filled().len() - filled_before) as u64;
        if !this.budget.take(read_bytes) {
            let error = "too many bytes before the head of an answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
