//! Tests that the schedule depends on the seed alone, and that each check finds the violations
//! that are planted into records and nothing else.

mod bounded;
mod ending;
mod failing;
mod own_words;
mod planted;
mod requests;
mod schedule;
