//! An entry instance as a whole: start, graceful shutdown, termination.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use slog::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use xtra::Address;
use xtra::Mailbox;

use crate::callers;
use crate::config_sync;
use crate::control_actor;
use crate::control_actor::ControlActor;
use crate::discovery;
use crate::dispatch_actor;
use crate::dispatch_actor::DispatchActor;
use crate::log;
use crate::operators;
use crate::peers::bodies;
use crate::peers::digests;
use crate::settings::Settings;
use crate::shared::Shared;
use cranereach_core::dispatch::DispatchOptions;
use cranereach_core::drain::Phase;
use cranereach_core::order;
use cranereach_core::overload::admission::Resources;
use cranereach_core::route;
use cranereach_http::clock::Clock;
use cranereach_http::intake::Intake;
use cranereach_http::server;
use cranereach_http::server::ServeOptions;
use cranereach_http::system;

/// Time between two ticks of the dispatcher, in milliseconds.
const DISPATCH_TICK_INTERVAL_MS: u64 = 20;

/// Time between two checks of a graceful shutdown's progress, in milliseconds.
const DRAIN_CHECK_INTERVAL_MS: u64 = 50;

/// Attempts to find a port number that is free for both UDP and TCP.
const PORT_ATTEMPTS: u32 = 32;

/// Reason why an instance could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Binding a listen address failed.
    #[error("can't listen on {address} ({key}): {source}")]
    Listen {
        /// Settings key of the address.
        key: &'static str,
        /// Address that could not be bound.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// Callers' API.
    pub callers: SocketAddr,
    /// Operators' API, health and metrics.
    pub operators: SocketAddr,
    /// Peer traffic, UDP and TCP.
    pub peers: SocketAddr,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    addresses: Addresses,
    stop_sender: watch::Sender<bool>,
    server_task: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Entry {
    /// Starts an instance.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let callers = listen("listen.callers", &settings.listen.callers).await?;
        let operators = listen("listen.operators", &settings.listen.operators).await?;
        let (bodies, digests) = bind_peers(&settings.listen.peers).await?;
        let addresses = Addresses {
            callers: local_address("listen.callers", &callers)?,
            operators: local_address("listen.operators", &operators)?,
            peers: local_address("listen.peers", &bodies)?,
        };
        let log = log::new_logger(settings.instance.id.as_str(), settings.log.level);
        let (dispatcher, dispatch_mailbox) = Mailbox::unbounded();
        let shared = Arc::new(Shared::new(settings, log, dispatcher));
        let (stop_sender, stop_receiver) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let actor = DispatchActor::new(Arc::clone(&shared), dispatch_options(&shared));
        tasks.spawn(xtra::run(dispatch_mailbox, actor));
        let control = start_control(&shared, &mut tasks);
        start_background(&shared, &control, &mut tasks, bodies, digests);
        let for_operators = Arc::clone(&shared);
        tasks.spawn(server::serve(
            operators,
            ServeOptions::default(),
            stop_receiver.clone(),
            move |request| operators::answer(Arc::clone(&for_operators), control.clone(), request),
        ));
        let for_callers = Arc::clone(&shared);
        let serve_options = ServeOptions {
            header_within_ms: shared.settings.limits.header_within_ms,
            header_max_bytes: shared.settings.limits.header_max_bytes,
            intake: Some(Arc::new(Intake::new(resources(), Clock::start()))),
        };
        let server_task = server::serve(callers, serve_options, stop_receiver, move |request| {
            callers::handle(Arc::clone(&for_callers), request)
        });
        info!(shared.log, "started"; "callers" => addresses.callers.to_string());
        Ok(Self {
            shared,
            addresses,
            stop_sender,
            server_task: tokio::spawn(server_task),
            tasks,
        })
    }

    /// Returns the addresses on which the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the state shared by all components.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully: reports not ready first, then completes the requests in
    /// flight.
    pub async fn drain(mut self) {
        self.shared.request_drain();
        info!(self.shared.log, "stopping"; "in_flight" => self.shared.in_flight_count());
        while self.shared.phase() == Phase::Unready {
            sleep_ms(DRAIN_CHECK_INTERVAL_MS).await;
        }
        self.stop_sender.send_replace(true);
        while !self.server_task.is_finished() && !self.is_drain_limit_reached() {
            sleep_ms(DRAIN_CHECK_INTERVAL_MS).await;
        }
        info!(self.shared.log, "stopped"; "in_flight" => self.shared.in_flight_count());
        self.tasks.shutdown().await;
    }

    /// Terminates immediately, as a crash would.
    pub async fn kill(mut self) {
        self.server_task.abort();
        self.tasks.shutdown().await;
    }

    /// Whether the time limit of a graceful shutdown is set and has passed.
    fn is_drain_limit_reached(&self) -> bool {
        self.shared.settings.drain.limit_ms.is_some() && self.shared.phase() == Phase::Done
    }
}

/// Returns what the process has for callers' connections. Nothing samples its load, so that only
/// descriptors limit them.
fn resources() -> Resources {
    Resources {
        descriptor_count: system::descriptor_count(),
        memory_bytes: u64::MAX,
        link_bytes_per_s: None,
        delay_target_ms: u64::MAX,
    }
}

/// Returns the options of the dispatcher.
///
/// Unknown policy names have been rejected by [`Settings::check`] before.
fn dispatch_options(shared: &Shared) -> DispatchOptions {
    let policy = &shared.settings.policy;
    DispatchOptions {
        order: order::find(&policy.order).unwrap_or(&order::VIRTUAL_TIME),
        route: route::find(&policy.route).unwrap_or(&route::SAMPLED),
        refuses_early: policy.refuses_early,
        domain: shared.settings.instance.failure_domain.clone(),
        seed: shared.boot_id,
    }
}

/// Starts the control actor.
fn start_control(shared: &Arc<Shared>, tasks: &mut JoinSet<()>) -> Address<ControlActor> {
    let (control, mailbox) = Mailbox::unbounded();
    let actor = ControlActor::new(Arc::clone(shared), control.downgrade());
    tasks.spawn(xtra::run(mailbox, actor));
    let ticked = control.clone();
    tasks.spawn(async move {
        loop {
            sleep_ms(control_actor::TICK_INTERVAL_MS).await;
            // The next tick waits for this one, so that ticks don't pile up when one is slow.
            let _done = ticked.send(control_actor::Tick).await;
        }
    });
    control
}

/// Starts the background tasks.
fn start_background(
    shared: &Arc<Shared>,
    control: &Address<ControlActor>,
    tasks: &mut JoinSet<()>,
    bodies: TcpListener,
    digests: UdpSocket,
) {
    let socket = Arc::new(digests);
    tasks.spawn(config_sync::run(Arc::clone(shared)));
    tasks.spawn(discovery::run(Arc::clone(shared), control.clone()));
    tasks.spawn(bodies::run(Arc::clone(shared), bodies));
    tasks.spawn(digests::send(
        Arc::clone(shared),
        control.clone(),
        Arc::clone(&socket),
    ));
    tasks.spawn(digests::receive(
        Arc::clone(shared),
        control.clone(),
        socket,
    ));
    let ticked = Arc::clone(shared);
    tasks.spawn(async move {
        loop {
            sleep_ms(DISPATCH_TICK_INTERVAL_MS).await;
            let _done = ticked.dispatcher.send(dispatch_actor::Tick).await;
        }
    });
}

/// Binds a TCP listener.
async fn listen(key: &'static str, address: &str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen {
        key,
        address: address.to_owned(),
        source,
    })
}

/// Binds TCP and UDP on the same port.
///
/// With port 0, the port that the system chooses for TCP may be taken for UDP; then
/// another one is tried.
async fn bind_peers(address: &str) -> Result<(TcpListener, UdpSocket), StartError> {
    let key = "listen.peers";
    let mut attempts = 0;
    loop {
        attempts += 1;
        let listener = listen(key, address).await?;
        let port = local_address(key, &listener)?;
        match UdpSocket::bind(port).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(source) if attempts == PORT_ATTEMPTS => {
                return Err(StartError::Listen {
                    key,
                    address: port.to_string(),
                    source,
                });
            }
            Err(_taken) => {}
        }
    }
}

/// Returns the local address of a listener.
fn local_address(key: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen {
        key,
        address: String::new(),
        source,
    })
}

/// Sleeps for a number of milliseconds.
async fn sleep_ms(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
