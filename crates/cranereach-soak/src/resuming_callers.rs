//! Callers whose streams may be resumed. They take a stream that broke off up again by a new
//! request, some of them at another gateway, and break some streams off themselves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::callers::GIVE_UP_DELAY_MS;
use crate::callers::ReadLimits;
use crate::callers::TOKENS;
use crate::callers::connect;
use crate::callers::deadline_ms;
use crate::callers::read_answer;
use crate::events::StreamEvents;
use crate::faults::TestBed;
use crate::faults::pause;
use crate::gateways::Gateway;
use crate::record::Answer;
use crate::record::End;
use crate::record::Kind;
use crate::record::RequestRecord;
use crate::record::TakeUp;
use crate::schedule::KEYS;
use cranereach_platform::requests::HEADERS;
use cranereach_platform::standin::content::EVENT_COUNT;
use cranereach_platform::standin::declared::HOST;
use cranereach_platform::standin::declared::MODELS;

/// Mixed into the seed, so that these random draws are independent of others in the run.
const SEED_SALT: u64 = 0x7265_7375_6d65;

/// Maximum number of requests for one stream.
const TRY_MAX_COUNT: usize = 5;

/// Share of the streams that the caller itself breaks off after some events, as a failure of its
/// own link would.
const LEFT_SHARE: f64 = 0.4;

/// Share of the take-ups that go to any gateway instead of the one before.
const ELSEWHERE_SHARE: f64 = 0.5;

/// Range of the pause before a further request, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 300);

/// A caller that asks for one stream at a time.
#[derive(Debug)]
pub struct ResumingCaller {
    number: usize,
    seed: u64,
    rng: StdRng,
    test_bed: Arc<TestBed>,
    sent_count: u64,
}

/// A stream as far as its caller has it.
#[derive(Debug)]
struct PartialStream {
    key: usize,
    model: &'static str,
    /// Request that brought the first event, and version of the worker that wrote it.
    origin: Option<(String, String)>,
    event_count: usize,
}

impl ResumingCaller {
    /// Creates a caller whose requests are determined by the seed and its number.
    pub fn new(number: usize, seed: u64, test_bed: &Arc<TestBed>) -> Self {
        Self {
            number,
            seed,
            rng: StdRng::seed_from_u64(seed ^ SEED_SALT ^ (number as u64) << 32),
            test_bed: Arc::clone(test_bed),
            sent_count: 0,
        }
    }

    /// Asks for streams until `end_ms`.
    pub async fn run(mut self, end_ms: u64) {
        while self.test_bed.journal.now_ms() < end_ms {
            self.ask_for_stream(end_ms).await;
            pause(self.rng.random_range(PAUSE_MS.0..PAUSE_MS.1)).await;
        }
    }

    /// Asks for a stream, and takes it up while it is incomplete.
    async fn ask_for_stream(&mut self, end_ms: u64) {
        let mut stream = PartialStream {
            key: self.rng.random_range(0..KEYS.len()),
            model: MODELS[self.rng.random_range(0..MODELS.len())],
            origin: None,
            event_count: 0,
        };
        let mut gateway = self.draw_gateway();
        for _ in 0..TRY_MAX_COUNT {
            let is_complete = self.ask(&gateway, &mut stream).await;
            // A stream without an event can't be taken up.
            let is_over = is_complete || stream.origin.is_none();
            if is_over || self.test_bed.journal.now_ms() >= end_ms {
                return;
            }
            pause(self.rng.random_range(PAUSE_MS.0..PAUSE_MS.1)).await;
            if self.rng.random_bool(ELSEWHERE_SHARE) || !gateway.is_in_rotation() {
                gateway = self.draw_gateway();
            }
        }
    }

    /// Sends a request for what is missing of a stream, and records it. Returns whether the stream
    /// is complete.
    async fn ask(&mut self, gateway: &Gateway, stream: &mut PartialStream) -> bool {
        let Some(mut connection) = connect(gateway.caller_address).await else {
            return false;
        };
        self.sent_count += 1;
        let id = format!("{:x}-r{}-{}", self.seed, self.number, self.sent_count);
        let take_up = self.take_up(stream);
        let limits = self.draw_limits(take_up.is_none());
        let test_bed = Arc::clone(&self.test_bed);
        let sent_ms = test_bed.journal.now_ms();
        let sending = connection.send_request(request(&id, stream, take_up.as_ref()));
        let end = match timeout_at(limits.until, sending).await {
            Ok(Ok(response)) => End::Answered(read_answer(response, Some(limits)).await),
            Ok(Err(_closed)) => End::Closed,
            Err(_elapsed) => End::GaveUp,
        };
        let is_complete = match &end {
            End::Answered(answer) => stream.add(&id, answer),
            End::Closed | End::GaveUp => false,
        };
        let serving_count_after = self.serving_count(stream);
        test_bed.journal.record_request(RequestRecord {
            id,
            kind: Kind::Resumable,
            key: stream.key,
            gateway: gateway.number,
            sent_ms,
            ended_ms: test_bed.journal.now_ms(),
            is_left: has_left(&end, limits),
            end,
            take_up: take_up.map(|take_up| TakeUp {
                serving_count: take_up.serving_count.min(serving_count_after),
                ..take_up
            }),
        });
        is_complete
    }

    /// Returns what the next request for a stream states, if it takes the stream up.
    fn take_up(&self, stream: &PartialStream) -> Option<TakeUp> {
        let (first_id, _version) = stream.origin.as_ref()?;
        Some(TakeUp {
            first_id: first_id.clone(),
            last_event: stream.event_count.checked_sub(1)?,
            serving_count: self.serving_count(stream),
        })
    }

    /// Returns how many workers can go on with a stream.
    fn serving_count(&self, stream: &PartialStream) -> usize {
        let origin = stream.origin.as_ref();
        origin.map_or(0, |(_id, version)| {
            self.test_bed.back_ends.serving_count(version, stream.model)
        })
    }

    /// Draws until when the caller reads an answer.
    fn draw_limits(&mut self, is_first: bool) -> ReadLimits {
        let for_ms = deadline_ms(Kind::Resumable) + GIVE_UP_DELAY_MS;
        let is_left = self.rng.random_bool(LEFT_SHARE);
        let event_count = self.rng.random_range(1..EVENT_COUNT);
        ReadLimits {
            until: Instant::now() + Duration::from_millis(for_ms),
            event_count: (is_first && is_left).then_some(event_count),
        }
    }

    /// Picks a gateway, one in rotation if there is any.
    fn draw_gateway(&mut self) -> Arc<Gateway> {
        let gateways = &self.test_bed.gateways;
        let in_rotation: Vec<_> = gateways
            .iter()
            .filter(|gateway| gateway.is_in_rotation())
            .collect();
        match in_rotation.len() {
            0 => Arc::clone(&gateways[self.rng.random_range(0..gateways.len())]),
            count => Arc::clone(in_rotation[self.rng.random_range(0..count)]),
        }
    }
}

impl PartialStream {
    /// Adds the events of an answer. Returns whether the stream is complete.
    fn add(&mut self, id: &str, answer: &Answer) -> bool {
        if answer.status != 200 {
            return false;
        }
        let split = StreamEvents::new(&answer.body);
        let events = split.complete();
        if let (None, Some(first)) = (&self.origin, events.first()) {
            self.origin = Some((id.to_owned(), first.version.to_owned()));
        }
        if let Some(last) = events.last() {
            self.event_count = last.number + 1;
        }
        answer.is_whole
    }
}

/// Returns whether the caller left before the end of an answer.
fn has_left(end: &End, limits: ReadLimits) -> bool {
    match end {
        End::Answered(answer) => {
            let is_late = Instant::now() >= limits.until;
            !answer.is_whole && (is_late || limits.is_reached(answer.body.as_bytes()))
        }
        End::Closed => false,
        End::GaveUp => true,
    }
}

/// Builds a request for what is missing of a stream.
fn request(id: &str, stream: &PartialStream, take_up: Option<&TakeUp>) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(format!("/{}/x", Kind::Resumable.route()))
        .header("host", HOST)
        .header("authorization", format!("Bearer {}", KEYS[stream.key]))
        .header(HEADERS.request_id, id)
        .header(HEADERS.deadline_ms, deadline_ms(Kind::Resumable))
        .header(HEADERS.model, stream.model)
        .header(HEADERS.tokens, TOKENS);
    if let Some(take_up) = take_up {
        builder = builder
            .header(HEADERS.last_event, take_up.last_event)
            .header(HEADERS.resumed_request, &take_up.first_id);
    }
    let body = Full::new(Bytes::from(id.to_owned()));
    builder.body(body).expect("request parts are valid")
}
