//! The declared configuration: routes by host and longest path prefix, services, limits and
//! client accounts.

use std::collections::HashMap;
use std::sync::Arc;

use crate::accounts::Accounts;
use crate::regions::AllowedRegions;

/// How the calls of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// May run at most once.
    Once,
    /// A stream of events, run at most once unless the route may be resumed.
    Stream,
}

/// One target of a route, with its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service.
    pub service: Arc<str>,
    /// Weight relative to the other targets.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers use.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// How its calls may be executed.
    pub kind: RouteKind,
    /// Whether an interrupted stream may be resumed on another worker.
    pub is_resumable: bool,
    /// Timeout from the receipt of a request to the end of its answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target, in milliseconds: an answer within it counts as in time.
    pub latency_target_ms: u64,
    /// Target for the pause between two pieces of a stream, in milliseconds: a stream with
    /// longer pauses doesn't count as in time.
    pub gap_aim_ms: Option<u64>,
    /// Maximum number of workers on which one request may run.
    pub attempt_max_count: u32,
    /// Priority rank, zero first.
    pub priority: u8,
    /// Whether its calls need no API key.
    pub is_anonymous: bool,
    /// Regions in which its calls may be served.
    pub regions: AllowedRegions,
    /// Services that its calls are distributed to.
    pub targets: Vec<Target>,
}

impl Route {
    /// Whether a call that may already have run may be sent again.
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

/// A model declared by an engine service.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: Arc<str>,
    /// Memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// Number of adapters, named `a1`, `a2` and so on.
    pub adapter_count: u16,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Time to load the model from the weight store, in seconds.
    pub load_s: f64,
}

/// Properties of an engine service's workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a worker runs at once.
    pub slot_count: u32,
    /// Capacity of a worker's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Memory of a worker for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters that a worker holds.
    pub adapter_slot_count: u32,
    /// Loads that the weight store supports, per second.
    pub loads_per_s: f64,
    /// Tokens per stream event; zero if not declared.
    pub event_tokens: u32,
    /// Models, in the declared order.
    pub models: Vec<Model>,
}

impl Engine {
    /// Returns the index of a model in the list.
    pub fn model_index(&self, name: &str) -> Option<u16> {
        let found = self
            .models
            .iter()
            .position(|model| model.name.as_ref() == name);
        found.map(|index| index as u16)
    }
}

/// Cold start of a worker: the time after its start until its caches are filled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Duration of the cold phase, in milliseconds.
    pub for_ms: u64,
    /// Requests per second that a cold worker can handle; it crashes at rates well above
    /// that.
    pub rate_per_s: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Maximum number of connections to one worker, from all callers together.
    pub connection_max_count: u32,
    /// Cold start of its workers; none if they handle their full load at once.
    pub cold_start: Option<ColdStart>,
    /// Engine of its workers, if they hold models.
    pub engine: Option<Engine>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_max_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_within_ms: u64,
    /// Idle timeout of a keep-alive connection, in milliseconds.
    pub idle_within_ms: u64,
}

/// A complete configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version; it only increases.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Limits on callers.
    pub limits: Limits,
    /// Client accounts.
    pub accounts: Accounts,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    /// Strictest pause target among the routes to each service, in milliseconds.
    shortest_gap_targets_ms: HashMap<Arc<str>, u64>,
    /// Priority ranks and latency targets, in milliseconds, of the routes to each service.
    latency_targets_ms: HashMap<Arc<str>, Vec<(u8, u64)>>,
}

impl Configuration {
    /// Creates a configuration from its parts.
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
                if !latency_targets_ms.contains(&(route.priority, route.latency_target_ms)) {
                    latency_targets_ms.push((route.priority, route.latency_target_ms));
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

    /// Finds the route of a host with the longest matching path prefix.
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

    /// Returns the strictest target for the pause between two pieces of a stream among the
    /// routes to a service, in milliseconds; none if no route sets one.
    pub fn gap_aim_ms(&self, service: &str) -> Option<u64> {
        self.shortest_gap_targets_ms.get(service).copied()
    }

    /// Returns the longest timeout of the routes to each service whose streams may be resumed, in
    /// milliseconds.
    pub fn resumable_stream_timeouts_ms(&self) -> HashMap<Arc<str>, u64> {
        let mut timeouts_ms = HashMap::new();
        let routes = self.routes.values().flat_map(HashMap::values);
        for route in routes.filter(|route| route.kind == RouteKind::Stream && route.is_resumable) {
            for target in &route.targets {
                let longest_ms = timeouts_ms.entry(Arc::clone(&target.service)).or_insert(0);
                *longest_ms = route.timeout_ms.max(*longest_ms);
            }
        }
        timeouts_ms
    }

    /// Returns the shortest latency target among the routes to a service that are more
    /// urgent than a rank, in milliseconds; none if there are no such routes.
    pub fn urgent_latency_target_ms(&self, service: &str, rank: u8) -> Option<u64> {
        let latency_targets_ms = self.latency_targets_ms.get(service)?.iter();
        let urgent = latency_targets_ms.filter(|(other, _)| *other < rank);
        urgent
            .map(|(_, latency_target_ms)| *latency_target_ms)
            .min()
    }

    /// Counts the routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
