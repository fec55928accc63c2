use std::collections::BTreeMap;
use std::net::SocketAddr;

use foxtail_types::prelude::*;
use garde::Validate;

use super::Error;
use crate::headroom::Demand;
use crate::params::ServiceParams;
use crate::template::ServiceTemplate;
use crate::{Limit, Network, OnceRule, Params, Service, Template, Upstream, Workspace};

const SERVERS_MAX: usize = 10_000;
const EXPECTED_PER_S_MAX: u64 = 10_000_000;

/// Checks `params` against `template` and `network` and makes the workspace of them, at version 0.
///
/// # Errors
///
/// [`Error`] with every parameter that is not accepted, its bound and what would be.
pub fn workspace(
    template: &Template,
    params: &Params,
    network: &Network,
) -> Result<Workspace, Error> {
    let mut errors = Error::default();
    if let Err(report) = template.validate() {
        errors.push_report("template", &report);
        return Err(errors);
    }
    if params.template != template.template {
        let reason = format!("`{}` is another template", params.template);
        errors.push("template", reason, &template.template);
    }
    let shift_per_s = params.shift_per_s.unwrap_or(template.shift_per_s.default);
    check_range("shift_per_s", shift_per_s, &template.shift_per_s, &mut errors);
    if params.services.is_empty() {
        errors.push("services", "there is none", names(template.services.keys()));
    }
    let mut cx = Context { network, errors, taken: BTreeMap::new() };
    let services = params
        .services
        .iter()
        .filter_map(|(name, params)| cx.service(name, template, params))
        .collect();
    let workspace = Workspace {
        id: params.workspace.clone(),
        version: Version(0),
        services,
        shift_per_s: to_u32(shift_per_s),
    };
    cx.errors.into_result(workspace)
}

/// The load that the operator expects, for [`assess`](crate::headroom::assess).
pub fn demand(template: &Template, params: &Params) -> Vec<Demand> {
    let mut demands = Vec::new();
    for (name, service) in &params.services {
        let Some(template) = template.services.get(name) else { continue };
        let Ok(id) = ServiceId::new(name) else { continue };
        let per_s = service.expected_per_s.iter();
        let per_s = per_s.filter_map(|(r, n)| Some((RegionId::new(r).ok()?, *n))).collect();
        let service_ms = limit(template, service, Limit::ServiceMs);
        demands.push(Demand { service: id, service_ms, per_s });
    }
    demands
}

struct Context<'a> {
    network: &'a Network,
    errors: Error,
    taken: BTreeMap<SocketAddr, String>,
}

impl Context<'_> {
    fn service(&mut self, name: &str, all: &Template, params: &ServiceParams) -> Option<Service> {
        let path = format!("services.{name}");
        let Some(template) = all.services.get(name) else {
            let reason = format!("template {} has no such service", all.template);
            self.errors.push(path, reason, names(all.services.keys()));
            return None;
        };
        let id = match ServiceId::new(name) {
            Ok(id) => id,
            Err(e) => {
                self.errors.push(path, e.to_string(), "a name by these rules");
                return None;
            }
        };
        self.limits(&path, template, params);
        self.expected(&path, params);
        let once = self.once(&path, template, params);
        let upstreams = self.upstreams(&path, &id, template, params);
        let value = |which| limit(template, params, which);
        Some(Service {
            id,
            upstreams,
            class: template.class,
            deadline: Millis(value(Limit::DeadlineMs)),
            deadline_max: Millis(value(Limit::DeadlineMaxMs)),
            body_max_bytes: value(Limit::BodyMaxBytes),
            answer_bytes: value(Limit::AnswerBytes),
            queue_max: to_u32(value(Limit::QueueMax)),
            once,
        })
    }

    fn limits(&mut self, path: &str, template: &ServiceTemplate, params: &ServiceParams) {
        for (limit, value) in &params.limits {
            let path = format!("{path}.limits.{}", limit.as_str());
            check_range(&path, *value, &template.limits[limit], &mut self.errors);
        }
        let deadline = limit(template, params, Limit::DeadlineMs);
        let max = limit(template, params, Limit::DeadlineMaxMs);
        if deadline > max {
            let path = format!("{path}.limits.deadline_ms");
            let reason = format!("{deadline} is above deadline_max_ms");
            self.errors.push(path, reason, format!("up to {max}"));
        }
    }

    fn expected(&mut self, path: &str, params: &ServiceParams) {
        for (region, per_s) in &params.expected_per_s {
            let path = format!("{path}.expected_per_s.{region}");
            if !self.network.regions.iter().any(|r| r.id.as_str() == region) {
                let accepted = names(self.network.regions.iter().map(|r| r.id.as_str()));
                self.errors.push(&path, "there is no such region", accepted);
            }
            if *per_s > EXPECTED_PER_S_MAX {
                let accepted = format!("0 to {EXPECTED_PER_S_MAX}");
                self.errors.push(&path, format!("{per_s} is out of bounds"), accepted);
            }
        }
    }

    fn once(
        &mut self,
        path: &str,
        template: &ServiceTemplate,
        params: &ServiceParams,
    ) -> Vec<OnceRule> {
        let mut once = template.never_repeat.clone();
        for (i, rule) in params.never_repeat.iter().enumerate() {
            let path = format!("{path}.never_repeat.{i}");
            let upper = rule.method.bytes().all(|b| b.is_ascii_uppercase());
            if rule.method.is_empty() || !upper {
                let reason = format!("`{}` is no method", rule.method);
                self.errors.push(format!("{path}.method"), reason, "for example POST");
            }
            if !rule.path.starts_with('/') {
                let reason = format!("`{}` is no path", rule.path);
                self.errors.push(format!("{path}.path"), reason, "a path that starts with /");
            }
            if !once.contains(rule) {
                once.push(rule.clone());
            }
        }
        once
    }

    fn upstreams(
        &mut self,
        path: &str,
        id: &ServiceId,
        template: &ServiceTemplate,
        params: &ServiceParams,
    ) -> Vec<Upstream> {
        let slots = to_u32(limit(template, params, Limit::Slots));
        let mut upstreams = Vec::new();
        for (zone, addrs) in &params.servers {
            let path = format!("{path}.servers.{zone}");
            let Some((region, zone)) = find_zone(self.network, zone) else {
                let zones = self.network.regions.iter().flat_map(|region| &region.zones);
                let accepted = names(zones.map(ZoneId::as_str));
                self.errors.push(&path, "there is no such zone", accepted);
                continue;
            };
            for addr in addrs.iter().filter(|&&addr| self.take(&path, addr)) {
                upstreams.push(Upstream {
                    id: upstream_id(id, *addr),
                    addr: *addr,
                    region: region.clone(),
                    zone: zone.clone(),
                    slots,
                });
            }
        }
        if upstreams.is_empty() || upstreams.len() > SERVERS_MAX {
            let reason = format!("{} servers are out of bounds", upstreams.len());
            self.errors.push(format!("{path}.servers"), reason, format!("1 to {SERVERS_MAX}"));
        }
        upstreams
    }

    fn take(&mut self, path: &str, addr: SocketAddr) -> bool {
        if addr.port() == 0 {
            self.errors.push(path, format!("{addr} has no port"), "an address with a port above 0");
            return false;
        }
        match self.taken.insert(addr, path.to_owned()) {
            None => true,
            Some(other) => {
                let reason = format!("{addr} stands in {other} too");
                self.errors.push(path, reason, "each address once");
                false
            }
        }
    }
}

fn limit(template: &ServiceTemplate, params: &ServiceParams, limit: Limit) -> u64 {
    params.limits.get(&limit).copied().unwrap_or(template.limits[&limit].default)
}

fn check_range(path: &str, value: u64, range: &crate::template::Range, errors: &mut Error) {
    if !range.contains(value) {
        let reason = format!("{value} is outside {} to {}", range.min, range.max);
        errors.push(path, reason, range.nearest(value).to_string());
    }
}

fn find_zone<'a>(network: &'a Network, name: &str) -> Option<(&'a RegionId, &'a ZoneId)> {
    network.regions.iter().find_map(|region| {
        let zone = region.zones.iter().find(|zone| zone.as_str() == name)?;
        Some((&region.id, zone))
    })
}

/// The same address keeps its identifier when servers around it come and go.
fn upstream_id(service: &ServiceId, addr: SocketAddr) -> UpstreamId {
    let ip = addr.ip().to_string().replace(':', "-");
    let text = format!("{service}-{ip}-{}", addr.port());
    let tail = text.len().saturating_sub(foxtail_types::NAME_MAX_BYTES);
    let tail = text[tail..].trim_start_matches(['-', '.']);
    UpstreamId::new(tail).expect("service names, addresses and ports make valid names")
}

fn names<S: AsRef<str>>(names: impl Iterator<Item = S>) -> String {
    names.map(|name| name.as_ref().to_owned()).collect::<Vec<_>>().join(", ")
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
