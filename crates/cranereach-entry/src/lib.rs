//! Runtime of an entry instance: sockets, actors and platform clients.
//!
//! [`entry::Entry`] assembles and starts the components. A caller's request is
//! handled in [`callers`]: it is authenticated, admitted by the
//! [`dispatch_actor`], sent to an upstream through [`upstream`], and the answer
//! is forwarded to the caller. In the background, [`config_sync`] keeps the
//! configuration up to date, [`control_actor`] holds cell leases and sends
//! orders to workers, and [`peers`] exchanges digests with the other entry
//! instances. [`platform`] holds the platform adapters, one module per
//! interface.

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
