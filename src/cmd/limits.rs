//! `limits`: shows the workers that name a limit.

use super::instance;
use super::instance::ListArguments;
use crate::exit::Exit;
use cranereach_gateway::named_limits::LimitedWorker;
use cranereach_gateway::operators::LIMITS_PATH;

/// Asks an instance.
pub fn execute(options: &ListArguments) -> Exit {
    instance::list(options, LIMITS_PATH, show_one)
}

/// Shows one worker.
fn show_one(shown: &LimitedWorker) {
    println!(
        "{} of {}: {} a second, for {} s; granted here {}, refused {}",
        shown.worker,
        shown.service,
        shown.rate_per_s,
        shown.for_ms / 1_000,
        shown.granted_count,
        shown.refused_count
    );
}
