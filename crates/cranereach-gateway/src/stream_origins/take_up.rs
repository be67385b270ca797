//! Requests that continue a stream after an event that the caller has received.

use std::net::Ipv4Addr;
use std::sync::Arc;

use hyper::Response;
use slog::info;

use super::ask;
use super::is_list_fresh;
use super::members;
use super::observe;
use crate::forward::Call;
use crate::forward::Continuation;
use crate::forward::Refusal;
use crate::forward::ResponseBody;
use crate::node::Node;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::stream_origins::Decision;
use cranereach_fleet::stream_origins::Origin;
use cranereach_fleet::stream_origins::OriginAnswer;
use cranereach_fleet::stream_origins::holders;
use cranereach_fleet::stream_origins::stream_key;

/// Who knew where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This instance: by its notes, or since there was one version only.
    Own,
    /// Holders, one of which is named if it knew the stream.
    Holders(Option<Ipv4Addr>),
}

impl Source {
    /// Returns the metric label.
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Holders(_) => "holder",
        }
    }
}

/// A stream that a request continues, with the version at which it began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TakenUp {
    /// Where the stream began.
    pub(crate) origin: Origin,
    source: Source,
}

/// Returns the key under which the origin of a call's stream is kept: that of the request that
/// brought its first event. None if the stream may not be taken up, or if that request isn't named.
pub(super) fn key_to_note(call: &Call) -> Option<u64> {
    if !call.may_be_taken_up() {
        return None;
    }
    match &call.continuation {
        Continuation::New => Some(key(call, &call.id)),
        Continuation::Of(first_request) => Some(key(call, first_request)),
        Continuation::Unnamed => None,
    }
}

/// Returns the key of a stream that began with a request like this call.
fn key(call: &Call, first_request: &str) -> u64 {
    let account = call.account.as_ref().map(|account| account.name.as_ref());
    stream_key(&call.route.name, account, first_request)
}

/// Finds the version at which the stream began that a call continues, and moves the call to the
/// service of that stream. Returns none if the call begins a stream.
pub(crate) async fn find_origin(node: &Node, call: &mut Call) -> Result<Option<TakenUp>, Refusal> {
    let key = match &call.continuation {
        _ if !call.may_be_taken_up() => return Ok(None),
        Continuation::New => return Ok(None),
        Continuation::Of(first_request) => key(call, first_request),
        Continuation::Unnamed => 0,
    };
    // A list that was read just now counts.
    observe(node);
    let service = worker_key(&call.service.name);
    let now_ms = node.now_ms();
    let is_fresh = is_list_fresh(node);
    let decision = node.origins.known().decide(now_ms, service, key, is_fresh);
    let (decision, source) = match decision {
        Decision::Ask => ask_holders(node, service, key).await,
        decided => (decided, Source::Own),
    };
    let Decision::GoOn(origin) = decision else {
        let code = refusal_code(node, service, key);
        return Err(refuse(node, call, code, source));
    };
    if !call.move_to(node, origin.service) {
        return Err(refuse(node, call, ResultCode::VersionGone, source));
    }
    Ok(Some(TakenUp { origin, source }))
}

/// Returns why a stream may not continue.
fn refusal_code(node: &Node, service: u64, key: u64) -> ResultCode {
    if key != 0 {
        return ResultCode::StreamUnknown;
    }
    let now_ms = node.now_ms();
    let versions = node.origins.known().seen_versions(now_ms, service);
    if versions.is_empty() {
        ResultCode::NoUpstream
    } else {
        ResultCode::StreamUnnamed
    }
}

/// Asks the holders of a stream's note where it began.
async fn ask_holders(node: &Node, service: u64, key: u64) -> (Decision, Source) {
    let asked = holders(key, members(node).into_iter());
    let answers = ask(node, service, key, asked).await;
    let knowing = answers
        .iter()
        .find(|(_, answer)| matches!(answer, OriginAnswer::Known(_)));
    let source = Source::Holders(knowing.map(|(holder, _)| *holder));
    let answers: Vec<OriginAnswer> = answers.iter().map(|(_, answer)| *answer).collect();
    let has_peers = node.peers().members().known_count() > 1;
    let now_ms = node.now_ms();
    let mut known = node.origins.known();
    let decision = known.decide_by_answers(now_ms, service, &answers, has_peers);
    (decision, source)
}

/// Makes the refusal of a stream that must not continue, counts and logs it.
fn refuse(node: &Node, call: &Call, code: ResultCode, source: Source) -> Refusal {
    record(node, call, None, source, code.row().name);
    let mut refusal = Refusal::new(code, &call.id).with_detail(format!("asked {source:?}"));
    refusal.route = Some(Arc::clone(&call.route.name));
    refusal
}

/// Counts and logs what became of a stream that a call continues.
pub(crate) fn record_result(
    node: &Node,
    call: &Call,
    taken_up: &TakenUp,
    result: &Result<Response<ResponseBody>, Refusal>,
) {
    let result_name = match result {
        Ok(response) if response.status().is_success() => "gone_on",
        Ok(_) => "passed",
        Err(refusal) => refusal.code.row().name,
    };
    let version = taken_up.origin.version;
    record(node, call, Some(version), taken_up.source, result_name);
}

/// Counts and logs one take-up.
fn record(node: &Node, call: &Call, version: Option<u64>, source: Source, result_name: &str) {
    let counter = &node.metrics.origins.take_ups_total;
    counter
        .with_label_values(&[source.name(), result_name])
        .inc();
    info!(node.log, "stream taken up"; "request" => call.id.clone(),
        "first_request" => format!("{:?}", call.continuation),
        "route" => call.route.name.as_ref(), "service" => call.service.name.as_ref(),
        "version" => version.map(|key| version_label(node, call, key)),
        "origin" => format!("{source:?}"), "result" => result_name);
}

/// Returns the name of a version if a worker of the service has it, else its key.
fn version_label(node: &Node, call: &Call, key: u64) -> String {
    let roster = node.roster();
    let mut workers = roster.of_service(&call.service.name);
    let worker = workers.find(|worker| worker.record.software.key() == key);
    worker.map_or_else(
        || format!("#{key:016x}"),
        |worker| worker.record.software.to_string(),
    )
}
