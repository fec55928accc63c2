//! Plans: the effects of a change, and the reasons to refuse it.

use foxtail_steer::Config;
use foxtail_types::prelude::*;

use crate::headroom::{Demand, Headroom, Overload, assess, format_slots};
use crate::{Difference, Params, Site, Template, diff};

/// The effects of a change that has not been made yet.
#[value]
#[derive(Default)]
pub struct Plan {
    /// The fields of the input that change.
    pub changes: Vec<Difference>,
    /// The headroom without the change.
    pub before: Headroom,
    /// The headroom with the change.
    pub after: Headroom,
    /// The reasons to refuse the change; empty if it is allowed.
    pub refused: Vec<Refusal>,
}

/// A reason to refuse a change, and what is accepted instead.
#[value]
pub struct Refusal {
    /// Why the change is refused.
    pub reason: String,
    /// What is accepted instead.
    pub accepted: String,
}

/// A configuration with its expected load.
#[derive(Clone, Copy, Debug)]
pub struct ConfigWithDemand<'a> {
    /// The configuration.
    pub cfg: &'a Config,
    /// The expected load of each service.
    pub demand: &'a [Demand],
}

/// The old and the new input of a workspace.
#[derive(Clone, Copy, Debug)]
pub struct InputChange<'a> {
    /// The current input; `None` if the workspace does not exist.
    pub old: Option<(&'a Template, &'a Params)>,
    /// The new input.
    pub new: (&'a Template, &'a Params),
}

/// Plans the change of a workspace on `site`. Refuses it if it adds or worsens an overload, or if
/// two routes have the same host and prefix.
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

/// Plans the evacuation of `zone`. Refuses it if it adds or worsens an overload, or if `zone` is
/// unknown or the last one not evacuated.
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
        let reason = format!("{zone} is the last zone that is not evacuated");
        refused.push(Refusal {
            reason,
            accepted: "the end of the evacuation of another zone first".to_owned(),
        });
    }
    Plan { changes: Vec::new(), before, after, refused }
}

/// Returns a refusal for each overload of `after` that is new or larger than in `before`. An
/// overload that shrinks is allowed, so that an overloaded site can be relieved step by step.
fn refuse_new_overloads(before: &Headroom, after: &Headroom, accepted: &str) -> Vec<Refusal> {
    let previous_milli = |over: &Overload| {
        let same = |old: &&Overload| old.service == over.service && old.region == over.region;
        before.overloads.iter().find(same).map_or(0, |old| old.missing_milli)
    };
    let worsened = after.overloads.iter().filter(|over| over.missing_milli > previous_milli(over));
    worsened
        .map(|over| Refusal {
            reason: format!(
                "{} slots are missing for the load of {} that enters in {}, counting all regions \
                 that may serve it",
                format_slots(over.missing_milli),
                over.service,
                over.region
            ),
            accepted: accepted.to_owned(),
        })
        .collect()
}

/// Returns a refusal if two routes of `cfg` have the same host and prefix.
fn refuse_route_collision(cfg: &Config) -> Option<Refusal> {
    cfg.collision().map(|(one, other)| Refusal {
        reason: format!("routes {} and {} have the same host and prefix", one.name, other.name),
        accepted: "another host name".to_owned(),
    })
}
