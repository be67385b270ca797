//! `status`: shows the state of an entry instance, or whether a change was accepted.

use std::path::PathBuf;

use gumdrop::Options;
use serde_json::Value;
use serde_json::json;

use crate::exit::Exit;
use cranereach_entry::platform::table::Table;
use cranereach_entry::settings::Settings;
use cranereach_http::client::JsonClient;
use cranereach_wire::head_row::HEAD_KEY;
use cranereach_wire::head_row::HeadRow;

/// Time-out for a response, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Options of `status`.
#[derive(Debug, Options)]
pub struct StatusArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "settings file, for the token and the platform's addresses",
        required,
        meta = "FILE"
    )]
    settings: PathBuf,
    #[options(help = "operators' address of the instance", meta = "IP:PORT")]
    instance: Option<String>,
    #[options(help = "show whether a change was accepted", meta = "ID")]
    change: Option<String>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Shows the status of a change or of an instance.
pub fn execute(options: &StatusArguments) -> Exit {
    let settings = match Settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Settings;
        }
    };
    match (&options.instance, &options.change) {
        (_, Some(change)) => super::block_on(change_status(&settings, change, options.json)),
        (Some(address), None) => super::block_on(instance_status(&settings, address, options.json)),
        (None, None) => {
            eprintln!("{}", StatusArguments::usage());
            Exit::Usage
        }
    }
}

/// Prints whether a change was accepted, according to the table.
async fn change_status(settings: &Settings, change: &str, as_json: bool) -> Exit {
    let table = Table::new(&settings.platform.table);
    let row = match table.read::<HeadRow>(HEAD_KEY).await {
        Ok(row) => row.value,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Unavailable;
        }
    };
    let found = row.find(change);
    let version = found.map(|accepted| accepted.version);
    if as_json {
        super::print_json(&json!({ "change": change, "accepted_version": version }));
    } else {
        match version {
            Some(version) => println!("change {change} was accepted as version {version}"),
            None => println!(
                "change {change} is not among the last {} accepted changes",
                row.history.len()
            ),
        }
    }
    if version.is_some() {
        Exit::Success
    } else {
        Exit::Failure
    }
}

/// Prints the status that an instance reports.
async fn instance_status(settings: &Settings, address: &str, as_json: bool) -> Exit {
    let token = settings.operators.token.clone().unwrap_or_default();
    let client = JsonClient::new(address).with_token(&token);
    let status: Value = match client.get("/status", ANSWER_TIMEOUT_MS).await {
        Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
        Err(error) => {
            eprintln!("{error}");
            return Exit::Unavailable;
        }
    };
    if as_json {
        super::print_json(&status);
    } else {
        println!(
            "{}",
            serde_json::to_string_pretty(&status).unwrap_or_default()
        );
    }
    if status.get("error").is_some() {
        Exit::Failure
    } else {
        Exit::Success
    }
}
