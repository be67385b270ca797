//! `serve`: runs an entry instance until it receives SIGTERM or SIGINT.

use std::path::PathBuf;

use gumdrop::Options;
use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::exit::Exit;
use cranereach_entry::entry::Entry;
use cranereach_entry::settings::Settings;

/// Options of `serve`.
#[derive(Debug, Options)]
pub struct ServeArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file", required, meta = "FILE")]
    settings: PathBuf,
}

/// Runs the instance.
pub fn execute(options: &ServeArguments) -> Exit {
    let settings = match Settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Settings;
        }
    };
    super::block_on(run(settings))
}

/// Starts the instance, prints its addresses and shuts it down gracefully on the first signal.
async fn run(settings: Settings) -> Exit {
    let id = settings.instance.id.clone();
    let entry = match Entry::start(settings).await {
        Ok(entry) => entry,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Settings;
        }
    };
    super::print_json(&json!({ "started": id, "addresses": entry.addresses() }));
    wait_for_stop().await;
    // Further signals are ignored, so that they do not interrupt the drain.
    tokio::spawn(async {
        loop {
            wait_for_stop().await;
        }
    });
    entry.drain().await;
    super::print_json(&json!({ "stopped": id }));
    Exit::Success
}

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if a signal handler can't be installed.
pub(super) async fn wait_for_stop() {
    let mut terminate = signal(SignalKind::terminate()).expect("signal handlers can be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signal handlers can be installed");
    tokio::select! {
        _signal = terminate.recv() => {}
        _signal = interrupt.recv() => {}
    }
}
