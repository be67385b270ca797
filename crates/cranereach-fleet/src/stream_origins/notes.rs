//! Notes of streams, limited in number, each with a deadline.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::Origin;

/// What the notes say of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Noted {
    /// Nothing.
    Nothing,
    /// It began there.
    At(Origin),
    /// Notes with its key contradict each other.
    Disputed,
}

impl Noted {
    /// Joins what two sets of notes say.
    pub(super) fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Nothing, said) | (said, Self::Nothing) => said,
            (said, other) if said == other => said,
            _ => Self::Disputed,
        }
    }
}

/// A note of one stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Note<T> {
    /// Where the stream began.
    pub(super) origin: Origin,
    /// When the note expires, in milliseconds.
    pub(super) expires_at_ms: u64,
    /// Whether another note with the same key names another origin.
    is_disputed: bool,
    /// What else is kept with the note.
    pub(super) detail: T,
}

/// Notes by the key of their stream.
#[derive(Clone, Debug)]
pub(super) struct Notes<T> {
    by_key: HashMap<u64, Note<T>>,
    by_expiry: BTreeSet<(u64, u64)>,
}

impl<T> Default for Notes<T> {
    fn default() -> Self {
        Self {
            by_key: HashMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }
}

impl<T: Default> Notes<T> {
    /// Adds a note or moves the deadline of an earlier one; its detail starts anew. If there are
    /// too many, the notes that expire first are dropped.
    pub(super) fn put(
        &mut self,
        now_ms: u64,
        key: u64,
        origin: Origin,
        expires_at_ms: u64,
        max_count: usize,
    ) {
        self.drop_expired(now_ms);
        let mut note = Note {
            origin,
            expires_at_ms,
            is_disputed: false,
            detail: T::default(),
        };
        if let Some(known) = self.by_key.remove(&key) {
            self.by_expiry.remove(&(known.expires_at_ms, key));
            note.expires_at_ms = expires_at_ms.max(known.expires_at_ms);
            note.is_disputed = known.is_disputed || known.origin != origin;
        }
        self.by_expiry.insert((note.expires_at_ms, key));
        self.by_key.insert(key, note);
        while self.by_key.len() > max_count
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.by_key.remove(&first);
        }
    }
}

impl<T> Notes<T> {
    /// Returns what is noted of a stream.
    pub(super) fn get(&self, now_ms: u64, key: u64) -> Noted {
        match self.by_key.get(&key) {
            Some(note) if now_ms >= note.expires_at_ms => Noted::Nothing,
            Some(note) if note.is_disputed => Noted::Disputed,
            Some(note) => Noted::At(note.origin),
            None => Noted::Nothing,
        }
    }

    /// Returns a note that has not expired and is not disputed.
    pub(super) fn get_mut(&mut self, now_ms: u64, key: u64) -> Option<&mut Note<T>> {
        let note = self.by_key.get_mut(&key);
        note.filter(|note| now_ms < note.expires_at_ms && !note.is_disputed)
    }

    /// Lists the keys of all notes, those that expire first at the front.
    pub(super) fn keys(&self) -> impl Iterator<Item = u64> {
        self.by_expiry.iter().map(|(_, key)| *key)
    }

    /// Counts the notes.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Drops the notes that have expired.
    pub(super) fn drop_expired(&mut self, now_ms: u64) {
        while let Some(&(expires_at_ms, key)) = self.by_expiry.first() {
            if now_ms < expires_at_ms {
                break;
            }
            self.by_expiry.pop_first();
            self.by_key.remove(&key);
        }
    }
}
