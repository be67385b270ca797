//! Decision logic of the project, without I/O or a clock.
//!
//! The state machines in this crate take the current time and an event, and return
//! actions. The time and the random numbers come from the caller, so any run can be
//! reproduced from a table of faults or a seed. The main modules are:
//!
//! - [`snapshot`] resolves [`declarations`] into the form that the data path reads;
//! - [`dispatch`] admits, orders and routes requests, with the policies of
//!   [`order`] and [`route`];
//! - [`attempt`] decides whether a failed request is retried;
//! - [`control`] with [`lease`], [`fence`] and [`ledger`] ensures safe control of the workers'
//!   memory, and [`residency`] plans which models are loaded where;
//! - [`overload`] decides which connections of callers an instance takes;
//! - [`config`] and [`membership`] track which configuration is in force and which instances
//!   are live.
//!
//! ```
//! use cranereach_core::codes::ResultCode;
//!
//! assert_eq!(ResultCode::QueueFull.row().http_status, 429);
//! ```

pub mod attempt;
pub mod cell;
pub mod claim;
pub mod codes;
pub mod config;
pub mod control;
pub mod declarations;
pub mod demand;
pub mod dispatch;
pub mod drain;
pub mod fence;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod names;
pub mod order;
pub mod overload;
pub mod residency;
pub mod retry_budget;
pub mod route;
pub mod snapshot;
pub mod token_bucket;
