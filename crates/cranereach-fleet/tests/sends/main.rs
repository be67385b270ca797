//! The number of requests that all instances together send to a worker with a limited rate stays
//! within what is tolerated, in spite of message delay, loss and duplication, suspended processes,
//! partitions, and owners that are killed and replaced.

mod cold;
mod fleet;
mod grants;
mod limited;
