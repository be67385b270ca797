//! A running instance as operators ask it, by its metrics address.

use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::gateway;
use crate::exit::Exit;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
// Linked for the adapter that it registers.
use cranereach_platform as _;

/// Time for an answer, in milliseconds.
pub const ANSWER_WITHIN_MS: u64 = 3_000;

/// Makes the client of an instance: the one at an address, or that of a settings file.
pub fn client(address: Option<&String>, settings: Option<&PathBuf>) -> Result<JsonClient, Exit> {
    let address = match address {
        Some(address) => address.clone(),
        None => gateway::settings(settings)?.listen.metrics.to_string(),
    };
    Ok(JsonClient::new(&address))
}

/// Says why an instance could not be asked.
pub fn failed(client: &JsonClient, error: &CallError) -> Exit {
    eprintln!("{}: {error}", client.address());
    match error {
        CallError::NotSent { .. } => Exit::Unavailable,
        CallError::Unanswered { .. } | CallError::Garbled { .. } => Exit::Unknown,
    }
}

/// Asks an instance for a list at a path, and shows it.
pub fn list<T>(
    address: Option<&String>,
    settings: Option<&PathBuf>,
    path: &str,
    as_json: bool,
    show_one: impl Fn(&T),
) -> Exit
where
    T: Serialize + DeserializeOwned,
{
    let client = match client(address, settings) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    let listing = async {
        let answer = client.get(path, ANSWER_WITHIN_MS).await?;
        client.read::<Vec<T>>(&answer)
    };
    match super::block_on_one_core(listing) {
        Ok(shown) if as_json => super::print_json(&shown),
        Ok(shown) => shown.iter().for_each(show_one),
        Err(error) => return failed(&client, &error),
    }
    Exit::Done
}
