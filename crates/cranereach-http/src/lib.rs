//! HTTP plumbing over `hyper` that the entry instance and the stand-ins share.
//!
//! [`server`] accepts and stops gracefully, [`pool`] keeps connections to one
//! upstream and says exactly whether a request was handed over, [`client`]
//! calls JSON interfaces with a deadline, [`body`] reads and makes bodies,
//! [`clock`] tells the process's own time, [`bearer`] finds a request's key, [`events`] tells the events of a stream apart.

pub mod bearer;
pub mod body;
pub mod client;
pub mod clock;
pub mod events;
pub mod pool;
pub mod server;
