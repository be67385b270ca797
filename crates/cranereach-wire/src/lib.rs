//! Messages between the processes of this project, and to the platform and the upstreams.
//!
//! - [`peer`] defines the messages between entry instances, encoded with `postcard` and
//!   authenticated by a keyed hash. [`replay`] drops replayed ones, and [`digest_filter`] leaves
//!   out parts that haven't changed.
//! - [`platform`] and [`upstream`] mirror external interfaces, encoded as JSON.
//!   The entry crate has one adapter for each interface.
//! - [`folder`] and [`head_row`] define the body and the stored versions of a configuration.
//! - [`jsonc`] reads JSON files with comments, and [`locate`] finds the line of a fault.

pub mod digest_filter;
pub mod folder;
pub mod head_row;
pub mod jsonc;
pub mod locate;
pub mod peer;
pub mod platform;
pub mod replay;
pub mod upstream;
