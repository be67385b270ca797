//! `limits`: shows the workers that name a limit.

use std::path::PathBuf;

use gumdrop::Options;

use super::instance;
use crate::exit::Exit;
use cranereach_gateway::named_limits::ShownLimit;
use cranereach_gateway::operators::LIMITS_PATH;

/// Options of `limits`.
#[derive(Debug, Options)]
pub struct LimitsArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "metrics address of a gateway; that of the settings otherwise",
        meta = "IP:PORT"
    )]
    instance: Option<String>,
    #[options(
        help = "a gateway's settings file; CRANEREACH_CONFIG names it otherwise",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Asks an instance.
pub fn execute(options: &LimitsArguments) -> Exit {
    instance::list(
        options.instance.as_ref(),
        options.settings.as_ref(),
        LIMITS_PATH,
        options.json,
        show_one,
    )
}

/// Shows one worker.
fn show_one(shown: &ShownLimit) {
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
