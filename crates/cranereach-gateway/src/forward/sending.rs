//! One offer of a call to one worker: the send, and the answer as far as it decides.

use std::time::Duration;

use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;

use super::AnswerBody;
use super::exchange::Exchange;
use super::head::Failure;
use super::head::Head;
use super::head::check_head;
use super::head::says_its_end;
use super::open::OpenCall;
use super::passing::Passing;
use super::request::passed_headers;
use super::taking_up::Begun;
use crate::cold;
use crate::quarantine;
use crate::send_permit;
use crate::worker_words::REST_UNSAID_MS;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::roster::Choice;
use cranereach_http::body;
use cranereach_http::body::BodyError;
use cranereach_http::pool::SendError;

/// Largest answer that is kept whole before it is passed on, in bytes.
const WHOLE_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Time to connect to a worker, in milliseconds.
const CONNECT_WITHIN_MS: u64 = 250;

/// Share of the aim for which a call is held until no stream pauses for too long by its
/// prompt. At half of it, prompts that were sent before their place made half of all
/// pauses.
const HOLD_MAX_SHARE: f64 = 1.0;

impl Exchange<'_> {
    /// Offers the call to one worker and makes the answer.
    pub(super) async fn offer(&mut self, choice: &Choice) -> Result<Response<AnswerBody>, Failure> {
        let head = self.send(choice).await?;
        let status = head.answer.status();
        if self.call.is_stream() && status == StatusCode::OK {
            return self.begin_stream(head).await;
        }
        self.read_whole(head).await
    }

    /// Sends the call to one worker and waits for the head of the answer.
    async fn send(&mut self, choice: &Choice) -> Result<Head, Failure> {
        let node = self.node;
        let call = self.call;
        let wanted = self.wanted();
        let hold_max_ms = (call.route.aim_ms as f64 * HOLD_MAX_SHARE) as u64;
        let hold_ms = choice.send_in_ms.min(hold_max_ms);
        let mut open = OpenCall::begin(
            node,
            choice,
            &wanted,
            (&call.service.name, &call.route.name),
            call.answer_tokens,
            call.end_by_ms,
            hold_ms,
        );
        if hold_ms > 0 {
            node.metrics.prompts_held_total.inc();
        }
        self.hold(choice, hold_ms).await?;
        let pool = node.pool(&choice.id, &choice.address);
        let within = Duration::from_millis(CONNECT_WITHIN_MS);
        let taken = tokio::time::timeout(within, pool.take()).await;
        let Ok(Ok(mut connection)) = taken else {
            open.unreachable();
            return Err(Failure::NotSent);
        };
        if !connection.is_reused() {
            node.metrics.connections_total.inc();
            cold::note_reached(node, &choice.id);
        }
        let permit = send_permit::ask(node, &choice.id, Purpose::Call, call.rank).await;
        let Some(permit) = permit else {
            if !connection.is_reused() {
                connection.keep_for(REST_UNSAID_MS);
            }
            return Err(Failure::NoPermit);
        };
        let suspicion = quarantine::suspicion(node, call);
        if suspicion.is_quarantined {
            return Err(Failure::Quarantined);
        }
        self.knew_of_end = suspicion.end_count > 0;
        self.count_send(choice);
        let request = self
            .call
            .to_worker(node, &choice.id, self.last_event.as_deref())
            .ok_or(Failure::NotSent)?;
        self.may_run_now = true;
        open.sent(self.call.body.len());
        let answer = match connection.send(request).await {
            Ok(answer) => answer,
            Err(SendError::Unsent(_)) => return Err(Failure::NotSent),
            Err(SendError::Broken(_)) => {
                open.failed();
                return Err(Failure::BrokenOff);
            }
        };
        let words = check_head(node, self.call, &permit, &mut open, &answer)?;
        Ok(Head {
            answer,
            connection,
            rest_ms: words.connection_rest_ms,
            open,
        })
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

    /// Holds the call back for a time; ends early if its worker isn't to get it any more.
    async fn hold(&self, choice: &Choice, hold_ms: u64) -> Result<(), Failure> {
        let due = self.node.instant(self.node.now_ms() + hold_ms);
        loop {
            let changed = self.node.roster_changed.notified();
            if send_permit::is_barred(self.node, &choice.id, Purpose::Call, self.call.rank) {
                return Err(Failure::NoPermit);
            }
            if tokio::time::timeout_at(due, changed).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Offers the rest of a stream to one worker and waits until it goes on.
    pub(super) async fn offer_rest(&mut self, choice: &Choice) -> Result<Begun, Failure> {
        let mut head = self.send(choice).await?;
        if head.answer.status() != StatusCode::OK {
            head.open.failed();
            return Err(Failure::Unknown);
        }
        let (_head, begun) = Begun::of(head).await?;
        Ok(begun)
    }

    /// Waits for the first piece, so that a stream that never began can be repeated.
    async fn begin_stream(&self, head: Head) -> Result<Response<AnswerBody>, Failure> {
        let (parts, begun) = Begun::of(head).await?;
        let passing = Passing::new(self.node, self.call, begun, self.taken());
        let mut answer = Response::new(AnswerBody::Passing(Box::new(passing)));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = passed_headers(&parts.headers, &[]);
        Ok(answer)
    }

    /// Reads a whole answer before any of it is passed on.
    async fn read_whole(&mut self, head: Head) -> Result<Response<AnswerBody>, Failure> {
        let Head {
            answer,
            connection,
            rest_ms,
            mut open,
        } = head;
        let (parts, incoming) = answer.into_parts();
        let left_ms = self.call.end_by_ms.saturating_sub(self.node.now_ms()) + 1_000;
        let collected = body::collect(incoming, WHOLE_ANSWER_MAX_BYTES, left_ms).await;
        let bytes = collected.map_err(|error| {
            open.failed();
            match error {
                BodyError::Broken => Failure::BrokenOff,
                BodyError::TooLarge | BodyError::TooSlow => Failure::Unknown,
            }
        })?;
        open.received(bytes.len());
        let is_failure = parts.status.is_server_error();
        if is_failure {
            open.failed();
        } else {
            open.succeeded();
        }
        if says_its_end(&parts.headers) {
            quarantine::answered(self.node, self.call);
        }
        if let Some(rest_ms) = rest_ms {
            connection.keep_for(rest_ms);
        }
        let mut answer = Response::new(AnswerBody::Whole(Full::new(bytes)));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = passed_headers(&parts.headers, &[]);
        let may_repeat = self.call.route.may_repeat();
        if is_failure && may_repeat && self.run_count + 1 < self.call.route.attempt_max_count {
            self.failed_answer = Some(answer);
            return Err(Failure::Unknown);
        }
        Ok(answer)
    }
}
