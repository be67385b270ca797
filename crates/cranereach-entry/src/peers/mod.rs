//! Communication between entry instances: digests over UDP, configuration bodies
//! over TCP.

pub mod bodies;
pub mod digests;
