//! `check`: validates declarations and settings without using the network.

use std::path::PathBuf;

use gumdrop::Options;

use super::folder;
use crate::exit::Exit;
use cranereach_core::snapshot::KeyHash;
use cranereach_entry::settings::Settings;
use cranereach_gateway::settings::Settings as GatewaySettings;

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "folder of declarations")]
    folder: Option<PathBuf>,
    #[options(help = "settings file to check", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "settings file of a gateway to check", meta = "FILE")]
    gateway_settings: Option<PathBuf>,
    #[options(help = "print the hash of a bearer key, for key_hashes", meta = "KEY")]
    hash_key: Option<String>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Checks the files that the options name, or prints the hash of a key.
pub fn execute(options: &CheckArguments) -> Exit {
    if let Some(key) = &options.hash_key {
        println!("{}", KeyHash::of(key).to_hex());
        return Exit::Success;
    }
    let has_settings = options.settings.is_some() || options.gateway_settings.is_some();
    if options.folder.is_none() && !has_settings {
        eprintln!("{}", CheckArguments::usage());
        return Exit::Usage;
    }
    if let Some(path) = &options.settings
        && let Err(error) = Settings::read(path)
    {
        eprintln!("{error}");
        return Exit::Settings;
    }
    if let Some(path) = &options.gateway_settings
        && let Err(error) = GatewaySettings::read(path)
    {
        eprintln!("{error}");
        return Exit::Settings;
    }
    let Some(path) = &options.folder else {
        return Exit::Success;
    };
    let read = match folder::read(path) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Failure;
        }
    };
    let findings = folder::check(path, &read);
    folder::print(&findings, options.json);
    if findings.is_empty() {
        Exit::Success
    } else {
        Exit::Failure
    }
}
