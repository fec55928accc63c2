//! Plans: what a change does, and whether it is allowed.

use foxtail_steer::Config;
use foxtail_types::prelude::*;

use crate::headroom::{Demand, Headroom, Overload, assess, format_slots};
use crate::{Difference, Params, Site, Template, diff};

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
    /// What would be accepted.
    pub accepted: String,
}

/// A configuration with the load that is expected of it.
#[derive(Clone, Copy, Debug)]
pub struct ConfigWithDemand<'a> {
    /// The configuration.
    pub cfg: &'a Config,
    /// The expected load.
    pub demand: &'a [Demand],
}

/// What an operator's input was and is to be.
#[derive(Clone, Copy, Debug)]
pub struct InputChange<'a> {
    /// The input in force, if the workspace exists.
    pub old: Option<(&'a Template, &'a Params)>,
    /// The new input.
    pub new: (&'a Template, &'a Params),
}

/// Plans a change of a workspace on `site`.
pub fn change(
    input: &InputChange<'_>,
    old: ConfigWithDemand<'_>,
    new: ConfigWithDemand<'_>,
    site: &Site,
) -> Plan {
    let mut changes = diff::diff(input.old.map(|(t, _)| t), Some(input.new.0));
    changes.extend(diff::diff(input.old.map(|(_, p)| p), Some(input.new.1)));
    let (before, after) = (assess(old.cfg, old.demand, site), assess(new.cfg, new.demand, site));
    let mut refused =
        refuse_new_overloads(&before, &after, "less expected load, or more upstreams first");
    refused.extend(refuse_route_collision(new.cfg));
    Plan { changes, before, after, refused }
}

/// Plans the evacuation of `zone`.
pub fn evacuation(zone: &ZoneId, current: ConfigWithDemand<'_>, site: &Site) -> Plan {
    let evacuated_site = site.with_zone_evacuated(zone);
    let (before, after) = (
        assess(current.cfg, current.demand, site),
        assess(current.cfg, current.demand, &evacuated_site),
    );
    let mut refused =
        refuse_new_overloads(&before, &after, "more upstreams in the other zones first");
    if !site.zones.contains_key(zone) {
        let known: Vec<_> = site.zones.keys().map(ZoneId::as_str).collect();
        let reason = format!("there is no zone {zone}");
        refused.push(Refusal { reason, accepted: known.join(", ") });
    }
    if site.zones.keys().all(|known| evacuated_site.evacuated.contains(known)) {
        let reason = format!("{zone} is the last zone that takes work");
        refused
            .push(Refusal { reason, accepted: "the end of another evacuation first".to_owned() });
    }
    Plan { changes: Vec::new(), before, after, refused }
}

/// The overloads of `after` that `before` does not have as badly: a site in trouble can be mended
/// step by step.
fn refuse_new_overloads(before: &Headroom, after: &Headroom, accepted: &str) -> Vec<Refusal> {
    let previous_milli = |over: &Overload| {
        let same = |old: &&Overload| old.service == over.service && old.region == over.region;
        before.overloads.iter().find(same).map_or(0, |old| old.missing_milli)
    };
    let worsened = after.overloads.iter().filter(|over| over.missing_milli > previous_milli(over));
    worsened
        .map(|over| Refusal {
            reason: format!(
                "{} slots of the load of {} that enters in {} find no room in any region",
                format_slots(over.missing_milli),
                over.service,
                over.region
            ),
            accepted: accepted.to_owned(),
        })
        .collect()
}

/// Two routes with one host and prefix, if there are such.
fn refuse_route_collision(cfg: &Config) -> Option<Refusal> {
    cfg.collision().map(|(one, other)| Refusal {
        reason: format!("routes {} and {} have one host and prefix", one.name, other.name),
        accepted: "another host name".to_owned(),
    })
}
