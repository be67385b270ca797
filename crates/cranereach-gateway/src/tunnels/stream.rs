//! The asking instance's end of a tunnel.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use prometheus::IntCounter;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Size of the header of a frame, in bytes: the length of its content.
pub(super) const FRAME_HEADER_BYTES: usize = 2;

/// Byte stream to a worker through a peer. Writes pass unchanged; reads take the worker's bytes out
/// of their frames.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    sent_bytes: IntCounter,
    header: [u8; FRAME_HEADER_BYTES],
    header_length: usize,
    /// Bytes of the current frame that have not been read yet.
    frame_remaining: usize,
    /// Whether the worker has closed its side.
    has_ended: bool,
}

impl TunnelStream {
    /// Creates the stream of a tunnel that is open. Sent bytes are added to a counter.
    pub fn new(stream: TcpStream, sent_bytes: IntCounter) -> Self {
        Self {
            stream,
            sent_bytes,
            header: [0; FRAME_HEADER_BYTES],
            header_length: 0,
            frame_remaining: 0,
            has_ended: false,
        }
    }

    /// Reads up to the length of `target`. The end of the connection is an error, since the end of
    /// the worker's bytes is an empty frame.
    fn poll_read_some(
        &mut self,
        cx: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(target);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
        Poll::Ready(match buffer.filled().len() {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            length => Ok(length),
        })
    }

    /// Reads the header of the next frame.
    fn poll_header(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.header_length < FRAME_HEADER_BYTES {
            let mut header = self.header;
            let rest = &mut header[self.header_length..];
            let length = ready!(self.poll_read_some(cx, rest))?;
            self.header = header;
            self.header_length += length;
        }
        self.header_length = 0;
        self.frame_remaining = usize::from(u16::from_be_bytes(self.header));
        self.has_ended = self.frame_remaining == 0;
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        while this.frame_remaining == 0 && !this.has_ended {
            ready!(this.poll_header(cx))?;
        }
        if this.has_ended {
            return Poll::Ready(Ok(()));
        }
        let count = this.frame_remaining.min(buf.remaining());
        let target = buf.initialize_unfilled_to(count);
        let length = ready!(this.poll_read_some(cx, target))?;
        this.frame_remaining -= length;
        buf.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let length = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        this.sent_bytes.inc_by(length as u64);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
