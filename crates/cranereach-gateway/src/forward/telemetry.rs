//! Metrics and log lines of responses.

use hyper::Response;
use slog::info;

use super::ResponseBody;
use super::refusal::Refusal;
use super::request::Call;
use super::worker_body::JudgedEnd;
use crate::node::Node;
use cranereach_fleet::roster::Choice;
use cranereach_http::body_end::BodyEnd;

/// Counts a response that begins now, and logs it if it is late.
pub fn record_response(
    node: &Node,
    call: &Call,
    response: &Response<ResponseBody>,
    choice: Option<&Choice>,
) {
    let result_name = if response.status().is_success() {
        "served"
    } else {
        "passed"
    };
    let counter = &node.metrics.requests_total;
    counter
        .with_label_values(&[&call.route.name, result_name])
        .inc();
    log_late_response(node, call, choice);
    let took_s = node.now_ms().saturating_sub(call.received_ms) as f64 / 1_000.0;
    let seconds = &node.metrics.first_byte_seconds;
    seconds
        .with_label_values(&[&call.route.name])
        .observe(took_s);
}

/// Counts how the body of a worker's response ended, and logs the ends that only the end of the
/// connection marks and those of incomplete bodies.
pub fn record_body_end(node: &Node, call: &Call, worker: &str, judged: &JudgedEnd) {
    let verdict = match judged.result {
        Ok(()) => "complete",
        Err(reason) => reason.name(),
    };
    let counter = &node.metrics.body_ends_total;
    counter
        .with_label_values(&[judged.end.name(), verdict])
        .inc();
    if judged.end != BodyEnd::Declared || judged.result.is_err() {
        let received = &judged.received;
        let media_type = received.media_type.as_ref();
        info!(node.log, "body ended"; "request" => call.id.clone(),
            "route" => call.route.name.as_ref(), "worker" => worker, "end" => judged.end.name(),
            "verdict" => verdict, "bytes" => received.byte_count, "events" => received.event_count,
            "media_type" => media_type.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned()));
    }
}

/// Counts the result of a client account's call, and the units it was charged.
pub fn record_account_usage(
    node: &Node,
    call: &Call,
    result: &Result<Response<ResponseBody>, Refusal>,
) {
    if call.account.is_none() {
        return;
    }
    let label = call.account_label.as_str();
    let result_name = match result {
        Ok(response) if response.status().is_success() => "served",
        Ok(_) => "passed",
        Err(refusal) => refusal.code.row().name,
    };
    let results = &node.metrics.account_requests_total;
    results.with_label_values(&[label, result_name]).inc();
    let units = &node.metrics.account_units_total;
    if result.is_ok() {
        units.with_label_values(&[label]).inc_by(call.cost);
        let took_s = node.now_ms().saturating_sub(call.received_ms) as f64 / 1_000.0;
        let seconds = &node.metrics.account_first_byte_seconds;
        seconds
            .with_label_values(&[label, &call.route.name])
            .observe(took_s);
    }
}

/// Logs a response that begins later than the route's latency target, with the data that its
/// worker was chosen by.
fn log_late_response(node: &Node, call: &Call, choice: Option<&Choice>) {
    let took_ms = node.now_ms().saturating_sub(call.received_ms);
    let Some(choice) = choice.filter(|_| took_ms > call.route.latency_target_ms) else {
        return;
    };
    info!(node.log, "late"; "request" => call.id.clone(), "route" => call.route.name.as_ref(),
        "model" => call.model().map(|(model, _)| model.to_owned()), "took_ms" => took_ms,
        "prompt_tokens" => call.prompt_tokens, "worker" => choice.id.as_ref(),
        "begins_in_ms" => choice.begins_in_ms as u64, "open" => choice.load.open_count,
        "waiting" => choice.load.waiting_count.iter().sum::<u32>(),
        "unread_ms" => choice.load.ahead_ms(usize::MAX) as u64);
}
