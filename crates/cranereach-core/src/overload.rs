//! Overload of one instance by its callers.
//!
//! An instance serves a connection well only while it has a processor, a network link, memory and
//! file descriptors left for it. [`admission`] counts the connections. [`load`] tells from samples
//! how much of the processor and the link is in use. [`own_delays`] tells whether a time that was
//! measured here is explained by a delay of the instance itself, and so says nothing about a worker
//! or a peer.

pub mod admission;
pub mod load;
pub mod own_delays;
