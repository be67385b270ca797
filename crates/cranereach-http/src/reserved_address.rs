//! Addresses that are kept from being given to others, whether they are listened on or not.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;

use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Reserved TCP address. Without a listener, connections to it are refused.
///
/// ```
/// use cranereach_http::reserved_address::ReservedAddress;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let any_port = ([127, 0, 0, 1], 0).into();
/// let reserved = ReservedAddress::new(any_port)?;
/// drop(reserved.listen()?);
/// let _listener = reserved.listen()?;
/// tokio::net::TcpStream::connect(reserved.address()).await?;
/// # std::io::Result::Ok(())
/// # }).unwrap();
/// ```
#[derive(Debug)]
pub struct ReservedAddress {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedAddress {
    /// Reserves an IPv4 address; port zero stands for any free port.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = bind_shared(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the address.
    pub fn listen(&self) -> io::Result<ReservedListener> {
        let listener = bind_shared(self.address)?.listen(BACKLOG)?;
        Ok(ReservedListener { listener })
    }
}

/// Listener on a reserved address that stops as soon as it is dropped.
///
/// Closing the descriptor alone doesn't stop it while a process that is being started holds a copy.
#[derive(Debug)]
pub struct ReservedListener {
    listener: TcpListener,
}

impl ReservedListener {
    /// Accepts the next connection. Nothing is lost if the future is dropped.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        let (connection, _address) = self.listener.accept().await?;
        Ok(connection)
    }
}

impl AsFd for ReservedListener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}

impl Drop for ReservedListener {
    fn drop(&mut self) {
        stop_listening(&SockRef::from(&self.listener));
    }
}

/// Stops a listening socket, whoever else holds a copy of its descriptor.
pub(crate) fn stop_listening(listener: &SockRef<'_>) {
    // The shutdown of a socket that listens doesn't fail; of one that doesn't, nothing is to do.
    let _stopped = listener.shutdown(Shutdown::Both);
}

/// Binds a socket to an address that other such sockets may be bound to.
fn bind_shared(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
