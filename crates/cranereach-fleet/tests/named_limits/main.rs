//! Limits that workers name for their requests per second: how the values are parsed, and which of
//! several reports holds.

mod parsing;
mod reports;
