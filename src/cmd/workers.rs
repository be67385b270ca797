//! `workers`: shows the workers that are leaving or have asked for a rest.

use super::instance;
use super::instance::ListArguments;
use crate::exit::Exit;
use cranereach_gateway::operators::WORKERS_PATH;
use cranereach_gateway::unavailable_workers::UnavailableWorker;

/// Fetches these workers from an instance and prints them.
pub fn execute(options: &ListArguments) -> Exit {
    instance::list(options, WORKERS_PATH, show_one)
}

/// Prints one worker.
fn show_one(entry: &UnavailableWorker) {
    let UnavailableWorker {
        worker, service, ..
    } = entry;
    if let Some(leaving) = &entry.leaving {
        let since = leaving.for_ms.map_or_else(String::new, |for_ms| {
            format!(", known for {}", seconds(for_ms))
        });
        println!(
            "{worker} of {service}: leaving, reported by {}{since}",
            leaving.by
        );
    }
    if let Some(rest) = &entry.rest {
        println!(
            "{worker} of {service}: resting for {}, {} left",
            seconds(rest.for_ms),
            seconds(rest.ends_in_ms)
        );
    }
}

/// Formats a duration in seconds.
fn seconds(time_ms: u64) -> String {
    format!("{:.1} s", time_ms as f64 / 1_000.0)
}
