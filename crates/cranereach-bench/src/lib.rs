//! Complete deployments in one process, for the demo, benchmarks and tests.
//!
//! The entry instances run the production code; the platform and the upstreams
//! are stand-ins. All of them communicate over loopback sockets, as separate
//! processes would.
//!
//! - [`deployment`] starts and stops the components, and [`caller`] sends requests to them;
//! - [`demo`] runs a short demonstration;
//! - [`scenario`] measures scheduling and placement under generated load;
//! - [`slopes`] measures how costs grow with the size of a deployment;
//! - [`path_cost`] measures the overhead of an entry instance;
//! - [`process`] reads processor time and memory, and [`waiting`] waits for a condition.

pub mod caller;
pub mod demo;
pub mod deployment;
pub mod path_cost;
pub mod process;
pub mod scenario;
pub mod slopes;
pub mod waiting;
