//! Runtime of an entry instance: sockets, actors, clients of the platform.
//!
//! [`entry::Entry`] puts the parts together. A caller's request runs through
//! [`callers`]: authenticate, admit at the [`dispatch_actor`], exchange with an
//! upstream of [`upstream`], pass the answer on. Beside that path
//! [`config_sync`] keeps the configuration in force, [`control_actor`] holds
//! leases and orders workers, and [`peers`] exchanges digests. The adapters of
//! the platform are in [`platform`], one module per interface.

pub mod apply;
pub mod callers;
pub mod config_sync;
pub mod control_actor;
pub mod discovery;
pub mod dispatch_actor;
pub mod entry;
pub mod log;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod settings;
pub mod shared;
pub mod upstream;
