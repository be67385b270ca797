//! Whole deployments within one process: for the demo, measurements and tests.
//!
//! Every part is the real one and talks over sockets on loopback; only the
//! process boundary is missing. [`deployment`] starts the parts,
//! [`demo`] shows them to a newcomer, [`scenario`] measures the
//! decisions, [`slopes`] how costs grow, [`path_cost`] what an instance adds.

pub mod caller;
pub mod demo;
pub mod deployment;
pub mod path_cost;
pub mod process;
pub mod scenario;
pub mod slopes;
pub mod waiting;
