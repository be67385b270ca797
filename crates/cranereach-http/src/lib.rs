//! HTTP building blocks over `hyper` that instances, command-line tools and stand-ins share.
//!
//! - [`server`] accepts connections and shuts down gracefully.
//! - [`head_limit`] bounds what precedes the head of an answer, and [`buffer_budget`] the memory of
//!   answers that are held in full.
//! - [`intake`] decides which connections of callers are taken, and [`meter`] counts connections
//!   and their bytes.
//! - [`pool`] keeps connections to one upstream and reports whether any byte of a failed
//!   request may have been sent.
//! - [`connector`] opens the TCP connections of a pool.
//! - [`client`] calls JSON interfaces with a timeout.
//! - [`body_end`] tells how the body of a response ended.
//! - [`content`] follows what shows by itself where it is complete: [`event_border`] knows whether
//!   a stream is inside an event, and [`json_text`] whether a JSON text is cut off.
//! - [`body`] reads request and response bodies within limits and builds JSON responses.
//! - [`liveness`] breaks connections whose other end no longer answers.
//! - [`reserved_address`] keeps the address of a listener that comes and goes.
//! - [`full_backlog`] answers no attempt to connect.
//! - [`system`] reads what the system grants to the process.
//! - [`clock`] provides the monotonic clock of the process.
//! - [`bearer`] extracts the bearer token of a request.
//! - [`events`] splits event streams into complete events.

pub mod bearer;
pub mod body;
pub mod body_end;
pub mod buffer_budget;
pub mod client;
pub mod clock;
pub mod connector;
pub mod content;
pub mod event_border;
pub mod events;
pub mod full_backlog;
pub mod head_limit;
pub mod intake;
pub mod json_text;
pub mod liveness;
pub mod meter;
pub mod pool;
pub mod reserved_address;
pub mod server;
pub mod stream_end;
pub mod system;
