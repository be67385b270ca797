//! `pull`: fetches the active declarations into a folder.

use std::path::PathBuf;

use gumdrop::Options;

use super::folder;
use crate::exit::Exit;
use cranereach_entry::apply::Stores;
use cranereach_entry::settings::Settings;

/// Options of `pull`.
#[derive(Debug, Options)]
pub struct PullArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "folder to write into")]
    folder: PathBuf,
    #[options(
        help = "settings file, for the platform's addresses",
        required,
        meta = "FILE"
    )]
    settings: PathBuf,
}

/// Writes the active declarations into the folder.
pub fn execute(options: &PullArguments) -> Exit {
    let settings = match Settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Settings;
        }
    };
    let stores = Stores::new(&settings.platform.table, &settings.platform.objects);
    let current = match super::block_on(stores.current()) {
        Ok(current) => current,
        Err(error) => {
            eprintln!(
                "{} {}: {error}",
                error.code().row().number,
                error.code().row().name
            );
            return error.code().into();
        }
    };
    if let Err(error) = folder::write(&options.folder, &current.folder, current.head.version) {
        eprintln!("{error}");
        return Exit::Failure;
    }
    println!(
        "version {} written to {}",
        current.head.version,
        options.folder.display()
    );
    Exit::Success
}
