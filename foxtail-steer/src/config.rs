//! The configuration that operators write: routes, services and limits on callers.

use std::collections::{BTreeMap, HashMap};

use foxtail_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A complete configuration. A configuration with a higher version replaces one with a lower
/// version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "SerializedConfig", into = "SerializedConfig")]
pub struct Config {
    /// The version of the configuration.
    pub version: Version,
    routes: Vec<Route>,
    services: BTreeMap<ServiceId, Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Indices into `routes` for each host name, the longest prefix first.
    indices_by_host: HashMap<String, Vec<usize>>,
}

/// The serialized form of a configuration, which hosts send to each other.
#[derive(Serialize, Deserialize)]
struct SerializedConfig {
    version: Version,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: CallerLimits,
}

impl From<SerializedConfig> for Config {
    fn from(serialized: SerializedConfig) -> Self {
        Config::new(serialized.version, serialized.routes, serialized.services, serialized.limits)
    }
}

impl From<Config> for SerializedConfig {
    fn from(cfg: Config) -> Self {
        let Config { version, routes, services, limits, .. } = cfg;
        SerializedConfig { version, routes, services: services.into_values().collect(), limits }
    }
}

/// How requests for a host name and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route in logs.
    pub name: String,
    /// The host name that callers request.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time for which a request may wait for its answer.
    pub timeout: Millis,
    /// The latency objective.
    pub objective: Millis,
    /// The rank of the route's requests; 0 is the most urgent.
    pub priority: u32,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether upstreams are faster on objects that they handled recently.
    pub affinity: bool,
    /// The regions that may serve the route; empty for all.
    pub homes: Vec<RegionId>,
    /// The services that share the route's requests.
    pub parts: Vec<WeightedService>,
}

/// One service's share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the other parts of the route.
    pub weight: f64,
}

/// The properties that all upstreams of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// The path of the health check.
    pub health_path: String,
    /// Time that an upstream needs to warm up after its start.
    pub warm_up: Millis,
    /// Requests per second that a cold upstream, which is still warming up, accepts from all hosts
    /// together.
    pub cold_rate: f64,
    /// Most connections that one upstream accepts from all hosts together.
    pub connections: u32,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for receiving a request head.
    pub head_timeout: Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Millis::secs(3),
            idle_timeout: Millis::secs(15),
        }
    }
}

impl Config {
    /// Creates a configuration and indexes its routes by host name.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut indices_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            indices_by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in indices_by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, routes, services, limits, indices_by_host }
    }

    /// Returns the first two routes with the same host and prefix, the earlier one first. Requests
    /// could reach only one of them.
    pub fn collision(&self) -> Option<(&Route, &Route)> {
        let mut by_host_and_prefix: HashMap<(&str, &str), &Route> = HashMap::new();
        self.routes.iter().find_map(|route| {
            let other = by_host_and_prefix.insert((&route.host, &route.prefix), route)?;
            Some((other, route))
        })
    }

    /// Returns the route for `path` at `host`: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indices = self.indices_by_host.get(host)?;
        indices
            .iter()
            .map(|&index| &self.routes[index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
