//! Tests that the schedule depends on the seed alone, and that each check finds the violations
//! that are planted into records and nothing else.

mod bounded;
mod concentrated;
mod crash_requests;
mod failing;
mod notices;
mod paths;
mod planted;
mod relay;
mod requests;
mod schedule;
mod streams;
