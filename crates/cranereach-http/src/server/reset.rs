//! Connections that are reset if a body fails whose end only the end of the connection marks.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::intake::TakenConnection;
use crate::meter::Metered;

/// Tells the stream of a connection that it is to end with a reset.
#[derive(Clone, Debug, Default)]
pub(super) struct ResetSignal {
    must_reset: Arc<AtomicBool>,
}

impl ResetSignal {
    /// Requests the reset.
    pub(super) fn set(&self) {
        self.must_reset.store(true, Ordering::Release);
    }

    /// Whether the connection is to end with a reset.
    fn is_set(&self) -> bool {
        self.must_reset.load(Ordering::Acquire)
    }
}

/// Stream of a connection to a caller, which ends with a reset once its signal is set.
#[derive(Debug)]
pub(super) struct ResettableStream {
    stream: Metered<TcpStream>,
    signal: ResetSignal,
    /// Set until the first bytes have been read.
    unread: Option<Arc<TakenConnection>>,
}

impl ResettableStream {
    /// Creates the stream of a connection.
    pub(super) fn new(
        stream: Metered<TcpStream>,
        signal: &ResetSignal,
        taken: Option<Arc<TakenConnection>>,
    ) -> Self {
        Self {
            stream,
            signal: signal.clone(),
            unread: taken,
        }
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.signal.is_set() {
            // If this fails, the caller sees an orderly close.
            let _set = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if !buf.filled().is_empty()
            && let Some(taken) = this.unread.take()
        {
            taken.note_first_read();
        }
        polled
    }
}

impl AsyncWrite for ResettableStream {
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
        let this = self.get_mut();
        if this.signal.is_set() {
            // A shutdown would look like the end of the body.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}
