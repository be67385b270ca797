//! Digests, in which an instance gossips its state.

use std::net::Ipv4Addr;

use serde::Deserialize;
use serde::Serialize;

use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::evacuation::EvacuationList;
use cranereach_fleet::membership::MemberUpdate;
use cranereach_fleet::quarantine::SuspectUpdate;
use cranereach_fleet::reachability::ReachReport;
use cranereach_fleet::store_position::StorePosition;

/// A lease that some instance is known to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// Key of the service.
    pub service: u64,
    /// Address of the holder.
    pub holder: Ipv4Addr,
    /// Time since the holder last reported it, in milliseconds.
    pub age_ms: u64,
}

/// An instance that could not reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFailure {
    /// Address of the instance.
    pub address: Ipv4Addr,
    /// Time since the failure, in milliseconds.
    pub age_ms: u64,
}

/// A lease whose term has ended at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedLease {
    /// Key of the service.
    pub service: u64,
    /// Store position of the lease row that it was held under.
    pub position: StorePosition,
    /// Time since the end of the term, in milliseconds.
    pub age_ms: u64,
}

/// State of an instance, gossiped to peers several times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Random ID of the sender's process start.
    pub boot: u64,
    /// Time since that start, in milliseconds.
    pub up_for_ms: u64,
    /// Key of the sender's failure domain.
    pub domain: u64,
    /// Sequence number of the digest within that start.
    pub count: u64,
    /// Whether the sender is stopping.
    pub is_leaving: bool,
    /// Version of the configuration in force at the sender.
    pub configuration_version: u64,
    /// Newest store era that the sender knows.
    pub store_era: u64,
    /// Store position at which the sender's worker list is complete.
    pub list_position: StorePosition,
    /// Time since that list was last known to be complete, in milliseconds.
    pub list_age_ms: u64,
    /// Keys of the services whose lease the sender holds.
    pub holds: Vec<u64>,
    /// Leases known to be held, directly or through other instances.
    pub held: Vec<HeldLease>,
    /// Leases whose term has ended at the sender.
    pub ended: Vec<EndedLease>,
    /// Instances that recently could not reach the store, possibly including the sender.
    pub store_failed: Vec<StoreFailure>,
    /// A sample of the other living instances.
    pub members: Vec<MemberUpdate>,
    /// Workers whose rows say that they are leaving or gone: key, position.
    pub leaving: Vec<(u64, StorePosition)>,
    /// A sample of the workers that recently announced their own departure.
    pub departures: Vec<DepartureNews>,
    /// Keys of the workers that the sender recently could not reach.
    pub unreachable: Vec<u64>,
    /// Adapters that the sender has loaded: worker, model and adapter.
    pub adapters: Vec<(u64, ModelKey)>,
    /// Models that the sender is unloading: worker, model.
    pub withheld: Vec<(u64, u16)>,
    /// Failure domains that are to be evacuated, as the sender knows them.
    pub evacuations: EvacuationList,
    /// A sample of the requests during which workers ended.
    pub suspects: Vec<SuspectUpdate>,
    /// Share of the workers that the sender reaches itself; none from a release that opens no
    /// tunnels. It follows the datagram, where earlier releases ignore it.
    #[serde(skip)]
    pub reach: Option<ReachReport>,
    /// Whether the sender is not ready because it turns callers away. It follows `reach`, where
    /// earlier releases ignore it.
    #[serde(skip)]
    pub is_withdrawn: bool,
}
