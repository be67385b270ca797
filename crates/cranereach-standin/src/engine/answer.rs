//! Completion requests to the engine stand-in: waiting for a slot, prefill, generation.

mod run_guard;

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::Sleep;

use self::run_guard::RunGuard;
use crate::engine::state::EngineState;
use crate::lock;
use cranereach_http::body;
use cranereach_http::server::Closed;
use cranereach_wire::upstream::NOT_RUN_HEADER;
use cranereach_wire::upstream::NOT_RUN_NOT_RESIDENT;
use cranereach_wire::upstream::REQUEST_HEADER;

/// Tokens to generate if the request sets no maximum.
const DEFAULT_TOKENS: u32 = 16;

/// Length of the prompt prefix that is the key of the prefix cache, in characters. The response
/// echoes the same number of characters from the end of the prompt.
const PREFIX_CHARS: usize = 64;

/// Fields of a completion request that the engine uses.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// Response body of an engine.
#[derive(Debug)]
pub struct EngineBody {
    kind: BodyKind,
}

/// Complete body, or one that is generated token by token.
#[derive(Debug)]
enum BodyKind {
    Buffered(Full<Bytes>),
    Stream(Box<Generation>),
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// With the event that ends a complete stream.
    Marker,
    /// Before that event, with a token that has its text.
    MarkerText,
    /// Inside that event.
    CutMarker,
}

/// A streamed response that is being generated.
#[derive(Debug)]
struct Generation {
    run: RunGuard,
    request_id: String,
    echo: String,
    next_index: u32,
    total_count: u32,
    break_after_count: Option<u32>,
    ending: Ending,
    token_timer: Pin<Box<Sleep>>,
}

impl EngineBody {
    /// Wraps a complete body.
    pub(crate) fn full(body: Full<Bytes>) -> Self {
        Self {
            kind: BodyKind::Buffered(body),
        }
    }
}

/// Handles one completion request.
pub(crate) async fn complete(
    state: Arc<EngineState>,
    headers: &HeaderMap,
    bytes: &Bytes,
) -> Result<Response<EngineBody>, Closed> {
    let Ok(completion) = serde_json::from_slice::<Completion>(bytes) else {
        return Ok(body::json(400, &json!({ "error": "not a completion" })).map(EngineBody::full));
    };
    if state.consume_fault(|faults| &mut faults.refuse_count) {
        return Ok(not_run("busy"));
    }
    let Some(mut run) = RunGuard::begin(&state, &completion.model) else {
        return Ok(not_run(NOT_RUN_NOT_RESIDENT));
    };
    run.acquire_slot().await;
    let prompt = completion.text();
    run.prefill(&prompt).await;
    lock(&state.counts).run_count += 1;
    if state.consume_fault(|faults| &mut faults.close_unanswered_count) {
        return Err(Closed);
    }
    if state.consume_fault(|faults| &mut faults.garble_count) {
        run.is_done = true;
        return Ok(body::json(200, &json!("not what was asked for")).map(EngineBody::full));
    }
    Ok(respond(
        run,
        &completion,
        &prompt,
        response_request_id(&state, headers),
    )
    .await)
}

/// Builds the response, complete or streamed.
async fn respond(
    run: RunGuard,
    completion: &Completion,
    prompt: &str,
    request_id: String,
) -> Response<EngineBody> {
    let total_count = completion.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let echo: String = prompt
        .chars()
        .rev()
        .take(PREFIX_CHARS)
        .collect::<Vec<_>>()
        .into_iter()
        .rev()
        .collect();
    let header = HeaderValue::from_str(&request_id).unwrap_or(HeaderValue::from_static(""));
    let mut answer = if completion.stream {
        stream_response(run, request_id, echo, total_count)
    } else {
        buffered_response(run, &request_id, &echo, total_count).await
    };
    answer.headers_mut().insert(REQUEST_HEADER, header);
    answer
}

/// Builds a streamed response.
fn stream_response(
    run: RunGuard,
    request_id: String,
    echo: String,
    total_count: u32,
) -> Response<EngineBody> {
    let break_after_count = run
        .state
        .consume_fault(|faults| &mut faults.break_stream_count)
        .then_some(2);
    let ending = if run
        .state
        .consume_fault(|faults| &mut faults.marker_text_count)
    {
        Ending::MarkerText
    } else if run
        .state
        .consume_fault(|faults| &mut faults.cut_marker_count)
    {
        Ending::CutMarker
    } else {
        Ending::Marker
    };
    let token_timer = Box::pin(tokio::time::sleep(run.token_time()));
    let generation = Generation {
        run,
        request_id,
        echo,
        next_index: 0,
        total_count,
        break_after_count,
        ending,
        token_timer,
    };
    let mut answer = Response::new(EngineBody {
        kind: BodyKind::Stream(Box::new(generation)),
    });
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

/// Generates all tokens and builds a complete response.
async fn buffered_response(
    mut run: RunGuard,
    request_id: &str,
    echo: &str,
    total_count: u32,
) -> Response<EngineBody> {
    tokio::time::sleep(run.token_time() * total_count).await;
    lock(&run.state.counts).token_count += u64::from(total_count);
    run.is_done = true;
    let text = json!({
        "id": request_id,
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": echo }, "finish_reason": "stop" }],
        "usage": { "completion_tokens": total_count },
    });
    body::json(200, &text).map(EngineBody::full)
}

/// Builds a response that marks the request as not run.
fn not_run(reason: &'static str) -> Response<EngineBody> {
    let mut answer = body::json(503, &json!({ "error": reason })).map(EngineBody::full);
    answer
        .headers_mut()
        .insert(NOT_RUN_HEADER, HeaderValue::from_static(reason));
    answer
}

/// Returns the request ID for the response; a wrong one if that fault is injected.
fn response_request_id(state: &EngineState, headers: &HeaderMap) -> String {
    if state.consume_fault(|faults| &mut faults.wrong_request_count) {
        return "another-request".to_owned();
    }
    headers
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

impl Completion {
    /// Returns the prompt and the contents of all messages as one text.
    fn text(&self) -> String {
        let mut text = self.prompt.clone();
        for message in &self.messages {
            text.push_str(&message.content);
        }
        text
    }
}

impl Generation {
    /// Returns the next event of the stream, or `None` at the end.
    fn next_event(&mut self) -> Option<Bytes> {
        let index = self.next_index;
        self.next_index += 1;
        if index < self.total_count {
            let content = match index {
                0 => self.echo.clone(),
                1 if self.ending == Ending::MarkerText => {
                    // The text comes as late in the event as an engine may put it.
                    let id = json!(self.request_id);
                    let choices = json!([{ "delta": { "content": "[DONE]" } }]);
                    let event = format!("data: {{\"id\":{id},\"choices\":{choices}}}\n\n");
                    return Some(Bytes::from(event));
                }
                2 if self.ending == Ending::MarkerText => return None,
                index => format!(" t{index}"),
            };
            let event = json!({ "id": self.request_id, "choices": [{ "index": 0, "delta": { "content": content } }] });
            return Some(Bytes::from(format!("data: {event}\n\n")));
        }
        if index == self.total_count {
            self.run.is_done = true;
            lock(&self.run.state.counts).token_count += u64::from(self.total_count);
            let event: &[u8] = match self.ending {
                Ending::CutMarker => b"data: [DONE]\n",
                Ending::Marker | Ending::MarkerText => b"data: [DONE]\n\n",
            };
            return Some(Bytes::from_static(event));
        }
        None
    }
}

/// Error that ends a stream because of an injected fault.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("stream broken by an injected fault")]
pub struct InjectedBreak;

impl From<Infallible> for InjectedBreak {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for EngineBody {
    type Data = Bytes;
    type Error = InjectedBreak;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, InjectedBreak>>> {
        let generation = match &mut self.kind {
            BodyKind::Buffered(body) => {
                return Pin::new(body).poll_frame(cx).map_err(InjectedBreak::from);
            }
            BodyKind::Stream(generation) => generation,
        };
        let token_time = generation.run.token_time();
        if !token_time.is_zero() && generation.next_index < generation.total_count {
            std::task::ready!(generation.token_timer.as_mut().poll(cx));
            generation
                .token_timer
                .as_mut()
                .reset(Instant::now() + token_time);
        }
        if generation.break_after_count == Some(generation.next_index) {
            return Poll::Ready(Some(Err(InjectedBreak)));
        }
        Poll::Ready(generation.next_event().map(|event| Ok(Frame::data(event))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            BodyKind::Buffered(body) => body.is_end_stream(),
            BodyKind::Stream(generation) => generation.next_index > generation.total_count,
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.kind {
            BodyKind::Buffered(body) => body.size_hint(),
            BodyKind::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}
