//! A soak test: runs gateways as real processes, injects faults from outside and checks the
//! promises that callers rely on.
//!
//! - [`schedule`] derives the faults from a seed, and [`faults`] injects them.
//! - [`gateways`] starts, signals and stops the gateway processes, at the [`addresses`] of the run.
//! - [`back_ends`] stands in for the platform's store and workers.
//! - [`callers`] sends requests; [`resuming_callers`] takes up streams that break off;
//!   [`crash_requests`] keeps resending one that crashes every worker that runs it.
//! - [`concentrated_callers`] sends most new connections to one gateway.
//! - [`rate_limits`] makes workers announce rate limits; [`notices`] makes them leave during a
//!   store outage and ask for a rest.
//! - [`run`] puts the parts together. They record what they observe ([`journal`], [`record`]).
//! - The modules of [`check`] judge the promises by these records alone.

pub mod addresses;
pub mod back_ends;
pub mod callers;
pub mod check;
pub mod concentrated_callers;
pub mod crash_requests;
pub mod events;
pub mod faults;
pub mod gateways;
pub mod journal;
pub mod notices;
pub mod rate_limits;
pub mod record;
pub mod report;
pub mod resuming_callers;
pub mod run;
pub mod schedule;
