//! The test suite of the whole system, by feature.

mod harness;
mod planned_stop;
mod thin_path;
