//! Callers, which reuse a connection until the gateway closes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::events::StreamEvents;
use crate::gateways::Gateway;
use crate::journal::Journal;
use crate::record::Answer;
use crate::record::End;
use crate::record::Kind;
use crate::record::RequestRecord;
use crate::schedule::KEYS;
use cranereach_http::body_end::BodyEnd;
use cranereach_http::body_end::BodyPart;
use cranereach_http::body_end::ResponseBody;
use cranereach_platform::requests::HEADERS;
use cranereach_platform::standin::content::SIGNATURE_HEADER;
use cranereach_platform::standin::declared::HOST;
use cranereach_platform::standin::declared::MODELS;

/// Deadline that callers state in their requests, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Deadline that callers state for streams, which take longer, in milliseconds.
const STREAM_DEADLINE_MS: u64 = 5_000;

/// Time after the deadline at which a caller gives up, in milliseconds.
pub const GIVE_UP_DELAY_MS: u64 = 1_000;

/// Time-out for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Range of the pause between two requests of a caller, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 60);

/// Pause after a failed attempt to connect, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 50;

/// First part of all prompts.
const FIRST_PART: &str = "f0";

/// Middle parts that prompts share.
const SHARED_PARTS: [&str; 3] = ["a0", "a1", "a2"];

/// Tokens of a stream as its request announces them: those of the prompt, and the most out.
pub const TOKENS: &str = "10,50";

/// Until when a caller reads an answer.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Time at which it leaves.
    pub until: Instant,
    /// Number of complete events after which it leaves, if any.
    pub event_count: Option<usize>,
}

/// A caller that uses one connection at a time.
#[derive(Debug)]
pub struct Caller {
    number: usize,
    seed: u64,
    rng: StdRng,
    gateways: Vec<Arc<Gateway>>,
    journal: Arc<Journal>,
    sent_count: u64,
}

impl ReadLimits {
    /// Returns whether a body has as many events as the caller reads.
    pub fn is_reached(&self, body: &[u8]) -> bool {
        let has_events = |event_count| {
            let text = String::from_utf8_lossy(body);
            StreamEvents::new(&text).complete().len() >= event_count
        };
        self.event_count.is_some_and(has_events)
    }
}

impl Caller {
    /// Creates a caller whose requests are determined by the seed and its number.
    pub fn new(
        number: usize,
        seed: u64,
        gateways: &[Arc<Gateway>],
        journal: &Arc<Journal>,
    ) -> Self {
        Self {
            number,
            seed,
            rng: StdRng::seed_from_u64(seed ^ (number as u64) << 32),
            gateways: gateways.to_vec(),
            journal: Arc::clone(journal),
            sent_count: 0,
        }
    }

    /// Sends requests until `end_ms`.
    pub async fn run(mut self, end_ms: u64) {
        while self.journal.now_ms() < end_ms {
            let gateway = self.rng.random_range(0..self.gateways.len());
            let gateway = Arc::clone(&self.gateways[gateway]);
            let connected = if gateway.is_in_rotation() {
                connect(gateway.caller_address).await
            } else {
                None
            };
            match connected {
                Some(connection) => self.send_over(gateway.number, connection, end_ms).await,
                None => pause(RECONNECT_DELAY_MS).await,
            }
        }
    }

    /// Sends requests over a connection until it closes or an answer fails.
    async fn send_over(
        &mut self,
        gateway: usize,
        mut connection: SendRequest<Full<Bytes>>,
        end_ms: u64,
    ) {
        while self.journal.now_ms() < end_ms && connection.ready().await.is_ok() {
            let kind = self.draw_kind();
            let key = self.rng.random_range(0..KEYS.len());
            let request = self.request(kind, key);
            let id = self.id();
            let sent_ms = self.journal.now_ms();
            let limit = Duration::from_millis(deadline_ms(kind) + GIVE_UP_DELAY_MS);
            let end = timeout(limit, exchange(&mut connection, request)).await;
            let end = end.unwrap_or(End::GaveUp);
            let is_usable = matches!(&end, End::Answered(answer) if answer.is_whole);
            self.journal.record_request(RequestRecord {
                id,
                kind,
                key,
                gateway,
                sent_ms,
                ended_ms: self.journal.now_ms(),
                end,
                take_up: None,
                is_left: false,
            });
            if !is_usable {
                return;
            }
            pause(self.rng.random_range(PAUSE_MS.0..PAUSE_MS.1)).await;
        }
    }

    /// Returns the ID of the latest request.
    fn id(&self) -> String {
        format!("{:x}-{}-{}", self.seed, self.number, self.sent_count)
    }

    /// Picks the kind of the next request.
    fn draw_kind(&mut self) -> Kind {
        let kinds = [Kind::Once, Kind::Again, Kind::Moved, Kind::Stream];
        kinds[self.rng.random_range(0..kinds.len())]
    }

    /// Builds the next request.
    fn request(&mut self, kind: Kind, key: usize) -> Request<Full<Bytes>> {
        self.sent_count += 1;
        let id = self.id();
        let mut builder = Request::builder()
            .method("POST")
            .uri(format!("/{}/x", kind.route()))
            .header("host", HOST)
            .header("authorization", format!("Bearer {}", KEYS[key]))
            .header(HEADERS.request_id, &id)
            .header(HEADERS.deadline_ms, deadline_ms(kind));
        if kind.is_stream() {
            let model = MODELS[self.rng.random_range(0..MODELS.len())];
            let middle = SHARED_PARTS[self.rng.random_range(0..SHARED_PARTS.len())];
            builder = builder
                .header(HEADERS.model, model)
                .header(HEADERS.tokens, TOKENS)
                .header(HEADERS.prompt_parts, prompt_parts(middle, &id));
        }
        let body = Full::new(Bytes::from(id));
        builder.body(body).expect("request parts are valid")
    }
}

/// Lists the parts of a prompt: the first one, which all prompts share, a middle one, and one of
/// the request `id` alone.
pub fn prompt_parts(middle: &str, id: &str) -> String {
    format!("{FIRST_PART}:4,{middle}:4,{id}:2")
}

/// Sends one request over a connection of its own, and records how it ended.
pub async fn send_single_request(
    gateway: &Gateway,
    journal: &Journal,
    (kind, key): (Kind, usize),
    id: String,
    request: Request<Full<Bytes>>,
) {
    let Some(mut connection) = connect(gateway.caller_address).await else {
        return;
    };
    let sent_ms = journal.now_ms();
    let limit = Duration::from_millis(deadline_ms(kind) + GIVE_UP_DELAY_MS);
    let end = timeout(limit, exchange(&mut connection, request)).await;
    journal.record_request(RequestRecord {
        id,
        kind,
        key,
        gateway: gateway.number,
        sent_ms,
        ended_ms: journal.now_ms(),
        end: end.unwrap_or(End::GaveUp),
        take_up: None,
        is_left: false,
    });
}

/// Returns the deadline that callers state for a kind of request, in milliseconds.
pub fn deadline_ms(kind: Kind) -> u64 {
    match kind {
        Kind::Stream | Kind::Resumable => STREAM_DEADLINE_MS,
        Kind::Once | Kind::Again | Kind::Moved => DEADLINE_MS,
    }
}

/// Opens a connection; returns `None` on an error or time-out.
pub async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The task ends with the connection. Its errors also surface at the request.
    tokio::spawn(connection);
    Some(sender)
}

/// Sends one request and reads as much of the answer as arrives.
pub async fn exchange(
    connection: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> End {
    match connection.send_request(request).await {
        Ok(response) => End::Answered(read_answer(response, None).await),
        Err(_closed) => End::Closed,
    }
}

/// Reads as much of an answer as arrives within the limits.
pub async fn read_answer(response: Response<Incoming>, limits: Option<ReadLimits>) -> Answer {
    let (head, mut incoming) = ResponseBody::wrap(response).into_parts();
    let header = |name: &str| {
        let value = head.headers.get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let mut body = Vec::new();
    let is_whole = loop {
        let part = match limits {
            None => incoming.next_part().await,
            Some(limits) if limits.is_reached(&body) => break false,
            Some(limits) => match timeout_at(limits.until, incoming.next_part()).await {
                Ok(part) => part,
                Err(_elapsed) => break false,
            },
        };
        match part {
            BodyPart::Data(data) => body.extend(data),
            // An end that isn't declared would not show whether the answer is whole.
            BodyPart::End(end) => break end == BodyEnd::Declared,
        }
    };
    Answer {
        status: head.status.as_u16(),
        is_whole,
        request: header(HEADERS.request_id).unwrap_or_default(),
        signature: header(SIGNATURE_HEADER),
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Sleeps for `pause_ms`.
async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
