//! `evacuate`: requests the evacuation of a failure domain, or withdraws the request.

use std::path::PathBuf;

use gumdrop::Options;

use super::gateway;
use crate::exit::Exit;
use cranereach_gateway::domains;
use cranereach_gateway::domains::DomainsError;
use cranereach_gateway::domains::EvacuationOutcome;
use cranereach_gateway::store::StoreError;
// Linked so that the platform adapter registers itself.
use cranereach_platform as _;

/// Options of `evacuate`.
#[derive(Debug, Options)]
pub struct EvacuateArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "failure domain", required)]
    domain: String,
    #[options(help = "withdraw the request")]
    withdraw: bool,
    #[options(
        help = "settings file of a gateway; by default, the one that CRANEREACH_CONFIG names",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
}

/// Writes the request to the platform's store.
pub fn execute(options: &EvacuateArguments) -> Exit {
    let settings = match gateway::settings(options.settings.as_ref()) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let request = domains::request_evacuation(&settings, &options.domain, options.withdraw);
    let action = if options.withdraw {
        "withdrawn"
    } else {
        "asked for"
    };
    match super::block_on_one_core(request) {
        Ok(EvacuationOutcome::At(version)) => {
            println!(
                "evacuation of {} {action} at version {version}",
                options.domain
            );
            if !options.withdraw {
                let bound_ms = settings.bounds.evacuation_ms;
                println!("its workers receive no more requests after {bound_ms} ms");
            }
            Exit::Success
        }
        Ok(EvacuationOutcome::Already) => {
            println!("evacuation of {} was already {action}", options.domain);
            Exit::Success
        }
        Err(error) => {
            eprintln!("{error}");
            exit_of(&error)
        }
    }
}

/// Maps an error to the exit status of the command.
pub fn exit_of(error: &DomainsError) -> Exit {
    match error {
        DomainsError::Unknown { .. } => Exit::Failure,
        DomainsError::ChangedConcurrently => Exit::Conflict,
        DomainsError::Adapter(_) => Exit::Settings,
        DomainsError::Store(StoreError::Unknown(_)) => Exit::OutcomeUnknown,
        DomainsError::Store(_) => Exit::Unavailable,
    }
}
