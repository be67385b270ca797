//! What a request to a worker is for.

/// What a request to a worker is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A caller's request.
    Call,
    /// An order of the holder of a lease.
    Order,
    /// A question for a report.
    Report,
}

impl Purpose {
    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Order => "order",
            Self::Report => "report",
        }
    }
}
