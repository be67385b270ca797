//! The promises, each judged by the records alone.

pub mod bounded;
pub mod cold;
pub mod contact;
pub mod ending;
pub mod limited;
pub mod once;
pub mod order;
pub mod own;
pub mod own_words;
pub mod recovery;
pub mod stop;
pub mod whole;

use crate::record::Records;

/// What a checker found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// How often the promise was put to the test.
    pub tried_count: usize,
    /// How it was broken, in words.
    pub broken: Vec<String>,
}

impl Finding {
    /// Counts one trial; notes how the promise was broken in it, if it was.
    pub fn note(&mut self, broken: Option<String>) {
        self.tried_count += 1;
        self.broken.extend(broken);
    }
}

/// When a promise is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// In every run.
    Always,
    /// Not in runs of the test suite: a slow machine alone can break it.
    Timed,
}

/// A promise and who judges it.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    /// Its name, as in the report.
    pub name: &'static str,
    /// When it is judged.
    pub judged: Judged,
    /// Judges it.
    pub check: fn(&Records) -> Finding,
}

/// Makes a row of the table of promises.
const fn promise(name: &'static str, judged: Judged, check: fn(&Records) -> Finding) -> Promise {
    Promise {
        name,
        judged,
        check,
    }
}

/// All promises, in the order of the report.
pub const PROMISES: [Promise; 19] = [
    promise("whole-answers", Judged::Always, whole::check),
    promise("streams-in-order", Judged::Always, order::check),
    promise("at-most-once", Judged::Always, once::at_most_once),
    promise("not-run-is-true", Judged::Always, once::not_run),
    promise("only-what-was-asked", Judged::Always, once::only_asked),
    promise("revoked-keys", Judged::Always, bounded::revoked),
    promise("no-end-by-itself", Judged::Always, own::ends),
    promise("nobody-denied", Judged::Timed, own::denied),
    promise("leaving-workers", Judged::Timed, bounded::leaving),
    promise("configuration", Judged::Timed, bounded::configuration),
    promise("planned-stops", Judged::Timed, stop::check),
    promise("recovery", Judged::Timed, recovery::check),
    promise("resources", Judged::Timed, own::resources),
    promise("evacuations", Judged::Timed, bounded::evacuated),
    promise("cold-workers", Judged::Timed, cold::check),
    promise("ending-requests", Judged::Timed, ending::check),
    promise("limited-workers", Judged::Timed, limited::check),
    promise("leaving-words", Judged::Always, own_words::leaving),
    promise("resting-workers", Judged::Timed, own_words::resting),
];
