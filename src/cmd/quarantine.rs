//! `quarantine`: shows the requests that are suspected of crashing workers, or releases one.

use std::path::PathBuf;

use bytes::Bytes;
use gumdrop::Options;

use super::instance;
use super::instance::ANSWER_TIMEOUT_MS;
use crate::exit::Exit;
use cranereach_gateway::operators::QUARANTINE_PATH;
use cranereach_gateway::operators::RELEASE_PATH;
use cranereach_gateway::quarantine::listing::SuspectEntry;
use cranereach_gateway::quarantine::listing::SuspectKind;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
// Linked so that the platform adapter registers itself.
use cranereach_platform as _;

/// Options of `quarantine`.
#[derive(Debug, Options)]
pub struct QuarantineArguments {
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
    #[options(help = "release a request from quarantine", meta = "FINGERPRINT")]
    release: Option<String>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Lists or releases quarantined requests through an instance.
pub fn execute(options: &QuarantineArguments) -> Exit {
    let client = match instance::client(options.instance.as_ref(), options.settings.as_ref()) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    let result = if let Some(fingerprint) = &options.release {
        super::block_on_one_core(release(&client, fingerprint))
    } else {
        let listing = instance::show(&client, QUARANTINE_PATH, options.json, show_one);
        super::block_on_one_core(listing).map(|()| Exit::Success)
    };
    result.unwrap_or_else(|error| instance::report_error(&client, &error))
}

/// Prints one suspect.
fn show_one(suspect: &SuspectEntry) {
    let state = if suspect.is_quarantined {
        "refused"
    } else {
        "suspected"
    };
    let kind = match suspect.kind {
        SuspectKind::Request => "request",
        SuspectKind::Part => "part of prompts",
    };
    println!(
        "{} {kind} {state}; route {:?}, account {:?}; refused {} times by this instance",
        suspect.fingerprint, suspect.route, suspect.account, suspect.refused_count
    );
    for end in &suspect.ends {
        println!("  worker {} ended {} s ago", end.worker, end.age_ms / 1_000);
    }
}

/// Releases a request from quarantine.
async fn release(client: &JsonClient, fingerprint: &str) -> Result<Exit, CallError> {
    let path = format!("{RELEASE_PATH}{fingerprint}");
    let answer = client
        .post_bytes(&path, Bytes::new(), ANSWER_TIMEOUT_MS)
        .await?;
    Ok(match answer.status {
        200 => {
            println!("{fingerprint} is released; the other instances are notified within a second");
            Exit::Success
        }
        404 => {
            eprintln!("{fingerprint} is neither quarantined nor suspected on that instance");
            Exit::Failure
        }
        _ => {
            eprintln!("{fingerprint:?} is not a fingerprint: expected 32 hexadecimal digits");
            Exit::Usage
        }
    })
}
