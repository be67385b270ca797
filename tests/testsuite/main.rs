//! Test suite of the whole system, one module per feature.

mod at_most_once;
mod bad_input;
mod cli;
mod closed_answers;
mod configuration;
mod cut_files;
mod docs;
mod explain;
mod fixture;
mod gateway_settings;
mod golden_session;
mod harness;
mod memory;
mod operators;
mod overload;
mod planned_stop;
mod reachable;
mod soak;
mod style;
mod suspended_instance;
mod whole_answers;
