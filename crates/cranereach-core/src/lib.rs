//! Decision kernel: everything that is hard to get right, without I/O or a clock.
//!
//! The kernel takes `(now_ms, event)` and returns actions. Time and random
//! numbers come in as arguments, so a fault table or a seed reproduces any run.
//! The parts meet like this:
//!
//! - [`snapshot`] resolves [`declarations`] into what the data path reads;
//! - [`dispatch`] admits, orders and routes requests with the plug-ins of
//!   [`order`] and [`route`];
//! - [`attempt`] decides what a failure means for one request;
//! - [`control`] with [`lease`], [`fence`] and [`ledger`] keeps control of upstream memory safe,
//!   and [`residency`] plans what is loaded where;
//! - [`config`] and [`membership`] say what this instance may believe.
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
pub mod residency;
pub mod retry_budget;
pub mod route;
pub mod snapshot;
pub mod token_bucket;
