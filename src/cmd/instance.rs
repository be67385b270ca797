//! A running instance as operators ask it, by its metrics address.

use std::path::PathBuf;

use super::gateway;
use crate::exit::Exit;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;

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
