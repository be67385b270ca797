//! Memory of callers' connections, by their number.

use std::future::pending;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::Point;
use super::Slope;
use super::fit;
use cranereach_http::server;
use cranereach_http::server::Closed;
use cranereach_http::server::ServeOptions;
use cranereach_http::system;

/// Numbers of connections.
const COUNTS: [usize; 4] = [200, 600, 1_000, 2_000];

/// Bytes in a KiB.
const KIB_BYTES: f64 = 1_024.0;

/// Memory that a request takes while it is handled, in bytes: that of a gateway's own future.
const HANDLER_BYTES: usize = 8 * 1024;

/// Path of requests that are answered at once; others are never answered.
const IDLE_PATH: &str = "/idle";

/// Path of requests that are never answered.
const BUSY_PATH: &str = "/busy";

/// Time for which the server settles before its memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Measures the memory of idle and of busy connections. Fails if connections can't be opened.
pub async fn measure() -> io::Result<Vec<Slope>> {
    let (stop, stopping) = watch::channel(false);
    // Those of the first measurement stay open, so that the second one can't use their memory.
    let (idle, _idle_connections) =
        measure_path("memory of idle connections", IDLE_PATH, stopping.clone()).await?;
    let (busy, _busy_connections) =
        measure_path("memory of busy connections", BUSY_PATH, stopping).await?;
    stop.send_replace(true);
    Ok(vec![idle, busy])
}

/// Measures connections that each have had a request for a path. Returns them as well.
async fn measure_path(
    name: &'static str,
    path: &'static str,
    stopping: watch::Receiver<bool>,
) -> io::Result<(Slope, Vec<TcpStream>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let serving = server::serve(listener, ServeOptions::default(), stopping, handle);
    tokio::spawn(serving);
    let before_bytes = system::resident_bytes().unwrap_or_default();
    let mut connections = Vec::new();
    let mut points = Vec::new();
    for count in COUNTS {
        let missing_count = count - connections.len();
        let opened = tokio::task::spawn_blocking(move || open(address, path, missing_count));
        connections.extend(opened.await.map_err(io::Error::other)??);
        tokio::time::sleep(SETTLE_TIME).await;
        let bytes = system::resident_bytes().unwrap_or_default();
        points.push(Point {
            count: count as f64,
            value: bytes.saturating_sub(before_bytes) as f64 / KIB_BYTES,
        });
    }
    Ok((fit(name, "connections", "KiB", points), connections))
}

/// Handles a request.
async fn handle(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Closed> {
    let memory = [1_u8; HANDLER_BYTES];
    if request.uri().path() != IDLE_PATH {
        pending::<()>().await;
    }
    // Read after the wait, so that the memory is held during it.
    let body = Bytes::copy_from_slice(&memory[..1]);
    Ok(Response::new(Full::new(body)))
}

/// Opens connections and sends a request on each; waits for the answers unless there are none.
fn open(address: SocketAddr, path: &str, count: usize) -> io::Result<Vec<TcpStream>> {
    let mut connections = Vec::new();
    for _connection in 0..count {
        let mut stream = TcpStream::connect(address)?;
        write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")?;
        if path == IDLE_PATH {
            // The answer is small and arrives as a whole.
            let _length = stream.read(&mut [0; 512])?;
        }
        connections.push(stream);
    }
    Ok(connections)
}
