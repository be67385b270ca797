//! Detection of connections whose other end no longer answers.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time without received bytes after which a connection is probed, and between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Breaks a connection whose other end acknowledges neither sent bytes nor keep-alive probes for a
/// time.
///
/// `TCP_USER_TIMEOUT` alone covers unacknowledged bytes only, and keep-alive probes alone covers
/// idle connections only. If both are set, the user timeout also decides when probes give up,
/// whatever their number, so the two are set together.
pub fn break_when_silent(stream: &TcpStream, silent_max_ms: u64) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(silent_max_ms)))
}
