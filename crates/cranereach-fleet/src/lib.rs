//! Decisions about declared routes and their workers, without I/O or a clock.
//!
//! Configuration and admission:
//! - [`configuration`]: routes, services and limits; finds the route of a request
//! - [`accounts`]: client accounts and their API keys
//! - [`proof`]: how recently the configuration in force is known to have been the newest
//! - [`unanswered_queries`]: queries for a proof that are answered once there is one
//! - [`limits`]: rate limits of accounts
//! - [`admission`]: whether a request is sent, waits or is refused, so that less urgent requests
//!   leave room for more urgent ones
//! - [`shortage`]: when refused callers should retry
//!
//! Choice of a worker:
//! - [`roster`]: all known workers, and the choice of one for a request
//! - [`worker`], [`routing_request`]: a worker and a request, as the choice sees them
//! - [`no_worker`]: why no worker was found
//! - [`load`], [`health`], [`prefill_cost`], [`slot_times`], [`service_time`], [`prefixes`]:
//!   estimates of a worker's load, health, prefill time, slot times, service times and prefix
//!   cache
//! - [`topology`]: failure domains, regions and distances
//! - [`regions`]: regions in which a request may be served
//! - [`evacuation`]: failure domains that get no requests
//! - [`cold`], [`departure`], [`rest`], [`named_limit`], [`brittle`]: workers that have just
//!   started, that are leaving, that request a backoff, that name a rate limit, or that bear few
//!   rejections
//! - [`purpose`]: what a request to a worker is for
//! - [`send_grants`]: which instance may send a request to a cold or limited worker
//! - [`retry_window`]: retry budget
//! - [`fingerprint`], [`quarantine`]: recognition of equal requests, and of those that crash
//!   workers
//!
//! Coordination between instances:
//! - [`membership`]: which instances are alive, and which of them owns a worker
//! - [`reachability`]: whether a worker, this instance's path or a peer's path is at fault
//! - [`stream_origins`]: the software versions at which streams began
//! - [`ways`]: round-trip times to other instances
//! - [`owned`]: what an owner knows of its workers' requests
//! - [`pause_prediction`], [`prefill_schedule`], [`pausing`]: how long prefill pauses
//!   streams, when prompts are sent to keep the pauses short, and at which workers that is needed
//!
//! Data from the store:
//! - [`store_position`]: order of everything that is read from the store
//! - [`freshness`]: which instance reads the list of workers, and when
//! - [`first_read`]: where an instance that has just started gets the list and the configuration
//! - [`listing`]: rows of the list, and the deltas of it that peers are sent
//! - [`outage_pace`]: how often instances retry a lost store
//! - [`key`]: short hash keys of names
//!
//! Model placement:
//! - [`lease_state`]: the lease that lets this instance send load orders to workers
//! - [`demand`]: request rates by model
//! - [`placement`], [`pressure`]: which load or unload comes next
//! - [`ledger`]: orders that are open
//!
//! ```
//! use cranereach_fleet::lease_state::LeaseState;
//!
//! assert!(!LeaseState::new("entry-1", 3_000).may_order(0));
//! ```

pub mod accounts;
pub mod admission;
pub mod brittle;
pub mod cold;
pub mod configuration;
pub mod demand;
pub mod departure;
pub mod evacuation;
pub mod fingerprint;
pub mod first_read;
pub mod freshness;
pub mod health;
pub mod key;
pub mod lease_state;
pub mod ledger;
pub mod limits;
pub mod listing;
pub mod load;
pub mod membership;
pub mod named_limit;
pub mod no_worker;
pub mod outage_pace;
pub mod owned;
pub mod pause_prediction;
pub mod pausing;
pub mod placement;
pub mod prefill_cost;
pub mod prefill_schedule;
pub mod prefixes;
pub mod pressure;
pub mod proof;
pub mod purpose;
pub mod quarantine;
pub mod reachability;
pub mod regions;
pub mod rest;
pub mod retry_window;
pub mod roster;
pub mod routing_request;
pub mod send_grants;
pub mod service_time;
pub mod shortage;
pub mod slot_times;
pub mod software_version;
pub mod store_position;
pub mod stream_origins;
pub mod topology;
pub mod unanswered_queries;
pub mod ways;
pub mod worker;
pub mod worker_view;
