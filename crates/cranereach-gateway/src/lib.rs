//! Runtime of an instance that serves declared routes: sockets, store, peers.
//!
//! [`run`] starts and stops the parts. [`forward`] handles callers' requests. In the
//! background:
//!
//! - [`configuration_sync`] and [`roster_sync`] follow the store, whose [era](store_era) rises
//!   when it is restored from a backup.
//! - [`evacuations`] tracks which failure domains are to be emptied.
//! - [`worker_ends`] finds out whether a worker that broke a connection has ended, and
//!   [`quarantine`] which requests end their workers.
//! - [`proofs`] and [`limits`] ask peers what accounts may do.
//! - [`cold`] tracks workers that have just started.
//!
//! [`worker_words`] reads what a worker's answers say about the worker itself:
//! [`named_limits`] that it limits its request rate, [`departures`] that it leaves, [`rests`]
//! that it wants no requests for a while. [`unknown_words`] counts headers that nothing
//! recognizes, and [`own_words`] shows operators which workers leave or rest. Right before a
//! send, [`send_permit`] is asked, and [`send_grants`] asks the owners of cold or rate-limited
//! workers.
//!
//! [`gossip`], [`list_news`], [`bodies`] and [`list_bodies`] send peers what they can't see
//! for themselves; [`traffic`] counts the bytes. [`controller`] holds the leases and orders
//! workers. Everything that a platform names or formats comes in through an [`adapter`].

pub mod adapter;
pub mod bodies;
pub mod cold;
pub mod configuration_sync;
pub mod controller;
pub mod departures;
pub mod domains;
pub mod evacuations;
pub mod expected;
pub mod forward;
pub mod gossip;
pub mod heard_leases;
pub mod limits;
pub mod list_bodies;
pub mod list_news;
pub mod list_source;
pub mod log;
pub mod messages;
pub mod metrics;
pub mod named_limits;
pub mod news;
pub mod node;
pub mod operators;
pub mod own_words;
pub mod owners;
pub mod peers;
pub mod proofs;
pub mod quarantine;
pub mod questions;
pub mod recent;
pub mod recipients;
pub mod rests;
pub mod roster_sync;
pub mod run;
pub mod send_grants;
pub mod send_permit;
pub mod settings;
pub mod store;
pub mod store_era;
pub mod store_failures;
pub mod store_pace;
pub mod traffic;
pub mod unknown_words;
pub mod worker_ends;
pub mod worker_words;
