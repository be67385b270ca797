//! Quarantine of requests under which workers end: which requests are refused, and what is stored
//! and gossiped.

mod fleet;
mod merging;
mod simulations;
