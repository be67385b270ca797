//! Quarantine of requests under which workers end: which requests are refused, and what is stored
//! and gossiped.

mod calls;
mod fleet;
mod gossip;
mod merging;
mod parts;
mod prompt_simulations;
mod prompts;
mod scenario;
mod simulations;
