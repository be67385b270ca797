//! `gateway`: runs a gateway instance, which serves the routes that are declared on the platform.

use std::path::PathBuf;

use gumdrop::Options;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::serve::wait_for_stop;
use crate::exit::Exit;
use cranereach_gateway::run::Gateway;
use cranereach_gateway::settings::Settings;
use cranereach_http::connector::Connector;
// Linked so that the platform adapter registers itself.
use cranereach_platform as _;

/// Environment variable with the path of the settings file, used if no option gives it.
const SETTINGS_VARIABLE: &str = "CRANEREACH_CONFIG";

/// Options of `gateway`.
#[derive(Debug, Options)]
pub struct GatewayArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "settings file; by default, the one that CRANEREACH_CONFIG names",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
}

/// Runs the instance.
pub fn execute(options: &GatewayArguments) -> Exit {
    match settings(options.settings.as_ref()) {
        Ok(settings) => super::block_on_one_core(run(settings, Connector::default())),
        Err(exit) => exit,
    }
}

/// Reads the settings from the file that the option or else the environment variable names.
/// Prints the error if that fails.
pub fn settings(path_option: Option<&PathBuf>) -> Result<Settings, Exit> {
    let path_variable = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = path_option.cloned().or(path_variable) else {
        eprintln!("no settings file: give --settings or set {SETTINGS_VARIABLE}");
        return Err(Exit::Settings);
    };
    Settings::read(&path).map_err(|error| {
        eprintln!("{error}");
        Exit::Settings
    })
}

/// Starts the instance, which opens its connections to workers with a connector, and shuts it down
/// gracefully on the first signal.
pub async fn run(settings: Settings, worker_connector: Connector) -> Exit {
    let gateway = match Gateway::start_with(settings, worker_connector).await {
        Ok(gateway) => gateway,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Settings;
        }
    };
    // SIGHUP is ignored: a changed settings file takes effect at the next start.
    let reload = signal(SignalKind::hangup());
    if let Ok(mut reload) = reload {
        tokio::spawn(async move { while reload.recv().await.is_some() {} });
    }
    wait_for_stop().await;
    // Further signals are ignored, so that they do not interrupt the drain.
    tokio::spawn(async {
        loop {
            wait_for_stop().await;
        }
    });
    gateway.drain().await;
    Exit::Success
}
