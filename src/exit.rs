//! Exit codes by class, as listed in `docs/CODES.md`.

use std::process::ExitCode;

use cranereach_core::codes::ResultCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// As asked.
    Success,
    /// It ran, and what it looked at isn't as it should be.
    Failure,
    /// The command line can't be understood.
    Usage,
    /// The settings can't be used.
    Settings,
    /// Another operator's change was accepted first.
    Conflict,
    /// A store or process could not be reached; nothing was done.
    Unavailable,
    /// It may have been done.
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
