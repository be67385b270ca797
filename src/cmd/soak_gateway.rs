//! `soak-gateway`: runs a gateway instance whose connections to workers lead through the links of a
//! soak test.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use tokio::net::TcpStream;

use super::gateway;
use crate::exit::Exit;
use cranereach_http::connector::Connecting;
use cranereach_http::connector::Connector;

/// Options of `soak-gateway`.
#[derive(Debug, Options)]
pub struct SoakGatewayArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "settings file", meta = "FILE")]
    settings: PathBuf,
    #[options(
        required,
        help = "address of the links, which listen on the ports of the workers",
        meta = "IP"
    )]
    link_ip: String,
}

/// Runs the instance.
pub fn execute(options: &SoakGatewayArguments) -> Exit {
    let Ok(link_ip) = options.link_ip.parse::<IpAddr>() else {
        eprintln!("--link-ip {:?} is no IP address", options.link_ip);
        return Exit::Usage;
    };
    let connector = Connector::new(move |address| connect(address, link_ip));
    match gateway::settings(Some(&options.settings)) {
        Ok(settings) => super::block_on_one_core(gateway::run(settings, connector)),
        Err(exit) => exit,
    }
}

/// Connects to the link that leads to a worker.
fn connect(worker_address: &str, link_ip: IpAddr) -> Connecting {
    let parsed = worker_address.parse::<SocketAddr>();
    Box::pin(async move {
        let worker = parsed.map_err(std::io::Error::other)?;
        TcpStream::connect((link_ip, worker.port())).await
    })
}
