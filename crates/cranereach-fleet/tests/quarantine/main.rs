//! Requests under which workers end: who is refused, who isn't, what is kept and told.

mod fleet;
mod joining;
mod worlds;
