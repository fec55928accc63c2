//! Zones, upstreams and hosts for the tests.

#![allow(dead_code, reason = "each test uses a part")]

use std::collections::BTreeMap;

use foxtail_steer::config::{CallerLimits, Route, Service, WeightedService};
use foxtail_steer::fleet::{Fleet, HostRecord, Phase};
use foxtail_steer::steering::{AttemptReport, Options, Outcome, Placement, Request};
use foxtail_steer::{Config, Steering, Upstream, retry};
use foxtail_types::prelude::*;

pub(crate) const SERVICE: &str = "books";

/// Returns the zones `a1`, `a2`, `b1`, `b2`, `c1` and `c2` of the regions `a`, `b` and `c`.
pub(crate) fn zones() -> BTreeMap<ZoneId, RegionId> {
    let zone = |name: &str| (name.parse().unwrap(), name[..1].parse().unwrap());
    ["a1", "a2", "b1", "b2", "c1", "c2"].map(zone).into()
}

pub(crate) fn options(host: &str, region: &str) -> Options {
    Options {
        host: host.parse().unwrap(),
        region: region.parse().unwrap(),
        zones: zones(),
        retry: retry::Options { ratio: 0.2, slack: 100.0, window: Millis::secs(10) },
        refuse_factor: 1.4,
        shift_cap: 0.15,
    }
}

pub(crate) fn service() -> ServiceId {
    SERVICE.parse().unwrap()
}

pub(crate) fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "svc.example".to_owned(),
        prefix: format!("/{name}/"),
        idempotent: true,
        timeout: Millis(2_000),
        objective: Millis(300),
        priority: 1,
        max_attempts: 2,
        affinity: true,
        homes: Vec::new(),
        parts: vec![WeightedService { service: service(), weight: 1.0 }],
    }
}

pub(crate) fn config(version: u64, cold_rate: f64) -> Config {
    let service = Service {
        name: service(),
        health_path: "/health".to_owned(),
        warm_up: Millis::secs(3),
        cold_rate,
        connections: 660,
    };
    Config::new(Version(version), vec![route("r")], vec![service], CallerLimits::default())
}

pub(crate) fn upstream(id: &str, zone: &str) -> Upstream {
    Upstream {
        id: id.parse().unwrap(),
        service: service(),
        addr: "127.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 3,
        draining: false,
        cold_for: Millis::ZERO,
        started: None,
    }
}

pub(crate) fn record(host: &str, zone: &str) -> HostRecord {
    HostRecord {
        id: host.parse().unwrap(),
        region: zone[..1].parse().unwrap(),
        zone: zone.parse().unwrap(),
        caller: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        operator: None,
    }
}

/// Creates the fleet as seen by a host in the serving phase that knows no other hosts.
pub(crate) fn fleet(host: &str, zone: &str, now: Millis) -> Fleet {
    let mut fleet = Fleet::new(record(host, zone), now, Millis::secs(1_000) + now);
    fleet.set_phase(Phase::Serving);
    fleet.mark_registrations_read();
    fleet
}

/// Delivers a digest of each host to all hosts of `fleets`.
pub(crate) fn exchange_digests(fleets: &mut [Fleet], now: Millis) {
    let digests: Vec<_> = fleets.iter_mut().map(|fleet| fleet.digest(now)).collect();
    for fleet in fleets {
        for digest in &digests {
            fleet.receive(digest, now);
        }
    }
}

/// Places a request about `object` and records it as sent if an upstream was selected.
pub(crate) fn send(
    steering: &mut Steering,
    fleet: &Fleet,
    route: &Route,
    object: u64,
    now: Millis,
) -> Option<Upstream> {
    let service = service();
    let request =
        Request { route, service: &service, object: Some(object), age: Millis::ZERO, tried: &[] };
    match steering.place(&request, fleet, now) {
        Placement::Send { up, .. } => {
            steering.record_sent(&up.id, now);
            Some(up)
        }
        Placement::Overloaded { .. }
        | Placement::Limited { .. }
        | Placement::Paused { .. }
        | Placement::NoUpstream => None,
    }
}

/// Records the outcome of a request.
pub(crate) fn record_outcome(
    steering: &mut Steering,
    id: &UpstreamId,
    object: u64,
    outcome: Outcome,
    took: Millis,
    now: Millis,
) {
    let report = AttemptReport {
        id,
        service: &service(),
        objective: Millis(300),
        object: Some(object),
        outcome,
        took,
        wait_ms: 0.0,
        load: None,
    };
    steering.record_outcome(&report, now);
}
