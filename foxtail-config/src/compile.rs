//! From checked input to the configuration that hosts use.

use std::collections::BTreeMap;

use foxtail_steer::Config;
use foxtail_steer::config::{Part as Share, Route, Service};
use foxtail_types::prelude::*;
use garde::Validate;

use crate::headroom::Demand;
use crate::params::{RouteParams, ServiceParams};
use crate::template::{RouteTemplate, ServiceTemplate};
use crate::{Error, Limit, Params, Range, Site, Template};

/// The most requests a second that can be expected of a region.
const EXPECTED_PER_S_MOST: u64 = 10_000_000;

/// The largest weight of a service in a split.
const WEIGHT_MOST: u32 = 10_000;

/// The longest host name.
const HOST_MOST: usize = 253;

/// What stands between a workspace and a route in the name of the route.
const NAME_END: char = '/';

/// A workspace's part of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// Its routes; their names begin with the workspace's.
    pub routes: Vec<Route>,
    /// The services that they use.
    pub services: Vec<Service>,
    /// The load that is expected of them.
    pub demand: Vec<Demand>,
}

/// Checks `params` against `template` and what `site` has, and makes the workspace's part of them.
///
/// # Errors
///
/// [`Error`] with every parameter that is not accepted, its bound and what would be.
pub fn compile(template: &Template, params: &Params, site: &Site) -> Result<Part, Error> {
    let mut cx = Context { site, errors: Error::default() };
    if let Err(report) = template.validate() {
        cx.errors.push_report("template", &report);
        return Err(cx.errors);
    }
    cx.names(template, params);
    let mut part = Part::default();
    for (name, spec) in &template.services {
        let given = params.services.get(name).cloned().unwrap_or_default();
        if let Some((service, demand)) = cx.service(name, spec, &given) {
            part.services.push(service);
            part.demand.push(demand);
        }
    }
    for (name, spec) in &template.routes {
        let given = params.routes.get(name).cloned().unwrap_or_default();
        part.routes.extend(cx.route(name, spec, &given, (template, params)));
    }
    cx.errors.into_result(part)
}

/// The workspace whose part of a configuration holds `route`, if it was made of a template.
pub fn workspace_of(route: &Route) -> Option<&str> {
    route.name.split_once(NAME_END).map(|(workspace, _)| workspace)
}

impl Part {
    /// `cfg` at `version` with this part in place of what `workspace` had.
    pub fn laid_over(&self, cfg: &Config, workspace: &WorkspaceId, version: Version) -> Config {
        let others =
            cfg.routes().iter().filter(|route| workspace_of(route) != Some(workspace.as_str()));
        let routes: Vec<Route> = others.chain(&self.routes).cloned().collect();
        let used = |name: &ServiceId| {
            routes.iter().flat_map(|route| &route.parts).any(|share| share.service == *name)
        };
        let own = |name: &ServiceId| self.services.iter().any(|service| service.name == *name);
        let kept = cfg.services().filter(|service| !own(&service.name) && used(&service.name));
        let services: Vec<Service> = kept.chain(&self.services).cloned().collect();
        Config::new(version, routes, services, cfg.limits)
    }
}

struct Context<'a> {
    site: &'a Site,
    errors: Error,
}

impl Context<'_> {
    fn names(&mut self, template: &Template, params: &Params) {
        if params.template != template.template {
            let reason = format!("`{}` is another template", params.template);
            self.errors.push("template", reason, &template.template);
        }
        let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || ".-".contains(c);
        if params.host.is_empty()
            || params.host.len() > HOST_MOST
            || !params.host.chars().all(plain)
        {
            let reason = format!("`{}` is no host name", params.host);
            let accepted = format!("1 to {HOST_MOST} characters of a-z, 0-9, `-` and `.`");
            self.errors.push("host", reason, accepted);
        }
        for name in params.services.keys().filter(|name| !template.services.contains_key(*name)) {
            let reason = format!("template {} has no such service", template.template);
            self.errors.push(format!("services.{name}"), reason, list(template.services.keys()));
        }
        for name in params.routes.keys().filter(|name| !template.routes.contains_key(*name)) {
            let reason = format!("template {} has no such route", template.template);
            self.errors.push(format!("routes.{name}"), reason, list(template.routes.keys()));
        }
    }

    fn service(
        &mut self,
        name: &str,
        spec: &ServiceTemplate,
        given: &ServiceParams,
    ) -> Option<(Service, Demand)> {
        let path = format!("services.{name}");
        let id = self.service_id(&path, name)?;
        self.limits(&path, &spec.limits, &given.limits);
        let per_s = self.expected(&path, &given.expected_per_s);
        let value = |limit| value(&spec.limits, &given.limits, limit);
        let service = Service {
            name: id.clone(),
            health_path: spec.health_path.clone(),
            warm_up: Millis(value(Limit::WarmUpMs)),
            cold_rate: value(Limit::ColdPerS) as f64,
            connections: u32::try_from(value(Limit::Connections)).unwrap_or(u32::MAX),
        };
        let demand = Demand { service: id, service_ms: value(Limit::ServiceMs), per_s };
        Some((service, demand))
    }

    fn route(
        &mut self,
        name: &str,
        spec: &RouteTemplate,
        given: &RouteParams,
        (template, params): (&Template, &Params),
    ) -> Option<Route> {
        let path = format!("routes.{name}");
        self.limits(&path, &spec.limits, &given.limits);
        let value = |limit| value(&spec.limits, &given.limits, limit);
        let (timeout, objective) = (value(Limit::TimeoutMs), value(Limit::ObjectiveMs));
        if objective > timeout {
            let reason = format!("{objective} is above timeout_ms");
            self.errors.push(
                format!("{path}.limits.objective_ms"),
                reason,
                format!("up to {timeout}"),
            );
        }
        self.homes(&path, &given.homes);
        let parts = self.parts(&path, spec, given, template)?;
        Some(Route {
            name: format!("{}{NAME_END}{name}", params.workspace),
            host: params.host.clone(),
            prefix: spec.prefix.clone(),
            idempotent: spec.idempotent,
            timeout: Millis(timeout),
            objective: Millis(objective),
            priority: spec.priority,
            max_attempts: u32::try_from(value(Limit::MaxAttempts)).unwrap_or(u32::MAX),
            affinity: spec.affinity,
            homes: given.homes.clone(),
            parts,
        })
    }

    fn parts(
        &mut self,
        path: &str,
        spec: &RouteTemplate,
        given: &RouteParams,
        template: &Template,
    ) -> Option<Vec<Share>> {
        if given.split.is_empty() {
            let id = self.service_id(&format!("{path}.service"), &spec.service)?;
            if !template.services.contains_key(&spec.service) {
                let reason = format!("there is no service {}", spec.service);
                let accepted = list(template.services.keys());
                self.errors.push(format!("template.{path}.service"), reason, accepted);
            }
            return Some(vec![Share { service: id, weight: 1.0 }]);
        }
        let mut parts = Vec::new();
        for (name, weight) in &given.split {
            let path = format!("{path}.split.{name}");
            if !template.services.contains_key(name) {
                let reason = format!("template {} has no such service", template.template);
                self.errors.push(&path, reason, list(template.services.keys()));
            }
            if *weight > WEIGHT_MOST {
                let accepted = format!("0 to {WEIGHT_MOST}");
                self.errors.push(&path, format!("a weight of {weight} is too much"), accepted);
            }
            let service = self.service_id(&path, name)?;
            parts.push(Share { service, weight: f64::from(*weight) });
        }
        if parts.iter().all(|part| part.weight <= 0.0) {
            let reason = "all weights are zero";
            self.errors.push(format!("{path}.split"), reason, "one weight of 1 or more");
        }
        Some(parts)
    }

    fn homes(&mut self, path: &str, homes: &[RegionId]) {
        for home in homes.iter().filter(|home| !self.site.has_region(home)) {
            let reason = format!("there is no region {home}");
            self.errors.push(format!("{path}.homes"), reason, list(self.site.regions()));
        }
    }

    fn expected(&mut self, path: &str, given: &BTreeMap<String, u64>) -> BTreeMap<RegionId, u64> {
        let mut per_s = BTreeMap::new();
        for (name, expected) in given {
            let path = format!("{path}.expected_per_s.{name}");
            match RegionId::new(name).ok().filter(|region| self.site.has_region(region)) {
                Some(region) => {
                    per_s.insert(region, *expected);
                }
                None => {
                    let accepted = list(self.site.regions());
                    self.errors.push(&path, "there is no such region", accepted);
                }
            }
            if *expected > EXPECTED_PER_S_MOST {
                let accepted = format!("0 to {EXPECTED_PER_S_MOST}");
                self.errors.push(&path, format!("{expected} is out of bounds"), accepted);
            }
        }
        per_s
    }

    fn limits(
        &mut self,
        path: &str,
        ranges: &BTreeMap<Limit, Range>,
        given: &BTreeMap<Limit, u64>,
    ) {
        for (limit, value) in given {
            let path = format!("{path}.limits.{}", limit.as_str());
            match ranges.get(limit) {
                None => {
                    let accepted = list(ranges.keys().map(|limit| limit.as_str()));
                    self.errors.push(path, "there is no such limit here", accepted);
                }
                Some(range) if !range.contains(*value) => {
                    let reason = format!("{value} is outside {} to {}", range.min, range.max);
                    self.errors.push(path, reason, range.nearest(*value).to_string());
                }
                Some(_) => {}
            }
        }
    }

    fn service_id(&mut self, path: &str, name: &str) -> Option<ServiceId> {
        ServiceId::new(name)
            .inspect_err(|e| self.errors.push(path, e.to_string(), "a name by these rules"))
            .ok()
    }
}

fn value(ranges: &BTreeMap<Limit, Range>, given: &BTreeMap<Limit, u64>, limit: Limit) -> u64 {
    given.get(&limit).copied().unwrap_or(ranges[&limit].default)
}

fn list<T: ToString>(names: impl IntoIterator<Item = T>) -> String {
    names.into_iter().map(|name| name.to_string()).collect::<Vec<_>>().join(", ")
}
