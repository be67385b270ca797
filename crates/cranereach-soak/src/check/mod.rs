//! The promises, each judged by the records of a run alone.

pub mod answer_ends;
pub mod answers;
pub mod bounded;
pub mod client_streams;
pub mod cold;
pub mod concentrated;
pub mod contact;
pub mod crash_requests;
pub mod gateway_health;
pub mod hidden_ends;
pub mod notices;
pub mod paths;
pub mod rate_limits;
pub mod recovery;
pub mod runs;
pub mod stop;
pub mod stream_order;
pub mod stream_versions;
pub mod taken_up;
pub mod tries;

use crate::record::Records;

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// How often the promise was tested.
    pub tried_count: usize,
    /// Descriptions of its violations.
    pub violations: Vec<String>,
}

impl Finding {
    /// Counts one trial, and adds the violation in it, if any.
    pub fn add_trial(&mut self, violation: Option<String>) {
        self.tried_count += 1;
        self.violations.extend(violation);
    }
}

/// Runs in which a promise is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applicability {
    /// All runs.
    Always,
    /// All but those of the test suite, where a slow machine alone could violate it.
    Timed,
}

/// A promise with its check.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    /// Name in the report.
    pub name: &'static str,
    /// Runs in which it is judged.
    pub applicability: Applicability,
    /// Judges the records by it.
    pub check: fn(&Records) -> Finding,
}

/// Builds a row of `PROMISES`.
const fn promise(
    name: &'static str,
    applicability: Applicability,
    check: fn(&Records) -> Finding,
) -> Promise {
    Promise {
        name,
        applicability,
        check,
    }
}

/// All promises, in the order of the report.
pub const PROMISES: [Promise; 28] = [
    promise("whole-answers", Applicability::Always, answers::check),
    promise(
        "streams-in-order",
        Applicability::Always,
        stream_order::check,
    ),
    promise("answer-ends", Applicability::Always, answer_ends::check),
    promise("one-version", Applicability::Always, stream_versions::check),
    promise("tries-in-order", Applicability::Always, tries::check),
    promise("taken-up", Applicability::Timed, taken_up::check),
    promise("at-most-once", Applicability::Always, runs::at_most_once),
    promise("not-run-is-true", Applicability::Always, runs::not_run),
    promise(
        "only-what-was-asked",
        Applicability::Always,
        runs::only_asked,
    ),
    promise("revoked-keys", Applicability::Always, bounded::revoked),
    promise(
        "no-end-by-itself",
        Applicability::Always,
        gateway_health::ends,
    ),
    promise(
        "nobody-denied",
        Applicability::Timed,
        gateway_health::denied,
    ),
    promise("leaving-workers", Applicability::Timed, bounded::leaving),
    promise(
        "configuration",
        Applicability::Timed,
        bounded::configuration,
    ),
    promise("planned-stops", Applicability::Timed, stop::check),
    promise("recovery", Applicability::Timed, recovery::check),
    promise("isolated-gateways", Applicability::Timed, paths::isolated),
    promise("reachable-workers", Applicability::Timed, paths::used),
    promise(
        "concentrated-connections",
        Applicability::Timed,
        concentrated::check,
    ),
    promise("resources", Applicability::Timed, gateway_health::resources),
    promise("evacuations", Applicability::Timed, bounded::evacuated),
    promise("cold-workers", Applicability::Timed, cold::check),
    promise(
        "ending-requests",
        Applicability::Timed,
        crash_requests::check,
    ),
    promise(
        "ending-parts",
        Applicability::Timed,
        crash_requests::check_parts,
    ),
    promise(
        "sound-streams",
        Applicability::Timed,
        crash_requests::check_sound_streams,
    ),
    promise("limited-workers", Applicability::Timed, rate_limits::check),
    promise("leaving-words", Applicability::Always, notices::leaving),
    promise("resting-workers", Applicability::Timed, notices::resting),
];
