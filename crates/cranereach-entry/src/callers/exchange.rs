//! Sends a job to an upstream, again where that is right, and answers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use super::AnswerBody;
use super::Caller;
use super::error_answer::Refusal;
use super::job::AnswerForm;
use super::job::Job;
use super::job::passed_headers;
use super::passing::Passing;
use super::record::Record;
use super::ticket::Ticket;
use crate::control_actor::tell;
use crate::dispatch_actor::Avoid;
use crate::dispatch_actor::NotResident;
use crate::dispatch_actor::Routed;
use crate::shared::Shared;
use crate::shared::lock;
use crate::upstream::SendBody;
use cranereach_core::attempt::Attempt;
use cranereach_core::attempt::Event;
use cranereach_core::attempt::Verdict;
use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::Repeatable;
use cranereach_core::names::WorkerId;
use cranereach_http::body;
use cranereach_http::pool::Connection;
use cranereach_http::pool::SendError;
use cranereach_wire::upstream::NOT_RUN_HEADER;
use cranereach_wire::upstream::NOT_RUN_NOT_RESIDENT;
use cranereach_wire::upstream::REQUEST_HEADER;

/// Largest answer that is kept whole before it is passed on, in bytes.
const KEPT_ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// One request on its way through upstreams.
struct Exchange<'a> {
    caller: &'a Caller,
    job: &'a mut Job,
    attempt: Attempt,
    ticket: Ticket,
    record: Record,
}

/// The head of an upstream's answer with the connection that it came on.
struct Head {
    answer: Response<Incoming>,
    connection: Connection<SendBody>,
}

/// Runs a job to its answer or refusal.
pub(crate) async fn run(caller: &Caller, job: &mut Job) -> Result<Response<AnswerBody>, Refusal> {
    let now_ms = caller.shared.now_ms();
    let grant = &caller.grant;
    let record = Record::start(
        &caller.shared,
        &grant.account,
        grant.class,
        &job.target,
        &caller.request_name,
    );
    let ticket = Ticket::new(Arc::clone(&caller.shared), job.waiting(caller, now_ms));
    let attempt = Attempt::new(job.repeat, job.end_by_ms);
    lock(&caller.shared.retry_budget).record_first_attempt();
    Exchange {
        caller,
        job,
        attempt,
        ticket,
        record,
    }
    .run()
    .await
}

impl Exchange<'_> {
    /// Tries upstreams until there is an answer or an end.
    async fn run(mut self) -> Result<Response<AnswerBody>, Refusal> {
        loop {
            let worker = match self.ticket.admit().await {
                Routed::Send(worker) => worker,
                Routed::Refuse {
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
                    if self.job.form == AnswerForm::Events
                        && head.answer.status() == StatusCode::OK =>
                {
                    match self.begin_events(head).await {
                        Ok((first, head)) => return Ok(self.pass(head, Some(first))),
                        Err(event) => event,
                    }
                }
                Ok(head) if self.job.form == AnswerForm::Plain => return Ok(self.pass(head, None)),
                Ok(head) => match self.read_whole(head).await {
                    Ok(answer) => return Ok(answer),
                    Err(event) => event,
                },
                Err(event) => event,
            };
            self.ticket.end(false);
            let verdict = self.judge(event);
            match verdict {
                Verdict::TryElsewhere if self.job.can_send() => {}
                Verdict::TryElsewhere | Verdict::Continue => {
                    return Err(self.refusal(ResultCode::OutcomeUnknown, 1_000));
                }
                Verdict::End(code) => return Err(self.refusal(code, 1_000)),
            }
        }
    }

    /// Sends the job to one worker and waits for the head of the answer.
    async fn send(&mut self, worker: &WorkerId) -> Result<Head, Event> {
        let shared = Arc::clone(&self.caller.shared);
        let mut connection = self.connect(worker).await?;
        let Some(request) = self.job.request(&worker_address(&shared, worker)) else {
            return Err(Event::NotConnected);
        };
        let due = shared.clock.instant(self.job.end_by_ms);
        let sent = match tokio::time::timeout_at(due, connection.send(request)).await {
            Ok(sent) => sent,
            Err(_elapsed) => {
                self.judge(Event::HandedToConnection);
                return Err(Event::DeadlinePassed);
            }
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(SendError::Unsent(request)) => {
                self.job.take_back(*request);
                return Err(Event::NotConnected);
            }
            Err(SendError::Broken(_)) => {
                self.judge(Event::HandedToConnection);
                return Err(Event::Broken);
            }
        };
        self.judge(Event::HandedToConnection);
        self.judge(Event::Head);
        self.check_head(worker, &answer)?;
        Ok(Head { answer, connection })
    }

    /// Takes or makes a connection; an unsafe job gets a new one.
    async fn connect(&self, worker: &WorkerId) -> Result<Connection<SendBody>, Event> {
        let shared = &self.caller.shared;
        let pool = shared.upstreams.pool(worker).ok_or(Event::NotConnected)?;
        let within = std::time::Duration::from_millis(shared.settings.limits.connect_within_ms);
        let is_unsafe = self.job.repeat == Repeatable::Unsafe;
        let connecting = async {
            if is_unsafe {
                pool.make().await
            } else {
                pool.take().await
            }
        };
        if let Ok(Ok(connection)) = tokio::time::timeout(within, connecting).await {
            Ok(connection)
        } else {
            tell(&shared.dispatcher, Avoid(worker.clone()));
            Err(Event::NotConnected)
        }
    }

    /// Checks that the answer is to this request and that something ran.
    fn check_head(&self, worker: &WorkerId, answer: &Response<Incoming>) -> Result<(), Event> {
        let shared = &self.caller.shared;
        if let Some(why) = answer.headers().get(NOT_RUN_HEADER) {
            if why == NOT_RUN_NOT_RESIDENT {
                tell(
                    &shared.dispatcher,
                    NotResident {
                        worker: worker.clone(),
                        target: self.job.target.clone(),
                    },
                );
            }
            return Err(Event::RefusedByUpstream);
        }
        let names_us = answer
            .headers()
            .get(REQUEST_HEADER)
            .is_some_and(|name| name == self.caller.request_name.as_str());
        if self.job.form != AnswerForm::Plain && answer.status() == StatusCode::OK && !names_us {
            shared.metrics.foreign_answers_total.inc();
            return Err(Event::Garbled);
        }
        Ok(())
    }

    /// Waits for the first event, so that a stream that never began can be repeated.
    async fn begin_events(&mut self, head: Head) -> Result<(Bytes, Head), Event> {
        let is_events = head
            .answer
            .headers()
            .get(CONTENT_TYPE)
            .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        if !is_events {
            return Err(Event::Garbled);
        }
        let Head { answer, connection } = head;
        let (parts, mut incoming) = answer.into_parts();
        let due = self.caller.shared.clock.instant(self.job.end_by_ms);
        let first =
            tokio::time::timeout_at(due, http_body_util::BodyExt::frame(&mut incoming)).await;
        match first.map_err(|_elapsed| Event::DeadlinePassed)? {
            Some(Ok(frame)) => {
                let first = frame.into_data().unwrap_or_default();
                let answer = Response::from_parts(parts, incoming);
                Ok((first, Head { answer, connection }))
            }
            Some(Err(_)) | None => Err(Event::Broken),
        }
    }

    /// Reads a whole answer before any of it is passed on.
    async fn read_whole(&mut self, head: Head) -> Result<Response<AnswerBody>, Event> {
        let Head { answer, connection } = head;
        let (parts, incoming) = answer.into_parts();
        let left_ms = self
            .job
            .end_by_ms
            .saturating_sub(self.caller.shared.now_ms());
        let collected = body::collect(incoming, KEPT_ANSWER_MAX_BYTES, left_ms).await;
        let bytes = collected.map_err(|error| match error {
            body::BodyError::TooSlow => Event::DeadlinePassed,
            body::BodyError::TooLarge => Event::Garbled,
            body::BodyError::Broken => Event::Broken,
        })?;
        let is_object = bytes.first() == Some(&b'{')
            && serde_json::from_slice::<serde::de::IgnoredAny>(&bytes).is_ok();
        if parts.status == StatusCode::OK && !is_object {
            return Err(Event::Garbled);
        }
        connection.keep();
        self.judge(Event::Whole);
        self.record.tokens(self.job.cost_tokens as u64);
        self.record.finish(ResultCode::Served);
        self.ticket.cost_tokens = self.job.cost_tokens;
        self.ticket.end(true);
        let mut whole = Response::new(AnswerBody::whole(Full::new(bytes)));
        *whole.status_mut() = parts.status;
        *whole.headers_mut() = passed_headers(&parts.headers);
        Ok(whole)
    }

    /// Passes an answer on as it comes.
    fn pass(self, head: Head, first: Option<Bytes>) -> Response<AnswerBody> {
        let Head { answer, connection } = head;
        let (parts, incoming) = answer.into_parts();
        let mut attempt = self.attempt;
        let shared = &self.caller.shared;
        attempt.on(
            shared.now_ms(),
            Event::FirstBytes,
            &mut lock(&shared.retry_budget),
        );
        let due = shared.clock.instant(self.job.end_by_ms);
        let passing = Passing::new(
            self.job,
            &self.caller.request_name,
            first,
            incoming,
            connection,
            self.ticket,
            self.record,
            due,
        );
        let mut passed = Response::new(AnswerBody::passing(passing));
        *passed.status_mut() = parts.status;
        *passed.headers_mut() = passed_headers(&parts.headers);
        passed
    }

    /// Lets the kernel judge an event.
    fn judge(&mut self, event: Event) -> Verdict {
        let shared = &self.caller.shared;
        self.attempt
            .on(shared.now_ms(), event, &mut lock(&shared.retry_budget))
    }

    /// Makes the refusal of a request that was followed.
    fn refusal(&mut self, code: ResultCode, retry_after_ms: u64) -> Refusal {
        self.record.finish(code);
        Refusal {
            code,
            retry_after_ms,
            detail: None,
            account: Some(self.caller.grant.account.clone()),
        }
    }
}

/// Returns a worker's address for the host header.
fn worker_address(shared: &Shared, worker: &WorkerId) -> String {
    shared
        .upstreams
        .pool(worker)
        .map(|pool| pool.address().to_owned())
        .unwrap_or_default()
}
