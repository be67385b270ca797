//! The declared configuration: routes by host and longest path prefix, services, limits,
//! client accounts.

use std::collections::HashMap;
use std::sync::Arc;

use crate::accounts::Accounts;
use crate::regions::AllowedRegions;

/// What a route's calls allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// May run at most once.
    Once,
    /// A stream of events, run at most once unless the route may be resumed.
    Stream,
}

/// One target of a route with its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service.
    pub service: Arc<str>,
    /// Share, in proportion to the other targets.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// What its calls allow.
    pub kind: RouteKind,
    /// Whether a stream may be taken up at another worker.
    pub is_resumable: bool,
    /// Longest time from receipt to the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is in time, in milliseconds.
    pub aim_ms: u64,
    /// Longest pause between two pieces of a stream that is in time, in milliseconds.
    pub gap_aim_ms: Option<u64>,
    /// Most workers that one request may run on.
    pub attempt_max_count: u32,
    /// Rank, zero first.
    pub priority: u8,
    /// Whether its calls need no key.
    pub is_anonymous: bool,
    /// Regions in which its calls may be served.
    pub regions: AllowedRegions,
    /// Where its calls go.
    pub targets: Vec<Target>,
}

impl Route {
    /// Whether a call that may have run may be sent again.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.is_resumable,
        }
    }

    /// Picks a target by weight; `draw` lies in `0.0..1.0`.
    pub fn target(&self, draw: f64) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// A model that an engine service declares.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: Arc<str>,
    /// Memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// Adapters, named `a1` and so on.
    pub adapter_count: u16,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Time of a load from the weight store, in seconds.
    pub load_s: f64,
}

/// What an engine service declares of its workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a worker runs at once.
    pub slot_count: u32,
    /// Tokens that a worker's memory holds.
    pub kv_tokens: u64,
    /// Memory for weights and adapters of a worker, in megabytes.
    pub weights_mb: f64,
    /// Adapters that a worker holds at most.
    pub adapter_slot_count: u32,
    /// Loads that the weight store allows, per second.
    pub loads_per_s: f64,
    /// Tokens that an event of a stream holds; zero if that isn't declared.
    pub event_tokens: u32,
    /// Models, the order as declared.
    pub models: Vec<Model>,
}

impl Engine {
    /// Returns a model's place in the list.
    pub fn model_index(&self, name: &str) -> Option<u16> {
        let found = self
            .models
            .iter()
            .position(|model| model.name.as_ref() == name);
        found.map(|index| index as u16)
    }
}

/// How a worker is after it has started, until its caches are filled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which it is cold, in milliseconds.
    pub for_ms: u64,
    /// Requests that it bears meanwhile, per second; well above that it falls over.
    pub rate_per_s: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one worker takes from all callers.
    pub connection_max_count: u32,
    /// How its workers start; none if they bear their full load at once.
    pub cold_start: Option<ColdStart>,
    /// What its workers are, if they hold models.
    pub engine: Option<Engine>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_max_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// Time for a head to arrive, in milliseconds.
    pub header_within_ms: u64,
    /// Time that a kept connection may rest, in milliseconds.
    pub idle_within_ms: u64,
}

/// A whole configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version; only grows.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Limits on callers.
    pub limits: Limits,
    /// Client accounts.
    pub accounts: Accounts,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    /// Shortest pause that streams of each service may make, in milliseconds.
    shortest_gap_targets_ms: HashMap<Arc<str>, u64>,
    /// Ranks and aims of the routes to each service, in milliseconds.
    latency_targets_ms: HashMap<Arc<str>, Vec<(u8, u64)>>,
}

impl Configuration {
    /// Makes a configuration from its parts.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        accounts: Accounts,
    ) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        let mut shortest_gap_targets_ms: HashMap<Arc<str>, u64> = HashMap::new();
        let mut latency_targets_ms: HashMap<Arc<str>, Vec<(u8, u64)>> = HashMap::new();
        for route in routes {
            for target in &route.targets {
                let latency_targets_ms = latency_targets_ms
                    .entry(Arc::clone(&target.service))
                    .or_default();
                if !latency_targets_ms.contains(&(route.priority, route.aim_ms)) {
                    latency_targets_ms.push((route.priority, route.aim_ms));
                }
                let Some(gap_aim_ms) = route.gap_aim_ms else {
                    continue;
                };
                let shortest_ms = shortest_gap_targets_ms.entry(Arc::clone(&target.service));
                let shortest_ms = shortest_ms.or_insert(gap_aim_ms);
                *shortest_ms = gap_aim_ms.min(*shortest_ms);
            }
            let prefixes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), Arc::new(route));
        }
        Self {
            version,
            services: services
                .into_iter()
                .map(|service| (Arc::clone(&service.name), Arc::new(service)))
                .collect(),
            limits,
            accounts,
            routes: by_host,
            shortest_gap_targets_ms,
            latency_targets_ms,
        }
    }

    /// Finds the route of a host with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self.routes.get(&host.to_ascii_lowercase())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the shortest pause that streams of a service may make between two
    /// pieces to be in time, in milliseconds; none if no route names one.
    pub fn gap_aim_ms(&self, service: &str) -> Option<u64> {
        self.shortest_gap_targets_ms.get(service).copied()
    }

    /// Returns the shortest aim of the routes to a service that are more urgent than a
    /// rank, in milliseconds; none if there are none.
    pub fn urgent_aim_ms(&self, service: &str, rank: u8) -> Option<u64> {
        let latency_targets_ms = self.latency_targets_ms.get(service)?.iter();
        let urgent = latency_targets_ms.filter(|(other, _)| *other < rank);
        urgent.map(|(_, aim_ms)| *aim_ms).min()
    }

    /// Counts the routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
