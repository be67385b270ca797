//! Addresses that are kept from being given to others, whether they are listened on or not.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

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
/// assert_eq!(reserved.listen()?.local_addr()?, reserved.address());
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
    pub fn listen(&self) -> io::Result<TcpListener> {
        bind_shared(self.address)?.listen(BACKLOG)
    }
}

/// Binds a socket to an address that other such sockets may be bound to.
fn bind_shared(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
