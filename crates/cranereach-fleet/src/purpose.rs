//! Purposes of requests to workers.

/// Purpose of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A caller's request.
    Call,
    /// An order from the instance that holds the lease.
    Order,
    /// A query for a worker's report.
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
