//! A request that is open at a worker, counted until it is dropped.

use std::sync::Arc;

use crate::node::Node;
use cranereach_fleet::roster::Choice;
use cranereach_fleet::worker::Wanted;

/// Counts a request at a worker; its end is counted when this is dropped.
#[derive(Debug)]
pub struct OpenCall {
    node: Arc<Node>,
    worker: Arc<str>,
    unread_tokens: Option<u32>,
    held_tokens: u32,
}

impl OpenCall {
    /// Notes that a request is being sent.
    pub fn begin(node: &Arc<Node>, choice: &Choice, wanted: &Wanted<'_>) -> Self {
        let now_ms = node.now_ms();
        if let Some(worker) = node.roster().get_mut(&choice.id) {
            worker.began(now_ms, wanted, choice.unread_tokens);
        }
        node.metrics.open_requests.inc();
        Self {
            node: Arc::clone(node),
            worker: Arc::clone(&choice.id),
            unread_tokens: Some(choice.unread_tokens),
            held_tokens: wanted.held_tokens,
        }
    }

    /// Notes that the prompt has been read: the answer has begun.
    pub fn read(&mut self) {
        let Some(unread_tokens) = self.unread_tokens.take() else {
            return;
        };
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.read(unread_tokens);
        }
    }

    /// Notes a whole answer.
    pub fn succeeded(&self) {
        let now_ms = self.node.now_ms();
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.health.succeeded(now_ms);
        }
    }

    /// Notes a call that failed after it was sent.
    pub fn failed(&self) {
        let now_ms = self.node.now_ms();
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.health.failed(now_ms);
        }
    }

    /// Returns the worker.
    pub fn worker(&self) -> &Arc<str> {
        &self.worker
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.read();
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.ended(self.held_tokens);
        }
        self.node.metrics.open_requests.dec();
    }
}
