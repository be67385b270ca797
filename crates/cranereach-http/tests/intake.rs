//! Connections that a listener takes, closes and turns away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use cranereach_core::overload::admission::Resources;
use cranereach_core::overload::load::Sample;
use cranereach_http::clock::Clock;
use cranereach_http::intake::Intake;
use cranereach_http::meter::Side;
use cranereach_http::server;
use cranereach_http::server::Closed;
use cranereach_http::server::ServeOptions;

/// Descriptors for two connections, beside those that are set aside.
const TWO_CONNECTIONS: u64 = 12;

/// Generous timeout of a wait.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A time-out, in milliseconds.
const TIMEOUT_MS: u64 = 250;

/// Link of the instances, in bytes a second.
const LINK_BYTES_PER_S: f64 = 1_000.0;

/// A listener with an intake.
struct Instance {
    address: SocketAddr,
    intake: Arc<Intake>,
    clock: Clock,
    /// Answers requests for `/slow`.
    answer_slow: Arc<Notify>,
    _stop: watch::Sender<bool>,
}

impl Instance {
    async fn start(descriptor_count: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let clock = Clock::start();
        let resources = Resources {
            descriptor_count,
            memory_bytes: u64::MAX,
            link_bytes_per_s: Some(LINK_BYTES_PER_S),
            delay_target_ms: 60_000,
        };
        let intake = Arc::new(Intake::new(resources, clock));
        let options = ServeOptions {
            intake: Some(Arc::clone(&intake)),
            ..ServeOptions::default()
        };
        let answer_slow = Arc::new(Notify::new());
        let slow = Arc::clone(&answer_slow);
        let handler = move |request: Request<Incoming>| {
            let slow = Arc::clone(&slow);
            async move {
                if request.uri().path() == "/slow" {
                    slow.notified().await;
                }
                Ok::<_, Closed>(Response::new(Full::new(Bytes::from_static(b"answer"))))
            }
        };
        let (stop, stopping) = watch::channel(false);
        tokio::spawn(server::serve(listener, options, stopping, handler));
        Self {
            address,
            intake,
            clock,
            answer_slow,
            _stop: stop,
        }
    }

    /// Opens a connection and sends a request.
    async fn send(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        request(&mut stream, path).await;
        stream
    }

    /// Waits until as many connections are busy.
    async fn until_busy(&self, count: usize) {
        while self.intake.admission().busy_count() != count {
            tokio::task::yield_now().await;
        }
    }

    /// Whether a time-out that fires now is explained by the instance itself.
    fn explains_time_out(&self) -> bool {
        let since_ms = self.clock.now_ms() - TIMEOUT_MS;
        self.intake.explains(since_ms, TIMEOUT_MS)
    }

    /// Makes the link look overloaded, so that the rate of requests is limited.
    fn overload(&self) {
        let now_ms = self.clock.now_ms();
        let mut admission = self.intake.admission();
        for number in 0..10 {
            admission.sample(Sample {
                at_ms: now_ms + number * 100,
                sent_bytes: number * 1_000,
                ..Sample::default()
            });
        }
        // What accrued over this time is used up.
        while admission.has_room(now_ms) {
            let _verdict = admission.open(now_ms, 0);
        }
    }
}

/// Sends a request on an open connection.
async fn request(stream: &mut TcpStream, path: &str) {
    let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    // A connection that has been closed shows when the answer is read.
    let _written = stream.write_all(text.as_bytes()).await;
}

/// Reads an answer; `None` if the connection is closed before.
async fn answer(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 512];
    while !text.ends_with("answer") {
        let length = stream.read(&mut buffer).await.ok()?;
        if length == 0 {
            return None;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    Some(text)
}

/// Guards against kept connections that nobody uses and that keep others out.
#[tokio::test]
async fn the_connection_that_is_idle_for_longest_gives_way() {
    let instance = Instance::start(TWO_CONNECTIONS).await;
    let mut first = instance.send("/").await;
    assert!(answer(&mut first).await.is_some());
    let mut second = instance.send("/").await;
    assert!(answer(&mut second).await.is_some());
    instance.until_busy(0).await;
    let mut third = instance.send("/").await;
    assert!(answer(&mut third).await.is_some());
    assert_eq!(answer(&mut first).await, None);
    request(&mut second, "/").await;
    assert!(answer(&mut second).await.is_some());
}

/// Guards against requests that are cut off for new connections.
#[tokio::test]
async fn a_connection_with_a_request_is_not_closed_for_another() {
    let instance = Instance::start(TWO_CONNECTIONS).await;
    let mut busy = [instance.send("/slow").await, instance.send("/slow").await];
    instance.until_busy(2).await;
    let mut third = instance.send("/").await;
    assert_eq!(answer(&mut third).await, None);
    instance.answer_slow.notify_waiters();
    for stream in &mut busy {
        assert!(answer(stream).await.is_some());
    }
}

/// Guards against kept connections whose requests can't be turned away: they would stay at an
/// overloaded instance for good.
#[tokio::test]
async fn a_kept_connection_ends_with_its_answer_during_overload() {
    let instance = Instance::start(1_000).await;
    let mut kept = instance.send("/").await;
    let before = answer(&mut kept).await.unwrap();
    assert!(
        !before.to_lowercase().contains("connection: close"),
        "{before}"
    );
    instance.overload();
    let mut turned_away = instance.send("/").await;
    assert_eq!(answer(&mut turned_away).await, None);
    request(&mut kept, "/").await;
    let during = answer(&mut kept).await.unwrap();
    assert!(
        during.to_lowercase().contains("connection: close"),
        "{during}"
    );
    assert_eq!(answer(&mut kept).await, None);
}

/// Guards against connections of HTTP/2, which know no `connection: close`, that stay at an overloaded
/// instance for good.
#[tokio::test]
async fn a_kept_connection_of_http_2_ends_after_its_answer_during_overload() {
    let instance = Instance::start(1_000).await;
    let stream = TcpStream::connect(instance.address).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    let connection = tokio::spawn(connection);
    let before = sender.send_request(http_2_request()).await.unwrap();
    assert_eq!(before.status(), 200);
    drop(before);
    instance.overload();
    let mut turned_away = instance.send("/").await;
    assert_eq!(answer(&mut turned_away).await, None);
    let during = sender.send_request(http_2_request()).await.unwrap();
    let body = during.into_body().collect().await.unwrap();
    assert_eq!(body.to_bytes(), "answer");
    // It ends in order.
    let ended = timeout(WAIT_TIMEOUT, connection).await;
    ended.unwrap().unwrap().unwrap();
}

/// Builds a request of HTTP/2.
fn http_2_request() -> Request<Full<Bytes>> {
    let request = Request::builder().uri("http://x/");
    request.body(Full::new(Bytes::new())).unwrap()
}

/// Guards against silent workers that go unnoticed for as long as callers are turned away for lack of
/// descriptors, although neither the link nor the processor is overloaded.
#[tokio::test]
async fn times_are_evidence_while_only_descriptors_are_short() {
    let instance = Instance::start(TWO_CONNECTIONS).await;
    let _busy = [instance.send("/slow").await, instance.send("/slow").await];
    instance.until_busy(2).await;
    let mut third = instance.send("/").await;
    assert_eq!(answer(&mut third).await, None);
    let runtime = Handle::current().metrics();
    instance.intake.sample(&runtime, 0, None);
    assert!(!instance.explains_time_out());
}

/// Guards against workers that count as silent while bytes of callers that are turned away fill the
/// link uncounted.
#[tokio::test]
async fn times_are_no_evidence_while_callers_are_turned_away_for_the_link() {
    let instance = Instance::start(1_000).await;
    instance.overload();
    let mut turned_away = instance.send("/").await;
    assert_eq!(answer(&mut turned_away).await, None);
    let runtime = Handle::current().metrics();
    instance.intake.sample(&runtime, 0, None);
    assert!(instance.explains_time_out());
}

#[tokio::test]
async fn closed_connections_are_not_counted() {
    let instance = Instance::start(1_000).await;
    let mut stream = instance.send("/").await;
    assert!(answer(&mut stream).await.is_some());
    assert_eq!(instance.intake.meter().open_count(Side::Callers), 1);
    assert!(instance.intake.meter().received_bytes() > 0);
    drop(stream);
    while instance.intake.meter().open_count(Side::Callers) > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(instance.intake.admission().open_count(), 0);
}
