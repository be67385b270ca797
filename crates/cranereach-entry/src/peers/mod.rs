//! Entry instances among themselves: digests by UDP, bodies by TCP.

pub mod bodies;
pub mod digests;
