//! `workers`: shows the workers that leave or rest.

use std::path::PathBuf;

use gumdrop::Options;

use super::instance;
use crate::exit::Exit;
use cranereach_gateway::operators::WORKERS_PATH;
use cranereach_gateway::own_words::ShownWorker;

/// Options of `workers`.
#[derive(Debug, Options)]
pub struct WorkersArguments {
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
pub fn execute(options: &WorkersArguments) -> Exit {
    instance::list(
        options.instance.as_ref(),
        options.settings.as_ref(),
        WORKERS_PATH,
        options.json,
        show_one,
    )
}

/// Shows one worker.
fn show_one(shown: &ShownWorker) {
    let ShownWorker {
        worker, service, ..
    } = shown;
    if let Some(leaving) = &shown.leaving {
        let since = leaving.for_ms.map_or_else(String::new, |for_ms| {
            format!(", known for {}", seconds(for_ms))
        });
        println!(
            "{worker} of {service}: leaves by the word of {}{since}",
            leaving.by
        );
    }
    if let Some(rest) = &shown.rest {
        println!(
            "{worker} of {service}: rests for {}, {} more",
            seconds(rest.for_ms),
            seconds(rest.ends_in_ms)
        );
    }
}

/// Writes a time in seconds.
fn seconds(time_ms: u64) -> String {
    format!("{:.1} s", time_ms as f64 / 1_000.0)
}
