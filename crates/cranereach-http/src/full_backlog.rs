//! Listeners that answer no attempt to connect.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;

use socket2::Domain;
use socket2::SockAddr;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

use crate::reserved_address::stop_listening;

/// Number of connections that fill the backlog, more than it holds.
const PENDING_COUNT: usize = 8;

/// Listener whose backlog is full, so that attempts to connect get no response. It stops as soon as
/// it is dropped.
///
/// ```
/// use cranereach_http::full_backlog::FullBacklog;
///
/// let unreachable = FullBacklog::new(([127, 0, 0, 1], 0).into())?;
/// assert_ne!(unreachable.address().port(), 0);
/// # std::io::Result::Ok(())
/// ```
#[derive(Debug)]
pub struct FullBacklog {
    address: SocketAddr,
    listener: Socket,
    _pending: Vec<Socket>,
}

impl FullBacklog {
    /// Listens on an IPv4 address and fills the backlog; port zero stands for any free port.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&SockAddr::from(address))?;
        listener.listen(0)?;
        let bound = listener.local_addr()?;
        let pending = (0..PENDING_COUNT).map(|_| begin_connecting(&bound));
        let pending = pending.collect::<io::Result<_>>()?;
        Ok(Self {
            address: bound.as_socket().ok_or(io::ErrorKind::Unsupported)?,
            listener,
            _pending: pending,
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl AsFd for FullBacklog {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}

impl Drop for FullBacklog {
    fn drop(&mut self) {
        stop_listening(&SockRef::from(&self.listener));
    }
}

/// Begins to connect. The attempt goes on in the background or waits in the backlog; both fill it.
fn begin_connecting(address: &SockAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    let _begun = socket.connect(address);
    Ok(socket)
}
