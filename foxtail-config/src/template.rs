//! Templates: the services and routes that a workspace may have, with the bounds of every parameter.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;
use garde::Validate;

/// A template that operators fill in.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    #[garde(length(min = 1, max = 64), pattern("^[a-z0-9][a-z0-9.-]*$"))]
    pub template: String,
    /// What it is for.
    #[garde(length(max = 400))]
    pub about: String,
    /// The services, by name.
    #[garde(length(min = 1, max = 64), dive)]
    pub services: BTreeMap<String, ServiceTemplate>,
    /// The routes to them, by name.
    #[garde(length(min = 1, max = 256), dive)]
    pub routes: BTreeMap<String, RouteTemplate>,
}

/// A service of a template.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct ServiceTemplate {
    /// What it is for.
    #[garde(length(max = 400))]
    pub about: String,
    /// The path at which its upstreams tell their health.
    #[garde(length(min = 1, max = 200), prefix("/"))]
    pub health_path: String,
    /// The bounds of each limit.
    #[garde(custom(require_limits(&Limit::OF_SERVICES)))]
    pub limits: BTreeMap<Limit, Range>,
}

/// A route of a template.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct RouteTemplate {
    /// What it is for.
    #[garde(length(max = 400))]
    pub about: String,
    /// The service that takes its requests.
    #[garde(skip)]
    pub service: String,
    /// Where the paths of its requests begin.
    #[garde(length(min = 1, max = 200), prefix("/"), suffix("/"))]
    pub prefix: String,
    /// Whether a request may run more than once.
    #[garde(skip)]
    pub idempotent: bool,
    /// The rank among requests; 0 is the most urgent.
    #[garde(range(max = 9))]
    pub priority: u32,
    /// Whether upstreams are faster on objects that they handled lately.
    #[garde(skip)]
    pub affinity: bool,
    /// The bounds of each limit.
    #[garde(custom(require_limits(&Limit::OF_ROUTES)))]
    pub limits: BTreeMap<Limit, Range>,
}

/// A numeric limit of a service or a route.
#[id]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// How long an upstream needs to warm up after its start, in milliseconds.
    WarmUpMs,
    /// How many requests a second a cold upstream takes.
    ColdPerS,
    /// How many connections one upstream takes.
    Connections,
    /// The expected time that a request holds a slot, in milliseconds.
    ServiceMs,
    /// The longest that a request is kept waiting, in milliseconds.
    TimeoutMs,
    /// The latency objective, in milliseconds.
    ObjectiveMs,
    /// The most upstreams that one request is sent to.
    MaxAttempts,
}

/// The bounds and the default of a number.
#[value]
#[derive(Copy, Validate)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The lowest accepted value.
    #[garde(range(max = self.max))]
    pub min: u64,
    /// The highest accepted value.
    #[garde(skip)]
    pub max: u64,
    /// The value of an operator who gives none.
    #[garde(range(min = self.min, max = self.max))]
    pub default: u64,
}

impl Range {
    /// Whether `value` lies within the bounds.
    pub const fn contains(&self, value: u64) -> bool {
        self.min <= value && value <= self.max
    }

    /// The accepted value nearest to `value`.
    pub fn nearest(&self, value: u64) -> u64 {
        value.clamp(self.min, self.max)
    }
}

impl Limit {
    /// The limits of a service.
    pub const OF_SERVICES: [Limit; 4] =
        [Limit::WarmUpMs, Limit::ColdPerS, Limit::Connections, Limit::ServiceMs];

    /// The limits of a route.
    pub const OF_ROUTES: [Limit; 3] = [Limit::TimeoutMs, Limit::ObjectiveMs, Limit::MaxAttempts];

    /// The name in parameters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Limit::WarmUpMs => "warm_up_ms",
            Limit::ColdPerS => "cold_per_s",
            Limit::Connections => "connections",
            Limit::ServiceMs => "service_ms",
            Limit::TimeoutMs => "timeout_ms",
            Limit::ObjectiveMs => "objective_ms",
            Limit::MaxAttempts => "max_attempts",
        }
    }
}

/// Exactly `required` are there, each with sound bounds.
fn require_limits(
    required: &'static [Limit],
) -> impl FnOnce(&BTreeMap<Limit, Range>, &()) -> garde::Result {
    move |limits, cx| {
        for limit in required {
            let range = limits
                .get(limit)
                .ok_or_else(|| garde::Error::new(format!("`{}` is missing", limit.as_str())))?;
            range
                .validate_with(cx)
                .map_err(|e| garde::Error::new(format!("`{}`: {e}", limit.as_str()).trim_end()))?;
        }
        match limits.keys().find(|limit| !required.contains(limit)) {
            Some(other) => {
                Err(garde::Error::new(format!("`{}` has no place here", other.as_str())))
            }
            None => Ok(()),
        }
    }
}
