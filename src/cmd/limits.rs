//! `limits`: shows the workers that announce a rate limit.

use super::instance;
use super::instance::ListArguments;
use crate::exit::Exit;
use cranereach_gateway::named_limits::LimitedWorker;
use cranereach_gateway::operators::LIMITS_PATH;

/// Fetches the rate limits from an instance and prints them.
pub fn execute(options: &ListArguments) -> Exit {
    instance::list(options, LIMITS_PATH, show_one)
}

/// Prints the limit of one worker.
fn show_one(limit: &LimitedWorker) {
    println!(
        "{} of {}: {} requests/s, known for {} s; granted by this instance {}, refused {}",
        limit.worker,
        limit.service,
        limit.rate_per_s,
        limit.for_ms / 1_000,
        limit.granted_count,
        limit.refused_count
    );
}
