//! Metrics and log line of one request.

use std::sync::Arc;
use std::time::Instant;

use prometheus::Histogram;
use slog::info;

use super::error_response::Refusal;
use crate::shared::Shared;
use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::Class;
use cranereach_core::names::AccountName;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;

/// Collects metrics of one request and logs its result; a drop before that means the caller left.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    shared: Arc<Shared>,
    account: AccountName,
    class: Class,
    target: TargetName,
    request_name: String,
    worker: Option<WorkerId>,
    started_at: Instant,
    last_token_at: Option<Instant>,
    token_count: u64,
    between_tokens: Histogram,
    is_finished: bool,
}

impl RequestRecord {
    /// Starts the record of a request.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        account: &AccountName,
        class: Class,
        target: &TargetName,
        request_name: &str,
    ) -> Self {
        let labels = [account.as_str(), class.name()];
        Self {
            shared: Arc::clone(shared),
            account: account.clone(),
            class,
            target: target.clone(),
            request_name: request_name.to_owned(),
            worker: None,
            started_at: Instant::now(),
            last_token_at: None,
            token_count: 0,
            between_tokens: shared
                .metrics
                .between_tokens_seconds
                .with_label_values(&labels),
            is_finished: false,
        }
    }

    /// Records that the request left the queue for a worker; a second time counts as a retry.
    pub(crate) fn routed(&mut self, worker: &WorkerId) {
        if self.worker.is_none() {
            let waited = self.started_at.elapsed().as_secs_f64();
            self.shared
                .metrics
                .queue_wait_seconds
                .with_label_values(&[self.account.as_str(), self.class.name()])
                .observe(waited);
        } else {
            self.shared.metrics.retries_total.inc();
        }
        self.worker = Some(worker.clone());
    }

    /// Records tokens that are forwarded to the caller.
    pub(crate) fn add_tokens(&mut self, count: u64) {
        let now = Instant::now();
        if let Some(last) = self.last_token_at {
            self.between_tokens.observe((now - last).as_secs_f64());
        } else {
            let first = (now - self.started_at).as_secs_f64();
            self.shared
                .metrics
                .first_token_seconds
                .with_label_values(&[self.account.as_str(), self.class.name()])
                .observe(first);
        }
        self.last_token_at = Some(now);
        self.token_count += count;
    }

    /// Records the result of the request; later calls have no effect.
    pub(crate) fn finish(&mut self, code: ResultCode) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let metrics = &self.shared.metrics;
        let row = code.row();
        metrics
            .answers_total
            .with_label_values(&[self.account.as_str(), row.name])
            .inc();
        metrics
            .tokens_total
            .with_label_values(&[self.account.as_str()])
            .inc_by(self.token_count);
        let total_time = self.started_at.elapsed();
        if code == ResultCode::Served {
            metrics
                .whole_answer_seconds
                .with_label_values(&[self.account.as_str(), self.class.name()])
                .observe(total_time.as_secs_f64());
        }
        info!(self.shared.log, "request"; "request" => self.request_name.as_str(), "account" => self.account.as_str(),
            "class" => self.class.name(), "target" => self.target.as_str(), "code" => row.number,
            "worker" => self.worker.as_ref().map(|worker| worker.as_str().to_owned()),
            "tokens" => self.token_count, "whole_us" => total_time.as_micros() as u64);
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.finish(ResultCode::CallerLeft);
    }
}

/// Counts and logs a request that was refused before it had a [`RequestRecord`].
pub(crate) fn record_refused(shared: &Shared, request_name: &str, refusal: &Refusal) {
    if refusal.account.is_some() {
        // The request's record has already counted it.
        return;
    }
    let row = refusal.code.row();
    shared
        .metrics
        .answers_total
        .with_label_values(&["", row.name])
        .inc();
    info!(shared.log, "request"; "request" => request_name, "code" => row.number);
}
