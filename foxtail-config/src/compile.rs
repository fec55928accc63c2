//! Checks a template with its parameters and compiles them to the configuration that hosts use.

use std::collections::BTreeMap;

use foxtail_steer::Config;
use foxtail_steer::config::{Route, Service, WeightedService};
use foxtail_types::prelude::*;
use garde::Validate;

use crate::headroom::Demand;
use crate::params::{RouteParams, ServiceParams};
use crate::template::{RouteTemplate, ServiceTemplate};
use crate::{Error, Limit, Params, Range, Site, Template};

/// The highest expected load of a service in one region, in requests per second.
const MAX_EXPECTED_REQUESTS_PER_S: u64 = 10_000_000;

/// The highest weight of a service in the split of a route.
const MAX_SPLIT_WEIGHT: u32 = 10_000;

/// The maximum length of a host name, in bytes.
const MAX_HOST_NAME_BYTES: usize = 253;

/// Separates the workspace from the route in the name of a compiled route.
const WORKSPACE_SEPARATOR: char = '/';

/// The routes and services that one workspace adds to the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceConfig {
    /// The workspace's routes, named `<workspace>/<route>`.
    pub routes: Vec<Route>,
    /// The services that the template defines.
    pub services: Vec<Service>,
    /// The expected load of each service.
    pub demand: Vec<Demand>,
}

/// Checks `params` against `template` and the regions of `site`, and compiles them to the
/// configuration of the workspace.
///
/// # Errors
///
/// Returns [`Error`] with every rejected parameter, the reason, and the values that are accepted.
/// If the template itself is invalid, the parameters are not checked.
pub fn compile(
    template: &Template,
    params: &Params,
    site: &Site,
) -> Result<WorkspaceConfig, Error> {
    let mut compiler = Compiler { site, errors: Error::default() };
    if let Err(report) = template.validate() {
        compiler.errors.push_report("template", &report);
        return Err(compiler.errors);
    }
    compiler.check_names(template, params);
    let mut compiled = WorkspaceConfig::default();
    for (name, spec) in &template.services {
        let given = params.services.get(name).cloned().unwrap_or_default();
        if let Some((service, demand)) = compiler.compile_service(name, spec, &given) {
            compiled.services.push(service);
            compiled.demand.push(demand);
        }
    }
    for (name, spec) in &template.routes {
        let given = params.routes.get(name).cloned().unwrap_or_default();
        compiled.routes.extend(compiler.compile_route(name, spec, &given, (template, params)));
    }
    compiler.errors.into_result(compiled)
}

/// Returns the name of the workspace that `route` belongs to, or `None` if the route was not
/// compiled from a template.
pub fn workspace_of(route: &Route) -> Option<&str> {
    route.name.split_once(WORKSPACE_SEPARATOR).map(|(workspace, _)| workspace)
}

impl WorkspaceConfig {
    /// Returns a copy of `cfg` at `version` in which this configuration replaces the routes of
    /// `workspace`. Services of `cfg` that no remaining route uses are removed.
    pub fn apply_to(&self, cfg: &Config, workspace: &WorkspaceId, version: Version) -> Config {
        let others =
            cfg.routes().iter().filter(|route| workspace_of(route) != Some(workspace.as_str()));
        let routes: Vec<Route> = others.chain(&self.routes).cloned().collect();
        let is_used = |name: &ServiceId| {
            routes.iter().flat_map(|route| &route.parts).any(|part| part.service == *name)
        };
        let is_own = |name: &ServiceId| self.services.iter().any(|service| service.name == *name);
        let unchanged =
            cfg.services().filter(|service| !is_own(&service.name) && is_used(&service.name));
        let services: Vec<Service> = unchanged.chain(&self.services).cloned().collect();
        Config::new(version, routes, services, cfg.limits)
    }
}

/// Compiles the services and routes of a workspace and collects all problems.
struct Compiler<'a> {
    site: &'a Site,
    errors: Error,
}

impl Compiler<'_> {
    fn check_names(&mut self, template: &Template, params: &Params) {
        if params.template != template.template {
            let reason = format!("`{}` is not the name of this template", params.template);
            self.errors.push("template", reason, &template.template);
        }
        let is_host_char =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || ".-".contains(c);
        if params.host.is_empty()
            || params.host.len() > MAX_HOST_NAME_BYTES
            || !params.host.chars().all(is_host_char)
        {
            let reason = format!("`{}` is not a valid host name", params.host);
            let accepted =
                format!("1 to {MAX_HOST_NAME_BYTES} characters of a-z, 0-9, `-` and `.`");
            self.errors.push("host", reason, accepted);
        }
        for name in params.services.keys().filter(|name| !template.services.contains_key(*name)) {
            let reason = format!("template {} has no such service", template.template);
            self.errors.push(
                format!("services.{name}"),
                reason,
                join_names(template.services.keys()),
            );
        }
        for name in params.routes.keys().filter(|name| !template.routes.contains_key(*name)) {
            let reason = format!("template {} has no such route", template.template);
            self.errors.push(format!("routes.{name}"), reason, join_names(template.routes.keys()));
        }
    }

    fn compile_service(
        &mut self,
        name: &str,
        spec: &ServiceTemplate,
        given: &ServiceParams,
    ) -> Option<(Service, Demand)> {
        let path = format!("services.{name}");
        let id = self.parse_service_id(&path, name)?;
        self.check_limits(&path, &spec.limits, &given.limits);
        let per_s = self.compile_expected_load(&path, &given.expected_per_s);
        let limit_value = |limit| limit_or_default(&spec.limits, &given.limits, limit);
        let service = Service {
            name: id.clone(),
            health_path: spec.health_path.clone(),
            warm_up: Millis(limit_value(Limit::WarmUpMs)),
            cold_rate: limit_value(Limit::ColdPerS) as f64,
            connections: u32::try_from(limit_value(Limit::Connections)).unwrap_or(u32::MAX),
        };
        let demand = Demand { service: id, service_ms: limit_value(Limit::ServiceMs), per_s };
        Some((service, demand))
    }

    fn compile_route(
        &mut self,
        name: &str,
        spec: &RouteTemplate,
        given: &RouteParams,
        (template, params): (&Template, &Params),
    ) -> Option<Route> {
        let path = format!("routes.{name}");
        self.check_limits(&path, &spec.limits, &given.limits);
        let limit_value = |limit| limit_or_default(&spec.limits, &given.limits, limit);
        let (timeout, objective) = (limit_value(Limit::TimeoutMs), limit_value(Limit::ObjectiveMs));
        if objective > timeout {
            let reason = format!("{objective} is above timeout_ms");
            self.errors.push(
                format!("{path}.limits.objective_ms"),
                reason,
                format!("up to {timeout}"),
            );
        }
        self.check_homes(&path, &given.homes);
        let parts = self.compile_split(&path, spec, given, template)?;
        Some(Route {
            name: format!("{}{WORKSPACE_SEPARATOR}{name}", params.workspace),
            host: params.host.clone(),
            prefix: spec.prefix.clone(),
            idempotent: spec.idempotent,
            timeout: Millis(timeout),
            objective: Millis(objective),
            priority: spec.priority,
            max_attempts: u32::try_from(limit_value(Limit::MaxAttempts)).unwrap_or(u32::MAX),
            affinity: spec.affinity,
            homes: given.homes.clone(),
            parts,
        })
    }

    fn compile_split(
        &mut self,
        path: &str,
        spec: &RouteTemplate,
        given: &RouteParams,
        template: &Template,
    ) -> Option<Vec<WeightedService>> {
        if given.split.is_empty() {
            let id = self.parse_service_id(&format!("{path}.service"), &spec.service)?;
            if !template.services.contains_key(&spec.service) {
                let reason = format!("there is no service {}", spec.service);
                let accepted = join_names(template.services.keys());
                self.errors.push(format!("template.{path}.service"), reason, accepted);
            }
            return Some(vec![WeightedService { service: id, weight: 1.0 }]);
        }
        let mut parts = Vec::new();
        for (name, weight) in &given.split {
            let path = format!("{path}.split.{name}");
            if !template.services.contains_key(name) {
                let reason = format!("template {} has no such service", template.template);
                self.errors.push(&path, reason, join_names(template.services.keys()));
            }
            if *weight > MAX_SPLIT_WEIGHT {
                let accepted = format!("0 to {MAX_SPLIT_WEIGHT}");
                self.errors.push(&path, format!("a weight of {weight} is too large"), accepted);
            }
            let service = self.parse_service_id(&path, name)?;
            parts.push(WeightedService { service, weight: f64::from(*weight) });
        }
        if parts.iter().all(|part| part.weight <= 0.0) {
            let reason = "all weights are zero";
            self.errors.push(format!("{path}.split"), reason, "one weight of 1 or more");
        }
        Some(parts)
    }

    fn check_homes(&mut self, path: &str, homes: &[RegionId]) {
        for home in homes.iter().filter(|home| !self.site.has_region(home)) {
            let reason = format!("there is no region {home}");
            self.errors.push(format!("{path}.homes"), reason, join_names(self.site.regions()));
        }
    }

    fn compile_expected_load(
        &mut self,
        path: &str,
        given: &BTreeMap<String, u64>,
    ) -> BTreeMap<RegionId, u64> {
        let mut per_s = BTreeMap::new();
        for (name, expected) in given {
            let path = format!("{path}.expected_per_s.{name}");
            match RegionId::new(name).ok().filter(|region| self.site.has_region(region)) {
                Some(region) => {
                    per_s.insert(region, *expected);
                }
                None => {
                    let accepted = join_names(self.site.regions());
                    self.errors.push(&path, "there is no such region", accepted);
                }
            }
            if *expected > MAX_EXPECTED_REQUESTS_PER_S {
                let accepted = format!("0 to {MAX_EXPECTED_REQUESTS_PER_S}");
                self.errors.push(&path, format!("{expected} is out of bounds"), accepted);
            }
        }
        per_s
    }

    fn check_limits(
        &mut self,
        path: &str,
        ranges: &BTreeMap<Limit, Range>,
        given: &BTreeMap<Limit, u64>,
    ) {
        for (limit, value) in given {
            let path = format!("{path}.limits.{}", limit.as_str());
            match ranges.get(limit) {
                None => {
                    let accepted = join_names(ranges.keys().map(|limit| limit.as_str()));
                    self.errors.push(path, "this service or route has no such limit", accepted);
                }
                Some(range) if !range.contains(*value) => {
                    let reason = format!("{value} is outside {} to {}", range.min, range.max);
                    self.errors.push(path, reason, range.nearest(*value).to_string());
                }
                Some(_) => {}
            }
        }
    }

    fn parse_service_id(&mut self, path: &str, name: &str) -> Option<ServiceId> {
        ServiceId::new(name)
            .inspect_err(|e| self.errors.push(path, e.to_string(), "a valid service name"))
            .ok()
    }
}

fn limit_or_default(
    ranges: &BTreeMap<Limit, Range>,
    given: &BTreeMap<Limit, u64>,
    limit: Limit,
) -> u64 {
    given.get(&limit).copied().unwrap_or(ranges[&limit].default)
}

fn join_names<T: ToString>(names: impl IntoIterator<Item = T>) -> String {
    names.into_iter().map(|name| name.to_string()).collect::<Vec<_>>().join(", ")
}
