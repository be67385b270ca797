//! A soak: gateways as real processes, faults from outside, promises seen by callers.
//!
//! [`schedule`] makes the faults from a seed. [`gateways`] starts, signals and ends the
//! processes, [`back_ends`] plays the platform's store and workers, [`callers`] asks,
//! [`ending`] comes back with a request that ends its workers, [`limited`] lets workers name limits,
//! [`own_words`] lets them leave unseen by the store and ask for rest.
//! [`run`] lets them meet, [`faults`] strikes them. All write down what they saw ([`journal`], [`record`]), and each module
//! of [`check`] judges one promise by these records alone.

pub mod back_ends;
pub mod callers;
pub mod check;
pub mod crash_requests;
pub mod faults;
pub mod gateways;
pub mod journal;
pub mod notices;
pub mod rate_limits;
pub mod record;
pub mod report;
pub mod run;
pub mod schedule;
