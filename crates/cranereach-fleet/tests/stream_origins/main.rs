//! Streams that callers take up at any instance continue at the version that began them, in spite
//! of rolling releases, restarts of instances, cut and lost holders, late lists and lost datagrams.

mod kernel;
mod releases;
mod world;
