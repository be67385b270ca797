//! `domains`: shows the failure domains as recorded in the platform's store.

use std::path::PathBuf;

use gumdrop::Options;

use super::evacuate;
use super::gateway;
use crate::exit::Exit;
use cranereach_gateway::domains;
use cranereach_gateway::domains::DomainState;

/// Options of `domains`.
#[derive(Debug, Options)]
pub struct DomainsArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "settings file of a gateway; by default, the one that CRANEREACH_CONFIG names",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Shows the failure domains.
pub fn execute(options: &DomainsArguments) -> Exit {
    let settings = match gateway::settings(options.settings.as_ref()) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    match super::block_on_one_core(domains::list_states(&settings)) {
        Ok(states) if options.json => super::print_json(&states),
        Ok(states) => states.iter().for_each(show),
        Err(error) => {
            eprintln!("{error}");
            return evacuate::exit_of(&error);
        }
    }
    Exit::Success
}

/// Shows one failure domain.
fn show(state: &DomainState) {
    let status = match state.evacuated_since_version {
        Some(version) => format!("evacuated since version {version}"),
        None => "in use".to_owned(),
    };
    println!(
        "{}: {status}; workers: {} ready, {} leaving, {} cold; models with no copy elsewhere: {}",
        state.name,
        state.ready_count,
        state.leaving_count,
        state.cold_count,
        state.only_here.len()
    );
    for model in &state.only_here {
        println!("  {model}");
    }
}
