//! Loopback addresses and free ports of a run.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

/// Last number of the address of the first gateway's links.
const FIRST_LINK_IP: usize = 100;

/// Number of attempts to find a port that is free on all addresses.
const PORT_TRIES: usize = 20;

/// No free port was found.
#[derive(Debug, Error)]
#[error("no free port found on {ip}: {source}")]
pub struct PortError {
    /// IP address, or several.
    pub ip: String,
    /// Underlying error.
    pub source: io::Error,
}

/// Returns a loopback address of this run. Each run has its own, so that concurrent runs don't
/// collide.
pub fn loopback_ip(last: usize) -> Ipv4Addr {
    let id = std::process::id();
    let [second, third] = [64 + (id >> 8) % 128, id % 256].map(|part| part as u8);
    Ipv4Addr::new(127, second, third, last as u8)
}

/// Returns the address of the links that lead from a gateway to the workers.
pub fn link_ip(gateway: usize) -> Ipv4Addr {
    loopback_ip(FIRST_LINK_IP + gateway)
}

/// Finds a port for peers that is free on all addresses, and keeps it bound.
pub async fn reserve_peer_port(ips: &[String]) -> Result<(u16, Vec<TcpListener>), PortError> {
    let mut last_error = None;
    for _ in 0..PORT_TRIES {
        let (address, listener) = reserve_free_port(&ips[0]).await?;
        drop(listener);
        let port = address.port();
        match reserve_port(ips, port).await {
            Ok(listeners) => return Ok((port, listeners)),
            Err(error) => last_error = Some(error),
        }
    }
    Err(PortError {
        ip: ips.join(", "),
        source: last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()),
    })
}

/// Binds a port on all addresses, if it is free there for both TCP and UDP.
async fn reserve_port(ips: &[String], port: u16) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for ip in ips {
        listeners.push(TcpListener::bind((ip.as_str(), port)).await?);
        UdpSocket::bind((ip.as_str(), port)).await?;
    }
    Ok(listeners)
}

/// Finds a free port, and keeps it bound.
pub async fn reserve_free_port(ip: &str) -> Result<(SocketAddr, TcpListener), PortError> {
    let bound = TcpListener::bind((ip, 0)).await;
    let found = bound.and_then(|listener| Ok((listener.local_addr()?, listener)));
    found.map_err(|source| PortError {
        ip: ip.to_owned(),
        source,
    })
}
