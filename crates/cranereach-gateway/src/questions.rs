//! Questions to peers that wait for answers, told apart by a number.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::node::lock;

/// Questions of one kind that wait for answers.
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

/// A question that is forgotten when it is dropped, also with a caller who left.
#[derive(Debug)]
pub struct Question<'a, T> {
    questions: &'a Questions<T>,
    /// Number that answers have to name.
    pub ticket: u64,
    /// The answers.
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

    /// Counts the questions that wait.
    pub fn open_count(&self) -> usize {
        lock(&self.pending).len()
    }

    /// Hands an answer to whoever asked.
    pub fn answered(&self, ticket: u64, answer: T) {
        if let Some(asker) = lock(&self.pending).get(&ticket) {
            // Whoever asked may have stopped waiting.
            let _taken = asker.send(answer);
        }
    }
}
