//! Queries to a running gateway instance over its metrics address.

use std::path::PathBuf;

use gumdrop::Options;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::gateway;
use crate::exit::Exit;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
// Linked so that the platform adapter registers itself.
use cranereach_platform as _;

/// Time-out for a response, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Creates a client of the instance at the address, or else at the metrics address in the
/// settings file.
pub fn client(address: Option<&String>, settings: Option<&PathBuf>) -> Result<JsonClient, Exit> {
    let address = match address {
        Some(address) => address.clone(),
        None => gateway::settings(settings)?.listen.metrics.to_string(),
    };
    Ok(JsonClient::new(&address))
}

/// Prints why a call failed and returns the exit status.
pub fn report_error(client: &JsonClient, error: &CallError) -> Exit {
    eprintln!("{}: {error}", client.address());
    match error {
        CallError::NotSent { .. } | CallError::NotPermitted { .. } => Exit::Unavailable,
        CallError::Unanswered { .. } | CallError::Garbled { .. } => Exit::OutcomeUnknown,
    }
}

/// Options of the subcommands that show a list from an instance.
#[derive(Debug, Options)]
pub struct ListArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "metrics address of a gateway; by default, the one in the settings",
        meta = "IP:PORT"
    )]
    instance: Option<String>,
    #[options(
        help = "settings file of a gateway; by default, the one that CRANEREACH_CONFIG names",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Fetches a list from an instance and prints it; entry point of such a subcommand.
pub fn list<T>(options: &ListArguments, path: &str, show_one: impl Fn(&T)) -> Exit
where
    T: Serialize + DeserializeOwned,
{
    let client = match client(options.instance.as_ref(), options.settings.as_ref()) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    match super::block_on_one_core(show(&client, path, options.json, show_one)) {
        Ok(()) => Exit::Success,
        Err(error) => report_error(&client, &error),
    }
}

/// Fetches the list at a path and prints it, as JSON or item by item.
pub async fn show<T>(
    client: &JsonClient,
    path: &str,
    as_json: bool,
    show_one: impl Fn(&T),
) -> Result<(), CallError>
where
    T: Serialize + DeserializeOwned,
{
    let answer = client.get(path, ANSWER_TIMEOUT_MS).await?;
    let items: Vec<T> = client.read(&answer)?;
    if as_json {
        super::print_json(&items);
    } else {
        items.iter().for_each(show_one);
    }
    Ok(())
}
