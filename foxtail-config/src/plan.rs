//! Plans: what a change does, and whether it is allowed.

use std::fmt;

use foxtail_types::prelude::*;

use crate::headroom::{Load, Overload, Site, assess};
use crate::{Difference, Drain, DrainTarget, Headroom, Limit, Network, Params, Template};
use crate::{compile, diff};

/// What a change would do.
#[value]
#[derive(Default)]
pub struct Plan {
    /// The fields that change.
    pub changes: Vec<Difference>,
    /// Headroom as it is.
    pub before: Headroom,
    /// Headroom with the change.
    pub after: Headroom,
    /// Why the change is refused; empty if it is not.
    pub refused: Vec<Refusal>,
}

/// Why a change is refused, and what would be accepted.
#[value]
pub struct Refusal {
    /// The reason.
    pub reason: String,
    /// What would be accepted, if anything near is known.
    pub accepted: Option<String>,
}

/// A change of one workspace.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// The template in the change.
    pub template: &'a Template,
    /// The parameters in force, if the workspace exists.
    pub old: Option<(&'a Template, &'a Params)>,
    /// The parameters wanted.
    pub new: &'a Params,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.accepted {
            Some(accepted) => write!(f, "{}; accepted: {accepted}", self.reason),
            None => f.write_str(&self.reason),
        }
    }
}

/// Plans a change of one workspace. `site` holds the other workspaces.
///
/// # Errors
///
/// [`compile::Error`] if the parameters are not accepted as they stand.
pub fn workspace(site: &Site<'_>, change: &Change<'_>) -> Result<Plan, compile::Error> {
    compile::workspace(change.template, change.new, site.network)?;
    let before = match change.old {
        Some((template, params)) => with(site, template, params).unwrap_or_default(),
        None => assess(site),
    };
    let after = with(site, change.template, change.new).unwrap_or_default();
    let worse = worse(&before, &after);
    let accepted = if worse.is_empty() { None } else { nearest_accepted(site, change, &before) };
    let refused = worse.iter().map(|overload| refusal(overload, accepted.clone())).collect();
    let changes = diff::diff(change.old.map(|(_, params)| params), Some(change.new));
    Ok(Plan { changes, before, after, refused })
}

/// Plans a change of the network to `new`.
pub fn network(site: &Site<'_>, new: &Network) -> Plan {
    let before = assess(site);
    let after = assess(&Site { network: new, ..site.clone() });
    let mut refused: Vec<_> = worse(&before, &after).iter().map(|o| refusal(o, None)).collect();
    if site.network.owner_shards != new.owner_shards {
        refused.push(Refusal {
            reason: "owner_shards is fixed when the network is made".to_owned(),
            accepted: Some(site.network.owner_shards.to_string()),
        });
    }
    refused.extend(site.loads.iter().flat_map(|load| homeless(load, new)));
    let changes = diff::diff(Some(site.network), Some(new));
    Plan { changes, before, after, refused }
}

/// Plans the start of a drain of `target`.
pub fn drain(site: &Site<'_>, target: &DrainTarget, now: Millis) -> Plan {
    let mut drains = site.drains.to_vec();
    if !drains.iter().any(|drain| drain.target == *target) {
        drains.push(Drain { target: target.clone(), started: now });
    }
    let before = assess(site);
    let after = assess(&Site { drains: &drains, ..site.clone() });
    let mut refused: Vec<_> = worse(&before, &after).iter().map(|o| refusal(o, None)).collect();
    if !any_zone_left(site.network, &drains) {
        refused.push(Refusal {
            reason: "no zone would be left that takes traffic".to_owned(),
            accepted: Some("stop the drain of another zone first".to_owned()),
        });
    }
    let known = site.drains.iter().any(|drain| drain.target == *target);
    let started =
        Difference { field: "drain".to_owned(), before: None, after: Some(target.to_string()) };
    let changes = if known { Vec::new() } else { vec![started] };
    Plan { changes, before, after, refused }
}

fn refusal(overload: &Overload, accepted: Option<String>) -> Refusal {
    let accepted = accepted.or_else(|| overload.accepted.clone());
    Refusal { reason: overload.reason.clone(), accepted }
}

fn with(site: &Site<'_>, template: &Template, params: &Params) -> Option<Headroom> {
    let workspace = compile::workspace(template, params, site.network).ok()?;
    let demand = compile::demand(template, params);
    let mut site = site.clone();
    site.loads.push(Load { workspace: &workspace, demand: &demand });
    Some(assess(&site))
}

/// The overloads of `after` that `before` does not have as badly: a site in trouble can be mended
/// step by step.
fn worse<'a>(before: &Headroom, after: &'a Headroom) -> Vec<&'a Overload> {
    let was = |what: &str| before.overloads.iter().find(|o| o.what == what).map_or(0, |o| o.excess);
    after.overloads.iter().filter(|overload| overload.excess > was(&overload.what)).collect()
}

/// The value nearest to the wanted one, of the first changed number that alone makes it fit.
fn nearest_accepted(site: &Site<'_>, change: &Change<'_>, before: &Headroom) -> Option<String> {
    numbers(change).into_iter().find_map(|number| {
        let fits = |value: u64| {
            let params = number.set(change.new, value);
            with(site, change.template, &params)
                .is_some_and(|after| worse(before, &after).is_empty())
        };
        let wanted = number.wanted;
        let ends = [number.min, number.max];
        let found = ends.into_iter().filter(|end| fits(*end)).map(|end| bisect(wanted, end, &fits));
        let nearest = found.min_by_key(|value| value.abs_diff(wanted))?;
        let bound = if nearest > wanted { "or more" } else { "or less" };
        Some(format!("{} {nearest} {bound}", number.path()))
    })
}

/// The value nearest to `bad` that fits, given that `good` does.
fn bisect(mut bad: u64, mut good: u64, fits: &dyn Fn(u64) -> bool) -> u64 {
    while bad.abs_diff(good) > 1 {
        let mid = bad.midpoint(good);
        if fits(mid) { good = mid } else { bad = mid }
    }
    good
}

struct Number {
    service: Option<(String, Limit)>,
    wanted: u64,
    min: u64,
    max: u64,
}

impl Number {
    fn path(&self) -> String {
        match &self.service {
            Some((service, limit)) => format!("services.{service}.limits.{}", limit.as_str()),
            None => "shift_per_s".to_owned(),
        }
    }

    fn set(&self, params: &Params, value: u64) -> Params {
        let mut params = params.clone();
        match &self.service {
            Some((service, limit)) => {
                let service = params.services.get_mut(service).expect("the service was listed");
                service.limits.insert(*limit, value);
            }
            None => params.shift_per_s = Some(value),
        }
        params
    }
}

/// The numbers of the change, those that the operator touched first.
fn numbers(change: &Change<'_>) -> Vec<Number> {
    let shift = change.template.shift_per_s;
    let wanted = change.new.shift_per_s.unwrap_or(shift.default);
    let mut numbers = vec![Number { service: None, wanted, min: shift.min, max: shift.max }];
    for (name, service) in &change.new.services {
        let Some(template) = change.template.services.get(name) else { continue };
        for limit in [Limit::Slots, Limit::AnswerBytes] {
            let range = template.limits[&limit];
            let wanted = service.limits.get(&limit).copied().unwrap_or(range.default);
            let service = Some((name.clone(), limit));
            numbers.push(Number { service, wanted, min: range.min, max: range.max });
        }
    }
    numbers.sort_by_key(|number| !touched(change, number));
    numbers
}

fn touched(change: &Change<'_>, number: &Number) -> bool {
    let Some((_, old)) = change.old else { return false };
    let value = |params: &Params| match &number.service {
        Some((service, limit)) => params.services.get(service)?.limits.get(limit).copied(),
        None => params.shift_per_s,
    };
    value(old) != value(change.new)
}

fn any_zone_left(network: &Network, drains: &[Drain]) -> bool {
    let drained = |target: DrainTarget| drains.iter().any(|drain| drain.target == target);
    network.regions.iter().any(|region| {
        let zone_left = |zone: &ZoneId| !drained(DrainTarget::Zone(zone.clone()));
        !drained(DrainTarget::Region(region.id.clone())) && region.zones.iter().any(zone_left)
    })
}

/// A network without a zone that holds servers would lose them without a drain.
fn homeless(load: &Load<'_>, network: &Network) -> Option<Refusal> {
    let known = |zone: &ZoneId| network.regions.iter().any(|region| region.zones.contains(zone));
    let upstreams = load.workspace.services.iter().flat_map(|service| &service.upstreams);
    let lost = upstreams.map(|upstream| &upstream.zone).find(|zone| !known(zone))?;
    Some(Refusal {
        reason: format!("zone {lost} still holds servers of {}", load.workspace.id),
        accepted: Some("move these servers out of the zone first".to_owned()),
    })
}
