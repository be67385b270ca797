//! Tracks when models that waiting requests need are expected to be loaded, as reported by lease
//! holders.
//!
//! An instance tells the holder of a service's lease which models its requests lack. The holder
//! answers which of them are being loaded and how much longer that takes. A request then waits only
//! if its model will be ready in time; otherwise the caller is told when to retry.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::messages::ExpectedModel;
use crate::messages::Message;
use crate::node::AnnouncedChanges;
use crate::node::Node;
use crate::node::lock;
use cranereach_fleet::key::worker_key;

/// Time for which a holder's answer is valid, in milliseconds; plans change with demand.
const ANSWER_VALID_MS: u64 = 1_000;

/// Maximum number of models in one question or answer.
pub const QUERIED_MAX_COUNT: usize = 64;

/// Maximum number of models whose answers are cached.
const CACHED_MAX_COUNT: usize = 4_096;

/// A holder's answer about one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// The model is expected to be ready at this time, in milliseconds.
    At(u64),
    /// The model is not being loaded.
    NotLoading,
}

/// Answers by service and model, each with the time of its receipt.
#[derive(Clone, Debug, Default)]
pub struct ExpectedModels {
    answers: HashMap<(u64, u16), (u64, Expectation)>,
}

impl ExpectedModels {
    /// Stores a holder's answer.
    ///
    /// ```
    /// use cranereach_gateway::expected_models::ExpectedModels;
    /// use cranereach_gateway::expected_models::Expectation;
    ///
    /// let mut expected = ExpectedModels::default();
    /// expected.insert(1_000, (7, 3), Expectation::At(4_000));
    /// assert_eq!(expected.lookup(1_500, (7, 3)), Some(Expectation::At(4_000)));
    /// assert_eq!(expected.lookup(2_500, (7, 3)), None);
    /// ```
    pub fn insert(&mut self, now_ms: u64, model: (u64, u16), expectation: Expectation) {
        if self.answers.len() >= CACHED_MAX_COUNT {
            self.answers
                .retain(|_, (received_ms, _)| now_ms < *received_ms + ANSWER_VALID_MS);
        }
        if self.answers.len() < CACHED_MAX_COUNT {
            self.answers.insert(model, (now_ms, expectation));
        }
    }

    /// Returns the answer about a model if it is recent enough.
    pub fn lookup(&self, now_ms: u64, model: (u64, u16)) -> Option<Expectation> {
        let cached = self.answers.get(&model);
        let recent = cached.filter(|(received_ms, _)| now_ms < received_ms + ANSWER_VALID_MS);
        recent.map(|(_, expectation)| *expectation)
    }
}

/// Returns the answer about a model from the lease holder, which may be this instance.
pub fn expectation(node: &Node, service: &str, model: u16) -> Option<Expectation> {
    if let Some(announced) = node.announced().get(service) {
        return Some(local_answer(announced, model));
    }
    lock(&node.expected_models).lookup(node.now_ms(), (worker_key(service), model))
}

/// Returns the answer about a model from this instance as the lease holder.
fn local_answer(announced: &AnnouncedChanges, model: u16) -> Expectation {
    let at_ms = announced.loading.get(&model).copied();
    at_ms.map_or(Expectation::NotLoading, Expectation::At)
}

/// Answers a peer whose requests lack some models, for the leases held by this instance.
pub fn answer(node: &Node, peer: Ipv4Addr, lacks: &[(u64, u16)]) {
    let now_ms = node.now_ms();
    let mut answers = Vec::new();
    for (service, announced) in node.announced().iter() {
        let key = worker_key(service);
        let asked = lacks.iter().take(QUERIED_MAX_COUNT);
        for (_, model) in asked.filter(|(service_key, _)| *service_key == key) {
            let in_ms = match local_answer(announced, *model) {
                Expectation::At(at_ms) => Some(at_ms.saturating_sub(now_ms) as u32),
                Expectation::NotLoading => None,
            };
            answers.push(ExpectedModel {
                service: key,
                model: *model,
                in_ms,
            });
        }
    }
    if !answers.is_empty() {
        let peer = SocketAddr::from((peer, node.peer_port()));
        node.send_now(peer, Message::Expected(answers));
    }
}

/// Stores a holder's answers and wakes the requests that wait for them.
pub fn take(node: &Node, answers: &[ExpectedModel]) {
    let now_ms = node.now_ms();
    let mut expected = lock(&node.expected_models);
    for answer in answers.iter().take(QUERIED_MAX_COUNT) {
        let expectation = answer.in_ms.map_or(Expectation::NotLoading, |in_ms| {
            Expectation::At(now_ms + u64::from(in_ms))
        });
        expected.insert(now_ms, (answer.service, answer.model), expectation);
    }
    drop(expected);
    node.expected_changed.notify_waiters();
}
