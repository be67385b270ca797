//! What all instances together send to a worker that gets only so many requests stays
//! within what is tolerated: with delay, loss, doubling, freezes, cuts, owners killed and
//! taking over.

mod cold;
mod fleet;
mod grants;
mod limited;
