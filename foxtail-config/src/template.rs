//! Templates: the services and routes that a workspace may have, with the bounds of each limit.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;
use garde::Validate;

/// A template that operators fill in.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The name of the template.
    #[garde(length(min = 1, max = 64), pattern("^[a-z0-9][a-z0-9.-]*$"))]
    pub template: String,
    /// A description for operators.
    #[garde(length(max = 400))]
    pub about: String,
    /// The services, by name.
    #[garde(length(min = 1, max = 64), dive)]
    pub services: BTreeMap<String, ServiceTemplate>,
    /// The routes to the services, by name.
    #[garde(length(min = 1, max = 256), dive)]
    pub routes: BTreeMap<String, RouteTemplate>,
}

/// A service of a template.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct ServiceTemplate {
    /// A description for operators.
    #[garde(length(max = 400))]
    pub about: String,
    /// The path of the health check of its upstreams.
    #[garde(length(min = 1, max = 200), prefix("/"))]
    pub health_path: String,
    /// The bounds and the default of each limit.
    #[garde(custom(require_limits(&Limit::OF_SERVICES)))]
    pub limits: BTreeMap<Limit, Range>,
}

/// A route of a template.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct RouteTemplate {
    /// A description for operators.
    #[garde(length(max = 400))]
    pub about: String,
    /// The service that gets the requests unless the parameters set a split.
    #[garde(skip)]
    pub service: String,
    /// The prefix of the request paths that the route matches.
    #[garde(length(min = 1, max = 200), prefix("/"), suffix("/"))]
    pub prefix: String,
    /// Whether a request may run more than once.
    #[garde(skip)]
    pub idempotent: bool,
    /// The priority of the requests; 0 is the highest.
    #[garde(range(max = 9))]
    pub priority: u32,
    /// Whether upstreams are faster on objects that they handled recently.
    #[garde(skip)]
    pub affinity: bool,
    /// The bounds and the default of each limit.
    #[garde(custom(require_limits(&Limit::OF_ROUTES)))]
    pub limits: BTreeMap<Limit, Range>,
}

/// A number of a service or a route that operators may set within the bounds of the template.
#[id]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The time that an upstream needs to warm up after its start, in milliseconds.
    WarmUpMs,
    /// The rate of requests that an upstream accepts until it has warmed up, per second.
    ColdPerS,
    /// The maximum number of connections to one upstream, from all hosts together.
    Connections,
    /// The expected time that a request holds a slot, in milliseconds.
    ServiceMs,
    /// The maximum time that a request waits for its answer, in milliseconds.
    TimeoutMs,
    /// The latency objective, in milliseconds.
    ObjectiveMs,
    /// The maximum number of upstreams that one request is sent to.
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
    /// The value if the parameters set none.
    #[garde(range(min = self.min, max = self.max))]
    pub default: u64,
}

impl Range {
    /// Returns whether `value` lies within the bounds, which are inclusive.
    pub const fn contains(&self, value: u64) -> bool {
        self.min <= value && value <= self.max
    }

    /// Returns the accepted value nearest to `value`.
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

    /// Returns the name of the limit in templates and parameters.
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

/// Returns a validator that accepts exactly the limits in `required`, each with consistent bounds.
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
            Some(other) => Err(garde::Error::new(format!(
                "`{}` is not a limit of this service or route",
                other.as_str()
            ))),
            None => Ok(()),
        }
    }
}
