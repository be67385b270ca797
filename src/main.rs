//! Entry point of the `cranereach` binary: sets the allocator, parses the options and runs a
//! subcommand.

mod cmd;
mod exit;

use std::process::ExitCode;

use gumdrop::Options;
use mimalloc::MiMalloc;

use crate::cmd::Arguments;

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    cmd::execute(&arguments).into()
}
