//! Tests of the links of a run: how a connection ends behind them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use cranereach_standin::relay::LinkMode;
use cranereach_standin::relay::Relay;

/// What a server sends before it closes the connection.
const SENT: &[u8] = b"beginning";

/// Connects through a relay to a server that sends some bytes, waits until they have arrived and
/// closes the connection, by a reset or in order. Returns what the client reads after the bytes.
async fn read_end(is_reset: bool) -> std::io::Result<usize> {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let any_port = "127.0.0.1:0".parse().unwrap();
    let server_address = server.local_addr().unwrap().to_string();
    let (_relay, address) = Relay::start(any_port, &server_address).unwrap();
    let mut client = TcpStream::connect(address).await.unwrap();
    let (mut accepted, _) = server.accept().await.unwrap();
    accepted.write_all(SENT).await.unwrap();
    let mut read = [0; SENT.len()];
    client.read_exact(&mut read).await.unwrap();
    if is_reset {
        SockRef::from(&accepted)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(accepted);
    client.read(&mut [0]).await
}

/// Guards against links that turn a reset into an orderly close, which hides that a body was cut.
#[tokio::test]
async fn a_reset_passes_as_a_reset_and_an_end_as_an_end() {
    let error = read_end(true).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(read_end(false).await.unwrap(), 0);
}

/// Time after which an attempt to connect counts as unanswered.
const UNANSWERED_AFTER: Duration = Duration::from_millis(300);

/// Pause between two attempts to connect.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Generous timeout of whatever a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Number of relays that refuse connections at once.
const RELAY_COUNT: usize = 50;

/// Number of listeners that are started meanwhile, one after another.
const LISTENER_COUNT: usize = 2_000;

/// Number of processes that are started while a relay changes its mode.
const PROCESS_COUNT: usize = 200;

/// Starts a server that accepts connections and keeps them; returns a relay to it with the address
/// of the relay.
async fn start_relay() -> (Relay, SocketAddr) {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server_address = server.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((mut accepted, _)) = server.accept().await {
            accepted.write_all(SENT).await.unwrap();
            kept.push(accepted);
        }
    });
    let any_port = "127.0.0.1:0".parse().unwrap();
    Relay::start(any_port, &server_address).unwrap()
}

/// Connects, and reads what the server sends.
async fn connect_and_read(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut client = TcpStream::connect(address).await?;
    client.read_exact(&mut [0; SENT.len()]).await?;
    Ok(client)
}

/// Connects until that fails with an error of this kind; connections that are still accepted
/// while the mode changes are dropped.
async fn until_fails_with(address: SocketAddr, kind: ErrorKind) {
    while connect_and_read(address)
        .await
        .err()
        .map(|error| error.kind())
        != Some(kind)
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for what must happen, however slow the machine.
async fn in_time<T>(awaited: impl Future<Output = T>) -> T {
    timeout(WAIT_TIMEOUT, awaited)
        .await
        .expect("it happens in time")
}

/// Connects until that succeeds.
async fn until_served(address: SocketAddr) {
    while !matches!(
        timeout(UNANSWERED_AFTER, connect_and_read(address)).await,
        Ok(Ok(_))
    ) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Connects until the attempt gets no answer.
async fn until_unanswered(address: SocketAddr) {
    while timeout(UNANSWERED_AFTER, connect_and_read(address))
        .await
        .is_ok()
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a path that is cut by refusals or resets looking like a worker that accepts
/// connections, and against one that stays cut.
#[tokio::test]
async fn a_refused_or_reset_path_ends_connections_and_serves_again() {
    for (mode, kind) in [
        (LinkMode::Refused, ErrorKind::ConnectionRefused),
        (LinkMode::Reset, ErrorKind::ConnectionReset),
    ] {
        let (relay, address) = start_relay().await;
        let mut open = connect_and_read(address).await.unwrap();
        relay.set(mode);
        let error = open.read(&mut [0]).await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{mode:?}");
        in_time(until_fails_with(address, kind)).await;
        relay.set(LinkMode::Open);
        in_time(until_served(address)).await;
    }
}

/// Guards against an unreachable path answering attempts to connect, and against open connections
/// ending there.
#[tokio::test]
async fn an_unreachable_path_answers_nothing_and_keeps_connections() {
    let (relay, address) = start_relay().await;
    let mut open = connect_and_read(address).await.unwrap();
    relay.set(LinkMode::Unreachable);
    in_time(until_unanswered(address)).await;
    let read = timeout(UNANSWERED_AFTER, open.read(&mut [0])).await;
    read.unwrap_err();
    relay.set(LinkMode::Open);
    in_time(until_served(address)).await;
}

/// Guards against the address of a relay being given to another listener while it refuses
/// connections: it could not listen again, and its path stayed cut.
#[tokio::test]
async fn the_address_of_a_relay_that_refuses_is_given_to_nobody() {
    let mut relays = Vec::new();
    for _relay in 0..RELAY_COUNT {
        let (relay, address) = start_relay().await;
        relay.set(LinkMode::Refused);
        in_time(until_fails_with(address, ErrorKind::ConnectionRefused)).await;
        relays.push((relay, address));
    }
    for _listener in 0..LISTENER_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        assert!(relays.iter().all(|(_relay, reserved)| *reserved != address));
    }
}

/// Guards against a relay that can't listen again because a process that is being started holds a
/// copy of its socket: its path stayed cut.
#[tokio::test]
async fn a_relay_changes_its_mode_while_processes_start() {
    let (relay, address) = start_relay().await;
    let starting = thread::spawn(|| {
        for _process in 0..PROCESS_COUNT {
            Command::new("true").status().unwrap();
        }
    });
    while !starting.is_finished() {
        for mode in [LinkMode::Unreachable, LinkMode::Open, LinkMode::Refused] {
            relay.set(mode);
            tokio::task::yield_now().await;
        }
    }
    starting.join().unwrap();
    relay.set(LinkMode::Open);
    in_time(until_served(address)).await;
}
