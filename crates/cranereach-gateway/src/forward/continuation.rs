//! Whether a request begins a stream or continues one.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use super::request::Call;
use crate::adapter::HeaderNames;
use crate::node::Node;
use cranereach_fleet::configuration::Route;
use cranereach_fleet::configuration::RouteKind;
use cranereach_fleet::key::worker_key;

/// Largest identity of a request or event that a continuation may name, in bytes.
const ID_MAX_BYTES: usize = 256;

/// The stream that a request is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// A new one.
    New,
    /// The one whose first event the request with this identity brought.
    Of(String),
    /// One of which the caller has events, but does not say which request brought the first.
    Unnamed,
}

impl Continuation {
    /// Reads the headers of a request; an error says what is wrong with them. They matter only on a
    /// route whose streams may be resumed.
    pub(super) fn read(
        route: &Route,
        headers: &HeaderMap,
        names: &HeaderNames,
    ) -> Result<Self, &'static str> {
        if route.kind != RouteKind::Stream || !route.may_repeat() {
            return Ok(Self::New);
        }
        let mut last_events = headers
            .get_all(HeaderName::from_static(names.last_event))
            .iter();
        let names_request = headers.contains_key(names.resumed_request);
        if !names_request && last_events.all(HeaderValue::is_empty) {
            // An empty identity stands for no event.
            return Ok(Self::New);
        }
        let last_event = single_id(headers, names.last_event)?;
        let first_request = single_id(headers, names.resumed_request)?;
        match (last_event, first_request) {
            (Some(_), Some(first_request)) => Ok(Self::Of(first_request.to_owned())),
            (Some(_), None) => Ok(Self::Unnamed),
            (None, Some(_)) => Err("a stream is to continue, but after no event"),
            (None, None) => Ok(Self::New),
        }
    }
}

/// Returns the identity in a header; none if the header is missing.
fn single_id<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(HeaderName::from_static(name)).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err("the stream to continue is named twice");
    }
    let id = value.to_str().unwrap_or_default().trim();
    if id.is_empty() || id.len() > ID_MAX_BYTES {
        return Err("the stream to continue is not named by an identity");
    }
    Ok(Some(id))
}

impl Call {
    /// Whether the call is for a stream that its caller may take up again.
    pub fn may_be_taken_up(&self) -> bool {
        self.is_stream() && self.route.may_repeat()
    }

    /// Returns the identity of the last event that the caller has of the stream; none if the call
    /// begins it.
    pub(super) fn last_event(&self, node: &Node) -> Option<&str> {
        let name = node.adapter.headers.last_event;
        let last_event = self.headers().get(name)?.to_str().ok()?;
        (self.continuation != Continuation::New).then_some(last_event.trim())
    }

    /// Moves the call to another service of its route, given by its key. Returns whether the route
    /// has that service.
    pub fn move_to(&mut self, node: &Node, service_key: u64) -> bool {
        if worker_key(&self.service.name) == service_key {
            return true;
        }
        let Some(configuration) = node.configuration() else {
            return false;
        };
        let mut targets = self.route.targets.iter();
        let target = targets.find(|target| worker_key(&target.service) == service_key);
        let service = target.and_then(|target| configuration.services.get(&target.service));
        let Some(service) = service else {
            return false;
        };
        if service.engine.is_some() != self.service.engine.is_some() {
            return false;
        }
        self.urgent_latency_target_ms =
            configuration.urgent_latency_target_ms(&service.name, self.route.priority);
        self.gap_aim_ms = configuration.gap_aim_ms(&service.name);
        self.service = Arc::clone(service);
        true
    }
}
