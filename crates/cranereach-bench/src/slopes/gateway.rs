//! Costs of a gateway's decisions, by size.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use super::Slope;
use super::core_decisions::measure_slope;
use super::core_decisions::time_us;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::fingerprint::Content;
use cranereach_fleet::fingerprint::FingerprintKey;
use cranereach_fleet::membership::GOSSIPED_MAX_COUNT;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::owned::OwnedWorkers;
use cranereach_fleet::owned::SentRequest;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::quarantine::Quarantine;
use cranereach_fleet::quarantine::RequestKeys;
use cranereach_fleet::quarantine::SuspectKey;
use cranereach_fleet::regions::AllowedRegions;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::DomainTag;
use cranereach_fleet::topology::Topology;
use cranereach_fleet::worker::HeldModel;
use cranereach_fleet::worker::WorkerRecord;
use cranereach_gateway::adapter;
use cranereach_gateway::worker_headers::WorkerHeaders;

/// Number of workers per worker that holds the requested model.
const WORKERS_PER_HOLDER: usize = 20;

/// Number of workers whose owners are asked about a request.
const CANDIDATE_COUNT: usize = 3;

/// Number of parts of the prompt whose parts are looked up.
const PROMPT_PART_COUNT: usize = 16;

/// Key of the worker in the measurements; its value does not matter.
const WORKER: u64 = 7;

/// Measures how all decisions of a gateway scale.
pub fn measure() -> Vec<Slope> {
    vec![
        measure_slope(
            "choose a worker: candidates, then one of them",
            "workers of the service (a twentieth holds the model)",
            "us",
            &[30, 90, 240, 1_000],
            choose_us,
        ),
        measure_slope(
            "look at what speaks against a send, right before it",
            "workers known",
            "us",
            &[30, 90, 240, 1_000],
            check_barred_us,
        ),
        measure_slope(
            "read what an answer says of its worker, which says nothing but its load",
            "headers besides",
            "us",
            &[2, 6, 12, 24],
            |count| read_headers_us(count, &[]),
        ),
        measure_slope(
            "read what an answer says of its worker, which leaves and names a limit",
            "headers besides",
            "us",
            &[2, 6, 12, 24],
            |count| read_headers_us(count, &["1", "1.2"]),
        ),
        measure_slope(
            "take what a digest tells of 48 members",
            "instances",
            "us",
            &[60, 300, 1_000, 3_300],
            merge_gossip_us,
        ),
        measure_slope(
            "find the owner of a worker",
            "instances",
            "us",
            &[60, 300, 1_000, 3_300],
            owner_us,
        ),
        measure_slope(
            "answer for an owned worker",
            "requests open there",
            "us",
            &[4, 16, 32, 64],
            worker_state_us,
        ),
        measure_slope(
            "look whether a call is quarantined, where others of its size are",
            "requests known",
            "us",
            &[0, 64, 512, 4_096],
            look_up_suspect_us,
        ),
        measure_slope(
            "look whether one of the 16 parts of a prompt is quarantined",
            "parts known",
            "us",
            &[0, 64, 512, 4_096],
            look_up_parts_us,
        ),
        measure_slope(
            "make the fingerprint of a call",
            "bytes of its body",
            "us",
            &[0, 1_000, 32_000, 1_000_000],
            fingerprint_us,
        ),
    ]
}

/// Returns the address of an instance, by number.
fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

/// Returns a membership of `count` instances, as seen by the first of them.
fn members(count: usize) -> Membership {
    let mut members = Membership::new(address(0), DomainTag::default(), &[]);
    for number in 1..count {
        members.heard_from(1_000, address(number), DomainTag::default(), false);
    }
    members
}

/// Returns a roster of workers that hold three models each.
fn roster(worker_count: usize) -> Roster {
    let model_count = 3 * WORKERS_PER_HOLDER;
    let mut roster = Roster::default();
    for number in 0..worker_count {
        let held = (0..3).map(|place| HeldModel {
            name: Arc::from(format!("m{}", (number * 3 + place) % model_count)),
            adapters: Vec::new(),
        });
        let record = WorkerRecord {
            id: Arc::from(format!("w{number}")),
            started_unix_ms: 0,
            service: Arc::from("models"),
            address: "10.0.0.1:1".to_owned(),
            failure_domain: Arc::from("z1"),
            cold_for_ms: 0,
            software: SoftwareVersion::default(),
            slot_count: 64,
            is_leaving: false,
            models: held.collect(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        };
        roster.put(StorePosition::new(0, 1), record);
    }
    roster
}

/// Returns the time to choose a worker, without the queries to owners, in microseconds.
fn choose_us(worker_count: usize) -> f64 {
    let roster = roster(worker_count);
    let engine = Engine {
        event_tokens: 3,
        slot_count: 64,
        kv_tokens: 130_000,
        weights_mb: 220_000.0,
        adapter_slot_count: 8,
        loads_per_s: 30.0,
        models: Vec::new(),
    };
    let topology = Topology::default();
    let regions = AllowedRegions::Any;
    let request = RoutingRequest {
        event_tokens: 3,
        service: "models",
        model: Some(("m0", None)),
        parts: &[],
        prompt_tokens: 2_400,
        token_ms: 0.05,
        fixed_ms: 10.0,
        stay_ms: 500.0,
        gap_aim_ms: Some(500.0),
        rank: 0,
        held_tokens: 2_500,
        topology: &topology,
        extra_start_delays_ms: [0.0; 3],
        regions: &regions,
        required_version_key: None,
        settled_version_keys: &[],
        end_count: 0,
        must_avoid_grants: false,
        tried: &[],
    };
    let mut rng = rand::rng();
    time_us(|| {
        let engine = Some(&engine);
        let candidates = roster.candidates(0, &request, engine, CANDIDATE_COUNT, &mut rng);
        let candidates = candidates.unwrap_or_default();
        let chosen = roster.choose_among(0, &candidates, &request, engine, &mut rng);
        black_box(chosen.is_ok());
    })
}

/// Returns the time to check whether a request may still be sent to its chosen worker, in
/// microseconds.
fn check_barred_us(worker_count: usize) -> f64 {
    let roster = roster(worker_count);
    time_us(|| {
        black_box(roster.barred(1_000, "w7", Purpose::Call, 1));
    })
}

/// Returns the time to read the headers that describe the worker from the head of an answer, in
/// microseconds; zero if no adapter is compiled in.
///
/// The head has a load header, `other_count` unrelated headers, and the given values of the
/// headers that announce a planned stop and a rate limit.
fn read_headers_us(other_count: usize, leaving_and_limit: &[&'static str]) -> f64 {
    let Some(names) = adapter::names()
        .first()
        .and_then(|name| adapter::find(name))
    else {
        return 0.0;
    };
    let names = &names.headers;
    let mut headers = HeaderMap::new();
    headers.insert(
        names.request_id,
        HeaderValue::from_static("9c41d07be2a35f68"),
    );
    headers.insert(names.load, HeaderValue::from_static("3,0,8"));
    for (name, value) in [names.leaving, names.limit].iter().zip(leaving_and_limit) {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    for number in 0..other_count {
        let name = HeaderName::try_from(format!("x-other-{number}"));
        if let Ok(name) = name {
            headers.insert(name, HeaderValue::from_static("value"));
        }
    }
    time_us(|| {
        let head = (StatusCode::OK, &headers);
        black_box(WorkerHeaders::read(names, "w7", head));
    })
}

/// Returns the time to merge the member entries of one gossip message, in microseconds.
fn merge_gossip_us(count: usize) -> f64 {
    let mut members = members(count);
    let updates = members.sample(1_000, &mut rand::rng());
    let updates = &updates[..updates.len().min(GOSSIPED_MAX_COUNT)];
    let mut now_ms = 1_000;
    time_us(|| {
        now_ms += 1;
        black_box(members.merge(now_ms, updates));
    })
}

/// Returns the time to find the owner of a worker, in microseconds.
fn owner_us(count: usize) -> f64 {
    let members = members(count);
    let mut key = 0;
    time_us(|| {
        key += 1;
        black_box(members.owner(1_000, key));
    })
}

/// Returns the content of a call with the given body, as input of its fingerprint.
fn content(body: &[u8]) -> Content<'_> {
    Content {
        account: Some("account"),
        method: "POST",
        host: b"host.example",
        target: "/path/of/a/call",
        model: b"m0",
        prompt_parts: b"8489254f5d59:351,97049fa8bd4f:304",
        body,
    }
}

/// Returns the time to look up two calls in the quarantine, one whose body size no known call has
/// and one that is known, in microseconds.
fn look_up_suspect_us(known_count: usize) -> f64 {
    let fingerprint_key = FingerprintKey::new("");
    let request_key = |number: usize| {
        let body = number.to_le_bytes();
        SuspectKey::request(number as u32, content(&body).fingerprint(&fingerprint_key))
    };
    let mut quarantine = Quarantine::default();
    for number in 0..known_count {
        quarantine.ended(1_000, request_key(number), WORKER, false);
    }
    let known = request_key(known_count / 2);
    time_us(|| {
        black_box(quarantine.may_know(u32::MAX));
        black_box(quarantine.suspicion(known));
    })
}

/// Returns the time to look up the parts of a call's prompt in the quarantine, one of which is
/// known if any part is, in microseconds.
fn look_up_parts_us(known_count: usize) -> f64 {
    let fingerprint_key = FingerprintKey::new("");
    let mut quarantine = Quarantine::default();
    for number in 0..known_count {
        let listed = format!("{number:x}:100");
        for part in fingerprint_key.parts(listed.as_bytes()) {
            quarantine.ended(1_000, SuspectKey::part(part), WORKER, false);
        }
    }
    let mut listed = vec!["0:100".to_owned()];
    listed.extend((1..PROMPT_PART_COUNT).map(|number| format!("f{number:07x}:100")));
    let listed = listed.join(",");
    time_us(|| {
        if quarantine.knows_parts() {
            let parts = fingerprint_key.parts(listed.as_bytes());
            let keys = RequestKeys {
                content: None,
                parts: &parts,
            };
            black_box(quarantine.judge(&keys));
        }
    })
}

/// Returns the time to compute the fingerprint of a call, in microseconds.
fn fingerprint_us(body_bytes: usize) -> f64 {
    let key = FingerprintKey::new("");
    let body = vec![7; body_bytes];
    time_us(|| {
        black_box(content(&body).fingerprint(&key));
    })
}

/// Returns the time for a worker's owner to answer a query for the worker's state, in
/// microseconds.
fn worker_state_us(open_count: usize) -> f64 {
    let mut owned = OwnedWorkers::default();
    for number in 0..open_count {
        let sent = SentRequest {
            event_tokens: 3,
            unread_ms: 100.0,
            stay_ms: 500.0,
            ends_within_ms: u32::MAX,
            ..SentRequest::default()
        };
        owned.request_started(0, WORKER, (1, number as u64), sent, &[]);
    }
    time_us(|| {
        black_box(owned.status(1, WORKER, &[1, 2, 3], 100.0));
    })
}
