//! Sends a job to an upstream, retries where that is allowed, and returns the response.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;

use super::RequestContext;
use super::ResponseBody;
use super::dispatch_guard::DispatchGuard;
use super::error_response::Refusal;
use super::job::BodyKind;
use super::job::Job;
use super::job::forwarded_headers;
use super::record::RequestRecord;
use super::streamed_response::StreamedResponse;
use crate::control_actor::notify;
use crate::dispatch_actor::NotResident;
use crate::dispatch_actor::RouteDecision;
use crate::dispatch_actor::WorkerUnreachable;
use crate::shared::Shared;
use crate::shared::lock;
use crate::upstream::UpstreamRequestBody;
use cranereach_core::attempt::Attempt;
use cranereach_core::attempt::Event;
use cranereach_core::attempt::Verdict;
use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::Repeatable;
use cranereach_core::names::WorkerId;
use cranereach_http::body::BodyError;
use cranereach_http::body_end::BodyPart;
use cranereach_http::body_end::ResponseBody as UpstreamBody;
use cranereach_http::content::Content;
use cranereach_http::pool::Connection;
use cranereach_http::pool::SendError;
use cranereach_wire::upstream::NOT_RUN_HEADER;
use cranereach_wire::upstream::NOT_RUN_NOT_RESIDENT;
use cranereach_wire::upstream::REQUEST_HEADER;

/// Largest response that is buffered in full before it is forwarded, in bytes.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// State of one request over all its attempts at upstreams.
struct Exchange<'a> {
    context: &'a RequestContext,
    job: &'a mut Job,
    attempt: Attempt,
    dispatch_guard: DispatchGuard,
    record: RequestRecord,
}

/// An upstream's response, its body not yet read to the end, with its connection.
struct ResponseHead {
    response: Response<UpstreamBody>,
    connection: Connection<UpstreamRequestBody>,
}

/// Runs a job until there is a response or a refusal.
pub(crate) async fn run(
    context: &RequestContext,
    job: &mut Job,
) -> Result<Response<ResponseBody>, Refusal> {
    let now_ms = context.shared.now_ms();
    let grant = &context.grant;
    let record = RequestRecord::start(
        &context.shared,
        &grant.account,
        grant.class,
        &job.target,
        &context.request_name,
    );
    let dispatch_guard = DispatchGuard::new(
        Arc::clone(&context.shared),
        job.queue_entry(context, now_ms),
    );
    let attempt = Attempt::new(job.repeat, job.deadline_ms);
    lock(&context.shared.retry_budget).record_first_attempt();
    Exchange {
        context,
        job,
        attempt,
        dispatch_guard,
        record,
    }
    .run()
    .await
}

impl Exchange<'_> {
    /// Tries upstreams until one responds or no further attempt is allowed.
    async fn run(mut self) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let worker = match self.dispatch_guard.admit().await {
                RouteDecision::Send(worker) => worker,
                RouteDecision::Refuse {
                    code,
                    retry_after_ms,
                } => {
                    let code = self.attempt.refused(code);
                    return Err(self.refusal(code, retry_after_ms));
                }
            };
            self.record.routed(&worker);
            let event = match self.send(&worker).await {
                Ok(head)
                    if self.job.kind == BodyKind::EventStream
                        && head.response.status() == StatusCode::OK =>
                {
                    match self.read_first_event(head).await {
                        Ok((first, head)) => return Ok(self.stream(head, Some(first))),
                        Err(event) => event,
                    }
                }
                Ok(head) if self.job.kind == BodyKind::Plain => return Ok(self.stream(head, None)),
                Ok(head) => match self.buffer_response(head).await {
                    Ok(response) => return Ok(response),
                    Err(event) => event,
                },
                Err(event) => event,
            };
            self.dispatch_guard.release(false);
            let verdict = self.apply_event(event);
            match verdict {
                Verdict::TryElsewhere if self.job.can_resend() => {}
                Verdict::TryElsewhere | Verdict::Continue => {
                    return Err(self.refusal(ResultCode::OutcomeUnknown, 1_000));
                }
                Verdict::End(code) => return Err(self.refusal(code, 1_000)),
            }
        }
    }

    /// Sends the job to one worker and waits for the response head.
    async fn send(&mut self, worker: &WorkerId) -> Result<ResponseHead, Event> {
        let shared = Arc::clone(&self.context.shared);
        let mut connection = self.connect(worker).await?;
        let Some(request) = self.job.build_request(&worker_address(&shared, worker)) else {
            return Err(Event::NotConnected);
        };
        let deadline = shared.clock.instant(self.job.deadline_ms);
        let sent = match tokio::time::timeout_at(deadline, connection.send(request)).await {
            Ok(sent) => sent,
            Err(_elapsed) => {
                self.apply_event(Event::HandedToConnection);
                return Err(Event::DeadlinePassed);
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(SendError::Unsent(request)) => {
                self.job.restore_body(*request);
                return Err(Event::NotConnected);
            }
            Err(SendError::Broken(_)) => {
                self.apply_event(Event::HandedToConnection);
                return Err(Event::Broken);
            }
        };
        self.apply_event(Event::HandedToConnection);
        self.apply_event(Event::Head);
        self.check_head(worker, &response)?;
        Ok(ResponseHead {
            response,
            connection,
        })
    }

    /// Takes a pooled connection or opens one.
    ///
    /// An unsafe job always gets a new connection, because the upstream may close a pooled one
    /// while the request is being sent.
    async fn connect(&self, worker: &WorkerId) -> Result<Connection<UpstreamRequestBody>, Event> {
        let shared = &self.context.shared;
        let pool = shared.upstreams.pool(worker).ok_or(Event::NotConnected)?;
        let connect_timeout =
            std::time::Duration::from_millis(shared.settings.limits.connect_within_ms);
        let is_unsafe = self.job.repeat == Repeatable::Unsafe;
        let connecting = async {
            if is_unsafe {
                pool.make().await
            } else {
                pool.take().await
            }
        };
        if let Ok(Ok(connection)) = tokio::time::timeout(connect_timeout, connecting).await {
            Ok(connection)
        } else {
            notify(&shared.dispatcher, WorkerUnreachable(worker.clone()));
            Err(Event::NotConnected)
        }
    }

    /// Checks that the upstream ran the request and that the response belongs to it.
    fn check_head(
        &self,
        worker: &WorkerId,
        response: &Response<UpstreamBody>,
    ) -> Result<(), Event> {
        let shared = &self.context.shared;
        if let Some(reason) = response.headers().get(NOT_RUN_HEADER) {
            if reason == NOT_RUN_NOT_RESIDENT {
                notify(
                    &shared.dispatcher,
                    NotResident {
                        worker: worker.clone(),
                        target: self.job.target.clone(),
                    },
                );
            }
            return Err(Event::RefusedByUpstream);
        }
        let matches_request = response
            .headers()
            .get(REQUEST_HEADER)
            .is_some_and(|name| name == self.context.request_name.as_str());
        if self.job.kind != BodyKind::Plain
            && response.status() == StatusCode::OK
            && !matches_request
        {
            shared.metrics.foreign_answers_total.inc();
            return Err(Event::Garbled);
        }
        Ok(())
    }

    /// Waits for the first frame of an event stream, so that a stream that fails before it can
    /// still be retried.
    async fn read_first_event(
        &mut self,
        head: ResponseHead,
    ) -> Result<(Bytes, ResponseHead), Event> {
        let content = Content::announced_by(head.response.headers(), false);
        if !matches!(content, Content::Events(_)) {
            return Err(Event::Garbled);
        }
        let ResponseHead {
            response,
            connection,
        } = head;
        let (parts, mut body) = response.into_parts();
        let deadline = self.context.shared.clock.instant(self.job.deadline_ms);
        let first = tokio::time::timeout_at(deadline, body.next_part()).await;
        match first.map_err(|_elapsed| Event::DeadlinePassed)? {
            BodyPart::Data(first) => {
                let response = Response::from_parts(parts, body);
                Ok((
                    first,
                    ResponseHead {
                        response,
                        connection,
                    },
                ))
            }
            BodyPart::End(_) => Err(Event::Broken),
        }
    }

    /// Reads the whole response before any of it is forwarded.
    async fn buffer_response(
        &mut self,
        head: ResponseHead,
    ) -> Result<Response<ResponseBody>, Event> {
        let ResponseHead {
            response,
            connection,
        } = head;
        let (parts, body) = response.into_parts();
        let remaining_ms = self
            .job
            .deadline_ms
            .saturating_sub(self.context.shared.now_ms());
        let collected = body
            .collect(BUFFERED_RESPONSE_MAX_BYTES, remaining_ms)
            .await;
        // Whether a body whose end is not declared is complete shows in the object below.
        let bytes = match collected {
            Ok(collected) => collected.bytes,
            Err(BodyError::TooSlow) => return Err(Event::DeadlinePassed),
            Err(BodyError::TooLarge | BodyError::NoMemory) => return Err(Event::Garbled),
            Err(BodyError::Broken) => return Err(Event::Broken),
        };
        let is_object = bytes.first() == Some(&b'{')
            && serde_json::from_slice::<serde::de::IgnoredAny>(&bytes).is_ok();
        if parts.status == StatusCode::OK && !is_object {
            return Err(Event::Garbled);
        }
        connection.keep();
        self.apply_event(Event::Completed);
        self.record.add_tokens(self.job.cost_tokens as u64);
        self.record.finish(ResultCode::Served);
        self.dispatch_guard.cost_tokens = self.job.cost_tokens;
        self.dispatch_guard.release(true);
        let mut client_response = Response::new(ResponseBody::buffered(Full::new(bytes)));
        *client_response.status_mut() = parts.status;
        *client_response.headers_mut() = forwarded_headers(&parts.headers);
        Ok(client_response)
    }

    /// Forwards the response body as it arrives.
    fn stream(self, head: ResponseHead, first: Option<Bytes>) -> Response<ResponseBody> {
        let ResponseHead {
            response,
            connection,
        } = head;
        let (parts, body) = response.into_parts();
        let mut attempt = self.attempt;
        let shared = &self.context.shared;
        attempt.on(
            shared.now_ms(),
            Event::FirstBytes,
            &mut lock(&shared.retry_budget),
        );
        let deadline = shared.clock.instant(self.job.deadline_ms);
        let streamed = StreamedResponse::new(
            self.job,
            &self.context.request_name,
            first,
            (&parts.headers, body),
            connection,
            self.dispatch_guard,
            self.record,
            deadline,
        );
        let mut client_response = Response::new(ResponseBody::streamed(streamed));
        *client_response.status_mut() = parts.status;
        *client_response.headers_mut() = forwarded_headers(&parts.headers);
        client_response
    }

    /// Applies an event to the attempt and returns how to proceed.
    fn apply_event(&mut self, event: Event) -> Verdict {
        let shared = &self.context.shared;
        self.attempt
            .on(shared.now_ms(), event, &mut lock(&shared.retry_budget))
    }

    /// Records the result of the request and builds its refusal.
    fn refusal(&mut self, code: ResultCode, retry_after_ms: u64) -> Refusal {
        self.record.finish(code);
        Refusal {
            code,
            retry_after_ms,
            detail: None,
            account: Some(self.context.grant.account.clone()),
        }
    }
}

/// Returns a worker's address for the Host header, empty if the worker is unknown.
fn worker_address(shared: &Shared, worker: &WorkerId) -> String {
    shared
        .upstreams
        .pool(worker)
        .map(|pool| pool.address().to_owned())
        .unwrap_or_default()
}
