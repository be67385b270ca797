//! Counts of the connections of a process and of the bytes that pass through them.

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

use crate::head_limit::HeadBudget;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A caller.
    Callers,
    /// A worker, or a peer that relays to one.
    Workers,
    /// A peer.
    Peers,
    /// The platform's store.
    Store,
}

impl Side {
    /// All sides, in the order of their counts.
    pub const ALL: [Self; 4] = [Self::Callers, Self::Workers, Self::Peers, Self::Store];

    /// Returns the metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Workers => "workers",
            Self::Peers => "peers",
            Self::Store => "store",
        }
    }
}

/// Counts of all metered connections.
///
/// ```
/// use cranereach_http::meter::Meter;
///
/// let meter = Meter::default();
/// meter.add_sent(100);
/// meter.add_received(20);
/// assert_eq!((meter.sent_bytes(), meter.received_bytes()), (100, 20));
/// ```
#[derive(Debug, Default)]
pub struct Meter {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    open_counts: [AtomicU64; 4],
}

impl Meter {
    /// Counts bytes that are sent.
    pub fn add_sent(&self, byte_count: usize) {
        self.sent_bytes
            .fetch_add(byte_count as u64, Ordering::Relaxed);
    }

    /// Counts bytes that were received.
    pub fn add_received(&self, byte_count: usize) {
        self.received_bytes
            .fetch_add(byte_count as u64, Ordering::Relaxed);
    }

    /// Returns the number of bytes sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections to a side.
    pub fn open_count(&self, side: Side) -> u64 {
        self.open_counts[side as usize].load(Ordering::Relaxed)
    }

    /// Counts a connection to a side as open until the result is dropped.
    pub fn open(self: &Arc<Self>, side: Side) -> OpenConnection {
        self.open_counts[side as usize].fetch_add(1, Ordering::Relaxed);
        OpenConnection {
            meter: Arc::clone(self),
            side,
        }
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    meter: Arc<Meter>,
    side: Side,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.meter.open_counts[self.side as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

/// Stream whose bytes are counted, and which counts as open until it is dropped.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    open: OpenConnection,
    /// Limits what is read, if it is set.
    head_budget: Option<Arc<HeadBudget>>,
}

impl<S> Metered<S> {
    /// Counts a stream as an open connection to a side.
    pub fn new(stream: S, meter: &Arc<Meter>, side: Side) -> Self {
        Self {
            stream,
            open: meter.open(side),
            head_budget: None,
        }
    }

    /// Lets reads fail once more was read than a budget allows.
    #[must_use]
    pub fn with_head_budget(mut self, head_budget: &Arc<HeadBudget>) -> Self {
        self.head_budget = Some(Arc::clone(head_budget));
        self
    }

    /// Returns the stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Counts what a write has sent.
    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(byte_count)) = written {
            self.open.meter.add_sent(*byte_count);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let read_bytes = buf.filled().len() - filled_before;
        this.open.meter.add_received(read_bytes);
        if let Some(head_budget) = &this.head_budget {
            head_budget.take_read(read_bytes)?;
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.note_written(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.note_written(&written);
        written
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
