//! Runtime of an instance that serves declared routes: sockets, store, peers.
//!
//! [`run`] starts and stops the parts. [`forward`] handles callers' requests. In the
//! background:
//!
//! - [`configuration_sync`] and [`roster_sync`] follow the store, whose [era](store_era) rises
//!   when it is restored from a backup.
//! - [`evacuations`] tracks which failure domains are to be evacuated.
//! - [`worker_ends`] finds out whether a worker whose connection broke has ended, and
//!   [`quarantine`] which requests cause workers to end.
//! - [`proofs`] asks peers for proof that the configuration is the newest, and
//!   [`account_limits`] asks the owners of client accounts' limits whether a request may run.
//! - [`cold`] tracks workers that have just started.
//!
//! [`worker_headers`] reads what a worker's answers say about the worker itself: [`named_limits`]
//! that it limits its request rate, [`brittle_workers`] that it bears few rejections,
//! [`departures`] that it leaves, [`rests`] that it wants no requests for a while.
//! [`unknown_headers`] counts headers that nothing recognizes, and [`unavailable_workers`] shows
//! operators which workers leave or rest. Right before a request is sent to a worker,
//! [`send_permit`] checks whether it may be, and [`send_grants`] asks the owners of cold or
//! rate-limited workers.
//!
//! [`stream_origins`] knows the software versions at which streams began, so that a stream that a
//! caller takes up again, at any instance, goes on at the same version.
//!
//! [`overload`] samples what the instance takes in, and withdraws it while it turns callers away.
//!
//! [`worker_paths`] opens the connections to workers, and [`tunnels`] those that a peer relays
//! while an instance can't reach a worker itself. [`worker_start`] finds out which start of a worker
//! a connection leads to. [`stored_row`] reads and writes the rows of the store that hold what must
//! outlive a start of all instances.
//!
//! [`gossip`], [`list_updates`], [`body_transfer`] and [`list_transfer`] send peers what they do
//! not know yet; [`traffic`] counts the bytes. [`controller`] holds the leases and sends orders to
//! workers. Everything that a platform names or formats comes in through an [`adapter`].

pub mod account_limits;
pub mod adapter;
pub mod body_transfer;
pub mod brittle_workers;
pub mod cold;
pub mod configuration_sync;
pub mod controller;
pub mod departures;
pub mod domains;
pub mod evacuations;
pub mod expected_models;
pub mod forward;
pub mod gossip;
pub mod heard_leases;
pub mod list_source;
pub mod list_transfer;
pub mod list_updates;
pub mod log;
pub mod messages;
pub mod metrics;
pub mod named_limits;
pub mod node;
pub mod operators;
pub mod overload;
pub mod owners;
pub mod peer_updates;
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
pub mod store_backoff;
pub mod store_era;
pub mod store_failures;
pub mod stored_row;
pub mod stream_origins;
pub mod traffic;
pub mod tunnels;
pub mod unavailable_workers;
pub mod unknown_headers;
pub mod worker_ends;
pub mod worker_headers;
pub mod worker_paths;
pub mod worker_start;
