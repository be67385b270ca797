//! Workers and requests for tests of the choice of a worker.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::LazyLock;

use cranereach_fleet::regions::AllowedRegions;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_fleet::topology::Topology;
use cranereach_fleet::worker::HeldModel;
use cranereach_fleet::worker::WorkerRecord;

static TOPOLOGY: LazyLock<Topology> =
    LazyLock::new(|| Topology::new("z", "r", &BTreeMap::new()).unwrap());

static ANY_REGION: AllowedRegions = AllowedRegions::Any;

pub fn record(id: &str, models: &[(&str, &[&str])]) -> WorkerRecord {
    WorkerRecord {
        id: Arc::from(id),
        started_unix_ms: 0,
        service: Arc::from("s"),
        address: format!("{id}:1"),
        failure_domain: Arc::from("z"),
        cold_for_ms: 0,
        software: SoftwareVersion::default(),
        slot_count: 8,
        is_leaving: false,
        models: models
            .iter()
            .map(|(name, adapters)| HeldModel {
                name: Arc::from(*name),
                adapters: adapters.iter().map(|adapter| Arc::from(*adapter)).collect(),
            })
            .collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

pub fn routing_request<'a>(model: Option<(&'a str, Option<&'a str>)>) -> RoutingRequest<'a> {
    RoutingRequest {
        service: "s",
        model,
        parts: &[],
        prompt_tokens: 1_000,
        token_ms: 0.05,
        fixed_ms: 0.0,
        stay_ms: 0.0,
        gap_aim_ms: None,
        event_tokens: 0,
        rank: 1,
        held_tokens: 1_100,
        topology: &TOPOLOGY,
        extra_start_delays_ms: [0.0; 3],
        regions: &ANY_REGION,
        required_version_key: None,
        settled_version_keys: &[],
        end_count: 0,
        must_avoid_grants: false,
        tried: &[],
    }
}
