//! Process exit codes, as listed in `docs/CODES.md`.

use std::process::ExitCode;

use cranereach_core::codes::ResultCode;

/// Outcome of a command, which becomes the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked.
    Success,
    /// The command ran but found faults, or could not do what was asked.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The settings are invalid.
    Settings,
    /// A conflicting change by another operator was accepted first.
    Conflict,
    /// A store or process could not be reached; nothing was changed.
    Unavailable,
    /// The change may or may not have taken effect.
    OutcomeUnknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::Settings => 3,
            Exit::Conflict => 4,
            Exit::Unavailable => 5,
            Exit::OutcomeUnknown => 6,
        })
    }
}

impl From<ResultCode> for Exit {
    fn from(code: ResultCode) -> Self {
        match code {
            ResultCode::RaceLost => Self::Conflict,
            ResultCode::StoreUnavailable => Self::Unavailable,
            ResultCode::AcceptanceUnknown => Self::OutcomeUnknown,
            ResultCode::BadSettings => Self::Settings,
            _ => Self::Failure,
        }
    }
}
