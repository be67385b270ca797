//! Messages between our processes and to the platform and the upstreams.
//!
//! [`peer`] is ours alone: `postcard`, sealed with a keyed hash. [`platform`]
//! and [`upstream`] mirror the interfaces of others in `serde_json`; an adapter
//! per interface in the entry crate is all that knows them.
//! [`jsonc`] reads files of JSON with comments.

pub mod folder;
pub mod head_row;
pub mod jsonc;
pub mod locate;
pub mod peer;
pub mod platform;
pub mod replay;
pub mod thinner;
pub mod upstream;
