//! Opens the TCP connections of pools.

use std::fmt;
use std::io;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use tokio::net::TcpStream;

/// A connection attempt in progress.
pub type Connecting = BoxFuture<'static, io::Result<TcpStream>>;

/// Function that starts a connection attempt to an address of the form `ip:port`.
type Connect = dyn Fn(&str) -> Connecting + Send + Sync;

/// Opens TCP connections. A replacement can route them elsewhere or make them fail.
///
/// ```
/// use std::io::ErrorKind;
///
/// use cranereach_http::connector::Connector;
///
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let refusing = Connector::new(|_address| Box::pin(async { Err(ErrorKind::ConnectionRefused.into()) }));
/// assert!(refusing.connect("127.0.0.1:80").await.is_err());
/// # });
/// ```
#[derive(Clone)]
pub struct Connector {
    connect: Arc<Connect>,
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connector").finish_non_exhaustive()
    }
}

impl Default for Connector {
    /// Opens connections directly.
    fn default() -> Self {
        Self::new(|address| {
            let address = address.to_owned();
            Box::pin(async move { TcpStream::connect(address).await })
        })
    }
}

impl Connector {
    /// Creates a connector from a function that starts an attempt.
    pub fn new(connect: impl Fn(&str) -> Connecting + Send + Sync + 'static) -> Self {
        Self {
            connect: Arc::new(connect),
        }
    }

    /// Opens a connection to an address of the form `ip:port`.
    pub async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        (self.connect)(address).await
    }
}
