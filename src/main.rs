//! Entry point of the `cranereach` binary: sets the allocator, parses the options and runs a
//! subcommand.

mod cmd;
mod exit;

use std::env;
use std::process::ExitCode;

use gumdrop::Options;
use mimalloc::MiMalloc;

use crate::cmd::Arguments;
use crate::exit::Exit;

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    // The parser of arguments panics on them.
    if let Some(argument) = env::args_os().find(|argument| argument.to_str().is_none()) {
        eprintln!(
            "cranereach: argument {} is not valid UTF-8",
            argument.display()
        );
        return Exit::Usage.into();
    }
    let arguments = Arguments::parse_args_default_or_exit();
    cmd::execute(&arguments).into()
}
