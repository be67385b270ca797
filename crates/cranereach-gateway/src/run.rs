//! Lifecycle of an instance: start, graceful shutdown and immediate stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::body_transfer;
use crate::configuration_sync;
use crate::controller;
use crate::forward;
use crate::gossip;
use crate::list_updates;
use crate::log;
use crate::node::Node;
use crate::node::pause;
use crate::operators;
use crate::overload;
use crate::proofs;
use crate::roster_sync;
use crate::settings::Settings;
use crate::store_era;
use crate::stream_origins;
use crate::traffic;
use crate::worker_paths;
use cranereach_http::connector::Connector;
use cranereach_http::server;
use cranereach_http::server::ServeOptions;

/// Time for which a stopping instance still accepts requests, in milliseconds.
///
/// The platform checks readiness every second and removes an instance after two failed checks.
const ACCEPT_WHILE_STOPPING_MS: u64 = 2_400;

/// Margin between the end of a graceful shutdown and the time at which the process is killed, in
/// milliseconds.
const KILL_MARGIN_MS: u64 = 500;

/// Time for which an idle keep-alive connection of a caller stays open, in milliseconds.
///
/// It is longer than any limit that callers are told, so that no caller's request coincides with
/// the close of its connection.
const CALLER_KEEP_ALIVE_MS: u64 = 90_000;

/// Maximum size of the head of a request, in bytes.
const HEADER_MAX_BYTES: usize = 64 * 1024;

/// Interval at which a graceful shutdown checks whether all requests have ended, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 50;

/// Error that prevents an instance from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address could not be listened on.
    #[error("cannot listen on {address} ({key}): {source}")]
    Listen {
        /// Key of the address in the settings.
        key: &'static str,
        /// Address.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// There is no adapter of the given name.
    #[error("platform.adapter: unknown adapter {0:?}")]
    Adapter(String),
}

/// A running instance.
#[derive(Debug)]
pub struct Gateway {
    node: Arc<Node>,
    addresses: Addresses,
    stopping: watch::Sender<bool>,
    serving: JoinHandle<()>,
    tasks: JoinSet<()>,
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Metrics and other requests of operators.
    pub metrics: SocketAddr,
}

impl Gateway {
    /// Starts an instance.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        Self::start_with(settings, Connector::default()).await
    }

    /// Starts an instance that opens its connections to workers with a connector.
    pub async fn start_with(
        settings: Settings,
        worker_connector: Connector,
    ) -> Result<Self, StartError> {
        let listen = settings.listen.clone();
        // The port for peers is the same on all instances. It is bound before the others, one of
        // which might be drawn from the free ports and be that one.
        let peer_listener = bind("listen.peers", listen.peers).await?;
        let peer_socket = UdpSocket::bind(listen.peers).await;
        let peer_socket = peer_socket.map_err(|source| StartError::Listen {
            key: "listen.peers",
            address: listen.peers,
            source,
        })?;
        let callers = bind("listen.callers", listen.callers).await?;
        let ready = bind("listen.ready", listen.ready).await?;
        let metrics = bind("listen.metrics", listen.metrics).await?;
        let addresses = Addresses {
            callers: callers.local_addr().unwrap_or(listen.callers),
            ready: ready.local_addr().unwrap_or(listen.ready),
            metrics: metrics.local_addr().unwrap_or(listen.metrics),
        };
        let adapter = settings.platform.adapter.clone();
        let log = log::make(&settings.instance.id, settings.log.is_silent);
        let node =
            Node::new(settings, worker_connector, log).ok_or(StartError::Adapter(adapter))?;
        let node = Arc::new(node);
        let (stopping, stop) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let operator_node = Arc::clone(&node);
        let options = ServeOptions::default();
        tasks.spawn(server::serve(
            ready,
            options,
            stop.clone(),
            move |request| operators::answer_ready(&operator_node, &request),
        ));
        let operator_node = Arc::clone(&node);
        let options = ServeOptions::default();
        tasks.spawn(server::serve(
            metrics,
            options,
            stop.clone(),
            move |request| operators::answer(&operator_node, &request),
        ));
        let socket = Arc::new(peer_socket);
        // The cell is still empty: no task that uses it has been started.
        let _first = node.peer_socket.set(Arc::clone(&socket));
        tasks.spawn(gossip::receive(Arc::clone(&node), socket));
        tasks.spawn(list_updates::send(Arc::clone(&node)));
        tasks.spawn(gossip::send_demand(Arc::clone(&node)));
        tasks.spawn(gossip::send(Arc::clone(&node)));
        tasks.spawn(body_transfer::serve(Arc::clone(&node), peer_listener));
        tasks.spawn(configuration_sync::run(Arc::clone(&node)));
        tasks.spawn(proofs::run(Arc::clone(&node)));
        tasks.spawn(roster_sync::run(Arc::clone(&node)));
        tasks.spawn(store_era::run(Arc::clone(&node)));
        tasks.spawn(controller::run(Arc::clone(&node)));
        tasks.spawn(traffic::run(Arc::clone(&node)));
        tasks.spawn(overload::run(Arc::clone(&node)));
        tasks.spawn(worker_paths::run(Arc::clone(&node)));
        tasks.spawn(stream_origins::run(Arc::clone(&node)));
        tasks.spawn(stream_origins::history::run(Arc::clone(&node)));
        let caller_node = Arc::clone(&node);
        let options = ServeOptions {
            header_within_ms: CALLER_KEEP_ALIVE_MS,
            header_max_bytes: HEADER_MAX_BYTES,
            intake: Some(Arc::clone(&node.intake)),
        };
        let serving = server::serve(callers, options, stop, move |request| {
            forward::handle_request(Arc::clone(&caller_node), request)
        });
        info!(node.log, "started"; "callers" => addresses.callers.to_string(),
            "failure_domain" => node.settings.instance.failure_domain.clone(),
            "region" => node.settings.instance.region.clone(), "boot" => node.boot);
        Ok(Self {
            node,
            addresses,
            stopping,
            serving: tokio::spawn(serving),
            tasks,
        })
    }

    /// Returns the state that all tasks of the instance share.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the addresses that the instance listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down gracefully: reports not ready first, then finishes the requests in flight.
    pub async fn drain(mut self) {
        let node = Arc::clone(&self.node);
        let begun_ms = node.now_ms();
        let grace_ms = (node.settings.bounds.grace_s * 1_000.0) as u64;
        let end_by_ms = begun_ms + grace_ms.saturating_sub(KILL_MARGIN_MS);
        node.request_stop();
        info!(node.log, "stopping"; "open" => node.metrics.open_requests.get());
        pause(ACCEPT_WHILE_STOPPING_MS.min(grace_ms / 3)).await;
        self.stopping.send_replace(true);
        let has_work = || !self.serving.is_finished() || node.metrics.paths.tunnels_open.get() > 0;
        while has_work() && node.now_ms() < end_by_ms {
            pause(DRAIN_POLL_INTERVAL_MS).await;
        }
        info!(node.log, "stopped"; "open" => node.metrics.open_requests.get());
        self.tasks.shutdown().await;
    }

    /// Stops at once, as a crash would.
    pub async fn kill(mut self) {
        self.serving.abort();
        self.tasks.shutdown().await;
    }
}

/// Binds a TCP listener to an address.
async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen {
        key,
        address,
        source,
    })
}
