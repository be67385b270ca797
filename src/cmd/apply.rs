//! `apply`: publishes a folder of declarations as the active configuration.

use std::path::PathBuf;

use gumdrop::Options;
use serde_json::json;

use super::folder;
use super::plan::read_inputs;
use crate::exit::Exit;
use cranereach_entry::apply::Stores;

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "folder of declarations")]
    folder: PathBuf,
    #[options(
        help = "settings file, for the platform's addresses",
        required,
        meta = "FILE"
    )]
    settings: PathBuf,
    #[options(help = "ID of the change; use the same one to retry it", meta = "ID")]
    change: Option<String>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Applies the folder and, if it was accepted unmerged, records its new base version.
pub fn execute(options: &ApplyArguments) -> Exit {
    let (settings, local) = match read_inputs(&options.settings, &options.folder) {
        Ok(inputs) => inputs,
        Err(exit) => return exit,
    };
    let stores = Stores::new(&settings.platform.table, &settings.platform.objects);
    let base_version = match folder::read_base_version(&options.folder) {
        Ok(base_version) => base_version,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Failure;
        }
    };
    let change_id = options
        .change
        .clone()
        .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    match super::block_on(stores.apply(&local, base_version, &change_id)) {
        Ok(accepted) => {
            if options.json {
                super::print_json(
                    &json!({ "version": accepted.version, "change": accepted.change_id, "hash": accepted.hash }),
                );
            } else {
                println!(
                    "version {} accepted (change {})",
                    accepted.version, accepted.change_id
                );
            }
            // An accepted version that isn't the next one was merged with other operators' changes,
            // so the folder doesn't equal it and keeps its base version.
            let is_unmerged = accepted.version == base_version + 1;
            let saved = if is_unmerged {
                folder::write_base_version(&options.folder, accepted.version)
            } else {
                Ok(())
            };
            saved.map_or_else(
                |error| {
                    eprintln!("{error}");
                    Exit::Failure
                },
                |()| Exit::Success,
            )
        }
        Err(error) => {
            eprintln!(
                "{} {}: {error}",
                error.code().row().number,
                error.code().row().name
            );
            error.code().into()
        }
    }
}
