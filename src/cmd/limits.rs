//! `limits`: shows the workers that name a limit.

use std::path::PathBuf;

use gumdrop::Options;

use super::instance;
use super::instance::ANSWER_WITHIN_MS;
use crate::exit::Exit;
use cranereach_gateway::named_limits::ShownLimit;
use cranereach_gateway::operators::LIMITS_PATH;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
// Linked for the adapter that it registers.
use cranereach_platform as _;

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
    let client = match instance::client(options.instance.as_ref(), options.settings.as_ref()) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    let shown = super::block_on_one_core(show(&client, options.json));
    shown.map_or_else(|error| instance::failed(&client, &error), |()| Exit::Done)
}

/// Shows what an instance knows.
async fn show(client: &JsonClient, as_json: bool) -> Result<(), CallError> {
    let answer = client.get(LIMITS_PATH, ANSWER_WITHIN_MS).await?;
    let shown: Vec<ShownLimit> = client.read(&answer)?;
    if as_json {
        super::print_json(&shown);
    } else {
        shown.iter().for_each(show_one);
    }
    Ok(())
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
