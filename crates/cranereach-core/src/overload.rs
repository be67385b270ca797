//! Overload of one instance by its callers.
//!
//! An instance serves a connection well only while it has a processor, a network link, memory and
//! file descriptors left for it. [`load`] tells from samples how much of the processor and the link
//! is in use. [`admission`] decides whether a new connection is taken, which idle one is closed for
//! it, and which are not kept after their answer. [`withdrawal`] decides when the instance tells the
//! platform that it is not ready because of that. [`own_delays`] tells whether a time that was
//! measured here is explained by a delay of the instance itself, and so says nothing about a worker
//! or a peer.

pub mod admission;
pub mod load;
pub mod own_delays;
pub mod withdrawal;
