//! Overload of an instance: its load, which connections it takes, when it withdraws, and what its
//! own delays explain.

mod admission;
mod capacity;
mod load;
mod own_delays;
mod withdrawal;
