//! Pending questions to peers, matched to their answers by ticket.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::node::lock;

/// Pending questions of one kind.
#[derive(Debug)]
pub struct Questions<T> {
    pending: Mutex<HashMap<u64, UnboundedSender<T>>>,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
        }
    }
}

/// A pending question, removed on drop, also when its caller has disconnected.
#[derive(Debug)]
pub struct Question<'a, T> {
    questions: &'a Questions<T>,
    /// Number that answers must carry.
    pub ticket: u64,
    /// Answers received so far.
    pub answers: UnboundedReceiver<T>,
}

impl<T> Drop for Question<'_, T> {
    fn drop(&mut self) {
        lock(&self.questions.pending).remove(&self.ticket);
    }
}

impl<T> Questions<T> {
    /// Opens a question.
    pub fn open(&self) -> Question<'_, T> {
        let ticket = rand::random();
        let (sender, answers) = mpsc::unbounded_channel();
        lock(&self.pending).insert(ticket, sender);
        Question {
            questions: self,
            ticket,
            answers,
        }
    }

    /// Returns the number of pending questions.
    pub fn open_count(&self) -> usize {
        lock(&self.pending).len()
    }

    /// Delivers an answer to the question with this ticket.
    pub fn answered(&self, ticket: u64, answer: T) {
        if let Some(asker) = lock(&self.pending).get(&ticket) {
            // The receiver may have been dropped.
            let _taken = asker.send(answer);
        }
    }
}
