//! The configuration that operators write: routes, services and limits on callers.

use std::collections::{BTreeMap, HashMap};

use foxtail_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A whole configuration. Higher versions replace lower ones.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Parts", into = "Parts")]
pub struct Config {
    /// Its version.
    pub version: Version,
    routes: Vec<Route>,
    services: BTreeMap<ServiceId, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    by_host: HashMap<String, Vec<usize>>,
}

/// A configuration as hosts send it to each other.
#[derive(Serialize, Deserialize)]
struct Parts {
    version: Version,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: CallerLimits,
}

impl From<Parts> for Config {
    fn from(parts: Parts) -> Self {
        Config::new(parts.version, parts.routes, parts.services, parts.limits)
    }
}

impl From<Config> for Parts {
    fn from(cfg: Config) -> Self {
        let Config { version, routes, services, limits, .. } = cfg;
        Parts { version, routes, services: services.into_values().collect(), limits }
    }
}

/// Where requests of a host name and path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host name that callers ask for.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest a request is kept waiting.
    pub timeout: Millis,
    /// The latency objective.
    pub objective: Millis,
    /// The rank among requests; 0 is the most urgent.
    pub priority: u32,
    /// The most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether upstreams are faster on objects that they handled lately.
    pub affinity: bool,
    /// The only regions that may serve it; empty for all.
    pub homes: Vec<RegionId>,
    /// The services that share its requests.
    pub parts: Vec<Part>,
}

/// One service's share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's parts.
    pub weight: f64,
}

/// What upstreams of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The path of its health check.
    pub health_path: String,
    /// How long an upstream needs to warm up after its start.
    pub warm_up: Millis,
    /// How many requests a second a cold upstream takes.
    pub cold_rate: f64,
    /// How many connections one upstream takes from all hosts together.
    pub connections: u32,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest a request head may take.
    pub head_timeout: Millis,
    /// The longest a connection may be idle.
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
    /// Puts a configuration together.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(at);
        }
        for found in by_host.values_mut() {
            found.sort_by_key(|&at| std::cmp::Reverse(routes[at].prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, routes, services, limits, by_host }
    }

    /// The first route whose host and prefix another one before it has, and that other one: requests
    /// could go to only one of them.
    pub fn collision(&self) -> Option<(&Route, &Route)> {
        let mut places: HashMap<(&str, &str), &Route> = HashMap::new();
        self.routes.iter().find_map(|route| {
            let other = places.insert((&route.host, &route.prefix), route)?;
            Some((other, route))
        })
    }

    /// The route of `path` at `host`: the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let found = self.by_host.get(host)?;
        found.iter().map(|&at| &self.routes[at]).find(|route| path.starts_with(&route.prefix))
    }

    /// The service called `name`.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
