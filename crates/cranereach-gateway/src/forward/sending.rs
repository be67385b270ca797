//! One offer of a call to one worker: sends the call, and reads as much of the response as is
//! needed to decide whether to retry.

use std::future::pending;
use std::sync::Arc;

use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use slog::info;

use super::ResponseBody;
use super::exchange::Exchange;
use super::forwarded_headers::forwarded_headers;
use super::in_flight::InFlightCall;
use super::response_head::Failure;
use super::response_head::ResponseHead;
use super::response_head::check_head;
use super::resumption::StartedStream;
use super::stream_relay::StreamRelay;
use super::telemetry;
use super::worker_body::WorkerBody;
use crate::node::pause;
use crate::quarantine;
use crate::send_permit;
use crate::send_permit::Permit;
use crate::send_permit::RequiredRow;
use crate::worker_headers::DEFAULT_KEEP_ALIVE_MS;
use crate::worker_paths;
use crate::worker_paths::WorkerConnection;
use crate::worker_start;
use crate::worker_start::RowState;
use crate::worker_start::ToldStart;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::roster::Choice;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_http::body::BodyError;
use cranereach_http::body_end::BodyEnd;
use cranereach_http::pool::SendError;

/// Largest response that is buffered in full before it is passed on, in bytes.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Time without any bytes from any worker after which a call on a reused connection suspects that
/// its path is cut, in milliseconds.
const QUIET_MAX_MS: u64 = 300;

/// Share of the latency target for which a call may be held back so that its prefill does not
/// make running streams pause for too long. With half of the latency target, prompts that were
/// sent before their scheduled time caused half of all pauses.
const HOLD_MAX_SHARE: f64 = 1.0;

/// What is known of the start of the worker at the other end of a connection.
#[derive(Clone, Copy, Debug)]
enum Start {
    /// Nothing contradicts the worker's row.
    AsListed,
    /// The worker told it over the connection, in milliseconds of Unix time.
    Told(u64),
    /// The worker's row may describe an earlier one.
    Unknown,
}

impl Start {
    /// Returns the start that the worker told, in milliseconds of Unix time.
    fn told_unix_ms(self) -> Option<u64> {
        match self {
            Self::Told(told_unix_ms) => Some(told_unix_ms),
            Self::AsListed | Self::Unknown => None,
        }
    }

    /// Returns the version of the worker's software by the row that a permit was given for, if that
    /// row describes this start.
    fn attested_version(self, permit: &Permit) -> Option<SoftwareVersion> {
        let is_attested = match self {
            Self::AsListed => true,
            Self::Told(told_unix_ms) => told_unix_ms == permit.started_unix_ms,
            Self::Unknown => false,
        };
        is_attested.then(|| permit.software.clone())
    }
}

impl Exchange<'_> {
    /// Offers the call to one worker and makes the response to the caller.
    pub(super) async fn offer(
        &mut self,
        choice: &Choice,
    ) -> Result<Response<ResponseBody>, Failure> {
        let head = self.send(choice).await?;
        let status = head.response.status();
        if self.call.is_stream() && status == StatusCode::OK {
            return self.begin_stream(head).await;
        }
        self.read_full_response(head).await
    }

    /// Sends the call to one worker and waits for the head of the response.
    async fn send(&mut self, choice: &Choice) -> Result<ResponseHead, Failure> {
        let node = self.node;
        let call = self.call;
        let routing_request = self.routing_request();
        let hold_max_ms = (call.route.latency_target_ms as f64 * HOLD_MAX_SHARE) as u64;
        let hold_ms = choice.send_in_ms.min(hold_max_ms);
        let mut in_flight = InFlightCall::begin(
            node,
            choice,
            &routing_request,
            (&call.service.name, &call.route.name),
            call.answer_tokens,
            call.deadline_at_ms,
            hold_ms,
        );
        if hold_ms > 0 {
            node.metrics.prompts_held_total.inc();
        }
        self.hold(choice, hold_ms).await?;
        let (mut connection, start) = self.connect(choice, &mut in_flight).await?;
        let permit = if in_flight.ask_for_brittle(call.deadline_at_ms).await {
            let required_row = self.required_row(start);
            let purpose = Purpose::Call;
            send_permit::ask(node, &choice.id, purpose, call.rank, required_row).await
        } else {
            None
        };
        let Some(permit) = permit else {
            if !connection.is_reused() {
                connection.keep_for(DEFAULT_KEEP_ALIVE_MS);
            }
            return Err(Failure::NoPermit);
        };
        let judgement = quarantine::judge(node, call);
        if let Some(key) = quarantine::quarantined_key(node, call, &judgement)
            && self.probe.take() != Some(key)
        {
            return Err(Failure::Quarantined);
        }
        self.history.known_ends = judgement.known_ends;
        self.count_send(choice);
        let request = self
            .call
            .to_worker(node, &choice.id, self.last_event.as_deref())
            .ok_or(Failure::NotSent)?;
        self.may_run_now = true;
        let via = connection.via();
        in_flight.sent(self.call.body.len(), via);
        if let Some(peer) = via {
            info!(node.log, "sent through peer"; "request" => call.id.clone(),
                "worker" => choice.id.as_ref(), "peer" => peer.to_string());
        }
        let may_wait_in_vain = via.is_none() && connection.is_reused();
        let response = tokio::select! {
            response = connection.send(request) => response,
            () = self.until_path_is_cut(&choice.id), if may_wait_in_vain => {
                return Err(Failure::Unknown);
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(SendError::Unsent(_)) => return Err(Failure::NotSent),
            Err(SendError::Broken(_)) => {
                in_flight.broke_off();
                return Err(Failure::BrokenOff);
            }
        };
        if via.is_none() {
            node.paths.note_answered(node.now_ms(), &choice.id);
        }
        let parsed_headers = check_head(node, self.call, &permit, &mut in_flight, &response)?;
        Ok(ResponseHead {
            response,
            connection,
            keep_alive_ms: parsed_headers.connection_keep_alive_ms,
            in_flight,
            software: start.attested_version(&permit),
        })
    }

    /// Returns what the row of the worker must say for the call to be sent at a start.
    fn required_row(&self, start: Start) -> RequiredRow {
        let version_key = self.history.requirement.key();
        RequiredRow {
            version_key,
            started_unix_ms: version_key.and(start.told_unix_ms()),
        }
    }

    /// Reuses or opens a connection to the worker, and finds out what is known of the start of the
    /// worker at its other end as far as the call depends on it.
    async fn connect(
        &self,
        choice: &Choice,
        in_flight: &mut InFlightCall,
    ) -> Result<(WorkerConnection, Start), Failure> {
        let mut connection = self.open(choice, in_flight).await?;
        let is_bound = self.history.requirement.key().is_some();
        let depends_on_start = is_bound || self.call.may_be_taken_up();
        let row_state = worker_start::row_state(self.node, &choice.id);
        let is_doubtful = row_state == RowState::Doubtful;
        // A worker without models serves before the row of its start is read. One with models
        // refuses all calls until it has been ordered to load a model.
        let serves_unlisted = self.call.service.engine.is_none();
        let must_ask = is_bound || is_doubtful || serves_unlisted;
        if !depends_on_start || row_state == RowState::Certain || !must_ask {
            return Ok((connection, Start::AsListed));
        }
        let rank = self.call.rank;
        let told = worker_start::ask(self.node, &choice.id, rank, &mut connection).await;
        match told {
            ToldStart::At(told_unix_ms) => Ok((connection, Start::Told(told_unix_ms))),
            ToldStart::Untold if !is_doubtful => Ok((connection, Start::AsListed)),
            ToldStart::NotPermitted if is_bound => Err(Failure::NoPermit),
            ToldStart::Untold | ToldStart::Unanswered if is_bound => Err(Failure::NotSent),
            ToldStart::Untold | ToldStart::NotPermitted => Ok((connection, Start::Unknown)),
            // A stream may begin at a worker of unknown start; it only isn't taken up later.
            ToldStart::Unanswered => Ok((self.open(choice, in_flight).await?, Start::Unknown)),
        }
    }

    /// Reuses or opens a connection to the worker.
    async fn open(
        &self,
        choice: &Choice,
        in_flight: &mut InFlightCall,
    ) -> Result<WorkerConnection, Failure> {
        match worker_paths::take(self.node, &choice.id, &choice.address).await {
            Ok(connection) => Ok(connection),
            Err(not_connected) => {
                in_flight.not_connected(not_connected);
                Err(Failure::NotSent)
            }
        }
    }

    /// Waits until the direct path to a worker is known to be cut silently, and has it probed if
    /// no worker answers. Never returns for a call that may not be repeated, whose answer may still
    /// arrive once the path is back.
    async fn until_path_is_cut(&self, worker: &Arc<str>) {
        let paths = &self.node.paths;
        let sent_ms = self.node.now_ms();
        pause(QUIET_MAX_MS).await;
        if paths.is_quiet_since(sent_ms) && !self.node.is_own_delay(QUIET_MAX_MS) {
            paths.suspect(self.node.now_ms(), worker);
        }
        paths.until_silently_cut(self.node, worker).await;
        if !self.may_retry() {
            pending::<()>().await;
        }
    }

    /// Counts the call as sent to the failure domain of its worker.
    fn count_send(&self, choice: &Choice) {
        let roster = self.node.roster();
        if let Some(worker) = roster.get(&choice.id) {
            let domain = worker.record.failure_domain.as_ref();
            let counter = &self.node.metrics.sends_total;
            counter.with_label_values(&[domain]).inc();
        }
    }

    /// Holds the call back for a time; fails early if the worker must not get it any more.
    async fn hold(&self, choice: &Choice, hold_ms: u64) -> Result<(), Failure> {
        let hold_until = self.node.instant(self.node.now_ms() + hold_ms);
        loop {
            let changed = self.node.roster_changed.notified();
            if send_permit::is_barred(self.node, &choice.id, Purpose::Call, self.call.rank) {
                return Err(Failure::NoPermit);
            }
            if tokio::time::timeout_at(hold_until, changed).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Offers the rest of an interrupted stream to one worker and waits for its first chunk.
    pub(super) async fn offer_resumption(
        &mut self,
        choice: &Choice,
    ) -> Result<StartedStream, Failure> {
        let mut head = self.send(choice).await?;
        if head.response.status() != StatusCode::OK {
            head.in_flight.failed();
            return Err(Failure::Unknown);
        }
        let requirement = &self.history.requirement;
        let has_earlier_events =
            self.last_event.is_some() || self.call.last_event(self.node).is_some();
        let (_head, mut started) =
            StartedStream::from_head(self.node, self.call, requirement, has_earlier_events, head)
                .await?;
        if !started.body.has_events() {
            // The rest of a stream of events can't be a response of another kind.
            started.in_flight.failed();
            return Err(Failure::Unknown);
        }
        Ok(started)
    }

    /// Waits for the first chunk, so that a stream that never began can be retried.
    async fn begin_stream(&self, head: ResponseHead) -> Result<Response<ResponseBody>, Failure> {
        let requirement = &self.history.requirement;
        let has_earlier_events = self.call.last_event(self.node).is_some();
        let (parts, started) =
            StartedStream::from_head(self.node, self.call, requirement, has_earlier_events, head)
                .await?;
        let relay = StreamRelay::new(self.node, self.call, started, self.history.clone());
        let mut response = Response::new(ResponseBody::Streaming(Box::new(relay)));
        *response.status_mut() = parts.status;
        *response.headers_mut() = forwarded_headers(&parts.headers, &[]);
        // Another worker may continue the stream, and one that breaks off must not reach a declared
        // length.
        response.headers_mut().remove(CONTENT_LENGTH);
        Ok(response)
    }

    /// Reads a response in full before any of it is passed on.
    async fn read_full_response(
        &mut self,
        head: ResponseHead,
    ) -> Result<Response<ResponseBody>, Failure> {
        let ResponseHead {
            response,
            connection,
            keep_alive_ms,
            mut in_flight,
            ..
        } = head;
        let (parts, body) = response.into_parts();
        let body = WorkerBody::new(body, &parts.headers, None);
        let remaining_ms = self.call.deadline_at_ms.saturating_sub(self.node.now_ms()) + 1_000;
        let collected = body
            .collect(
                BUFFERED_RESPONSE_MAX_BYTES,
                remaining_ms,
                &self.node.answer_budget,
            )
            .await;
        let (bytes, judged) = match collected {
            Ok(collected) => collected,
            Err(error) => {
                info!(self.node.log, "answer not read"; "request" => self.call.id.clone(),
                    "worker" => in_flight.worker().as_ref(), "why" => error.to_string());
                // That this instance has no memory left says nothing about the worker.
                if error != BodyError::NoMemory {
                    in_flight.failed();
                }
                return Err(Failure::Unknown);
            }
        };
        telemetry::record_body_end(self.node, self.call, in_flight.worker(), &judged);
        if judged.result.is_err() {
            in_flight.broke_off();
            return Err(Failure::BrokenOff);
        }
        in_flight.received(bytes.len());
        let is_failure = parts.status.is_server_error();
        if is_failure {
            in_flight.failed();
        } else {
            in_flight.succeeded();
        }
        let worker = in_flight.worker();
        quarantine::record_whole_response(self.node, self.call, worker, parts.status, judged.end);
        if let (BodyEnd::Declared, Some(keep_alive_ms)) = (judged.end, keep_alive_ms) {
            connection.keep_for(keep_alive_ms);
        }
        let mut response = Response::new(ResponseBody::Buffered(Full::new(bytes)));
        *response.status_mut() = parts.status;
        *response.headers_mut() = forwarded_headers(&parts.headers, &[]);
        let may_repeat = self.call.route.may_repeat();
        if is_failure
            && may_repeat
            && self.history.run_count() + 1 < self.call.route.attempt_max_count
        {
            self.failed_response = Some(response);
            return Err(Failure::Unknown);
        }
        Ok(response)
    }
}
