//! Numbered result codes and the table that describes them.
//!
//! `docs/CODES.md` is checked against [`TABLE`] by a test.
//!
//! ```
//! use cranereach_core::codes::{ResultCode, Ran};
//!
//! assert_eq!(ResultCode::OutcomeUnknown.row().ran, Ran::Unknown);
//! ```

/// Whether an upstream ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// The whole request ran.
    Whole,
    /// Provably no part of the request ran.
    No,
    /// Parts of the request may have run.
    Unknown,
    /// The code is not about a caller's request.
    NotApplicable,
}

/// Whether the caller should repeat the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// There is nothing to repeat.
    None,
    /// Only after the caller has changed the request.
    AfterChange,
    /// Yes, after the time given in Retry-After.
    Later,
    /// Only if the call is safe to repeat.
    OnlyIfSafe,
}

/// One row of the table.
#[derive(Clone, Copy, Debug)]
pub struct CodeRow {
    /// The code that the row describes.
    pub code: ResultCode,
    /// Stable number, as callers and logs see it.
    pub number: u16,
    /// Stable name, in snake case.
    pub name: &'static str,
    /// HTTP status with which the code is sent.
    pub http_status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether the caller should repeat the request.
    pub repeat: Repeat,
    /// Meaning, in one sentence.
    pub meaning: &'static str,
}

/// Declares the enum and its table from one list, so that every code has exactly one row.
macro_rules! codes {
    ($($code:ident = $number:literal, $name:literal, $status:literal, $ran:ident, $repeat:ident, $meaning:literal;)*) => {
        /// Result that is reported to a caller or an operator.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $(#[doc = $meaning] $code,)*
        }

        /// All codes, ascending by number.
        pub const TABLE: &[CodeRow] = &[
            $(CodeRow {
                code: ResultCode::$code,
                number: $number,
                name: $name,
                http_status: $status,
                ran: Ran::$ran,
                repeat: Repeat::$repeat,
                meaning: $meaning,
            },)*
        ];
    };
}

codes! {
    Served = 1000, "served", 200, Whole, None, "The whole answer was passed on.";
    BadRequest = 1001, "bad_request", 400, No, AfterChange, "The request can't be understood.";
    Unauthenticated = 1002, "unauthenticated", 401, No, AfterChange, "The key is missing, unknown or withdrawn.";
    UnknownTarget = 1003, "unknown_target", 404, No, AfterChange, "The account is not entitled to a model or service of that name.";
    BodyTooLarge = 1004, "body_too_large", 413, No, AfterChange, "The body is larger than the limit.";
    RequestTooSlow = 1005, "request_too_slow", 408, No, OnlyIfSafe, "The body did not arrive in time.";
    NoSuchPath = 1006, "no_such_path", 404, No, AfterChange, "No model call and no declared service has this path.";
    IdempotencyMismatch = 1007, "idempotency_mismatch", 422, No, AfterChange, "The idempotency key was used before for another request.";
    CallerLeft = 1008, "caller_left", 499, Unknown, OnlyIfSafe, "The caller left before the answer was whole.";
    QueueFull = 2001, "queue_full", 429, No, Later, "The account's own queue for this model or service is full.";
    DeadlineUnreachable = 2002, "deadline_unreachable", 503, No, Later, "No upstream can start the request before its deadline.";
    DeadlinePassed = 2003, "deadline_passed", 503, No, Later, "The deadline passed while the request waited.";
    NotResident = 2004, "not_resident", 503, No, Later, "The model is being loaded and can't be ready before the deadline.";
    NoUpstream = 2005, "no_upstream", 503, No, Later, "No live upstream took the request.";
    Draining = 2006, "draining", 503, No, Later, "This instance is stopping.";
    RetryBudgetSpent = 2007, "retry_budget_spent", 503, No, Later, "The upstream did not run it and the retry budget is spent.";
    ConfigUnknown = 2008, "config_unknown", 503, No, Later, "This instance can't know whether its configuration is in force.";
    ClaimsUnavailable = 2009, "claims_unavailable", 503, No, Later, "The idempotency key can't be claimed while the table is out of reach.";
    OverLimit = 2010, "over_limit", 429, No, Later, "The account has used what its limit allows for now.";
    LimitUnknown = 2011, "limit_unknown", 503, No, Later, "No instance that keeps the account's limit can be reached.";
    RegionNotAllowed = 2012, "region_not_allowed", 503, No, Later, "No worker stands in a region in which the request may be served.";
    DomainEvacuated = 2013, "domain_evacuated", 503, No, Later, "What the request needs stands only in failure domains that are being evacuated.";
    WorkersCold = 2014, "workers_cold", 503, No, Later, "The workers that hold what the request needs have just started, and get no more for now.";
    Quarantined = 2015, "quarantined", 501, No, AfterChange, "Workers ended again and again while they ran requests equal to this one; it was sent to none.";
    NotAlone = 2016, "not_alone", 503, No, Later, "Workers ended while they ran requests equal to this one, and others like it run wherever it could.";
    WorkersLimited = 2017, "workers_limited", 503, No, Later, "The workers that hold what the request needs say how many requests they take, and get no more for now.";
    WorkersLeaving = 2018, "workers_leaving", 503, No, Later, "The workers that could serve the request say that they leave, and others aren't there yet.";
    WorkersResting = 2019, "workers_resting", 503, No, Later, "The workers that hold what the request needs asked for rest, and get nothing until its end.";
    VersionGone = 2020, "version_gone", 503, No, AfterChange, "No worker has the software version that began the stream; ask for it from its start.";
    StreamUnknown = 2021, "stream_unknown", 503, No, AfterChange, "Nobody knows which software version began the stream; ask for it from its start.";
    StreamUnnamed = 2022, "stream_unnamed", 503, No, AfterChange, "The request doesn't name the one that brought the stream's first event, and the workers have several software versions; ask for it from its start.";
    PartQuarantined = 2023, "part_quarantined", 501, No, AfterChange, "Workers ended again and again while they ran requests that share a part of their prompts with this one; it was sent to none.";
    OutcomeUnknown = 3001, "outcome_unknown", 502, Unknown, OnlyIfSafe, "The upstream got the request, and no whole answer came.";
    BrokenMidway = 3002, "broken_midway", 502, Unknown, OnlyIfSafe, "The answer broke off after it had begun.";
    DeadlinePassedRunning = 3003, "deadline_passed_running", 504, Unknown, OnlyIfSafe, "The deadline passed while the upstream worked.";
    ClaimOpen = 3004, "claim_open", 409, Unknown, Later, "An earlier attempt with this idempotency key has begun and its outcome isn't known.";
    GarbledAnswer = 3005, "garbled_answer", 502, Unknown, OnlyIfSafe, "The upstream's answer can't be understood.";
    Syntax = 4001, "syntax", 400, NotApplicable, AfterChange, "A file is not JSON with comments.";
    UnknownKey = 4002, "unknown_key", 400, NotApplicable, AfterChange, "A key or value has no meaning here.";
    UnknownTemplate = 4003, "unknown_template", 400, NotApplicable, AfterChange, "A client account names a template that isn't declared.";
    UnknownModel = 4004, "unknown_model", 400, NotApplicable, AfterChange, "A template, adapter or parameter names a model that isn't declared.";
    UnknownPool = 4005, "unknown_pool", 400, NotApplicable, AfterChange, "A model or template names a pool that isn't declared.";
    BeyondMemory = 4006, "beyond_memory", 400, NotApplicable, AfterChange, "A model with its base needs more memory than a worker of its pool has.";
    NoShare = 4007, "no_share", 400, NotApplicable, AfterChange, "A share is zero, negative or not a number.";
    DuplicateKey = 4008, "duplicate_key", 400, NotApplicable, AfterChange, "Two client accounts have the same key.";
    DuplicateName = 4009, "duplicate_name", 400, NotApplicable, AfterChange, "Two things of one kind have the same name.";
    MissingParameter = 4010, "missing_parameter", 400, NotApplicable, AfterChange, "The template needs a parameter that the account doesn't give.";
    RaceLost = 4011, "race_lost", 409, NotApplicable, AfterChange, "Another operator's change was accepted first.";
    StoreUnavailable = 4012, "store_unavailable", 503, NotApplicable, Later, "A store of the platform did not answer; nothing was accepted.";
    AcceptanceUnknown = 4013, "acceptance_unknown", 503, NotApplicable, Later, "The commit was sent and its outcome can't be read yet.";
    BadSettings = 4014, "bad_settings", 400, NotApplicable, AfterChange, "The settings file can't be used.";
    OperatorUnauthenticated = 4015, "operator_unauthenticated", 401, NotApplicable, AfterChange, "The operators' token is missing or wrong.";
}

impl ResultCode {
    /// Returns the row that describes this code.
    ///
    /// # Panics
    ///
    /// Never panics: the enum and the table are declared from one list.
    pub fn row(self) -> &'static CodeRow {
        TABLE
            .iter()
            .find(|row| row.code == self)
            .expect("the enum and its table come from one macro")
    }
}
