//! One placement and one choice of entry hosts, at today's size and at the size of grown sites.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;

use criterion::Criterion;
use foxtail_steer::config::{CallerLimits, Part, Route, Service};
use foxtail_steer::fleet::{Fleet, Phase, Record};
use foxtail_steer::steering::{Options, Request, Steering};
use foxtail_steer::{Config, Upstream, retry};
use foxtail_types::prelude::*;

/// Upstreams of all services, and hosts. A request's service has a quarter of the upstreams.
const SIZES: [(usize, usize); 3] = [(48, 18), (700, 142), (10_950, 5_700)];

const SERVICES: usize = 4;
const REGIONS: usize = 3;

/// Objects that requests are about, in turn.
const OBJECTS: u64 = 72;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("the names are valid")
}

fn zone(at: usize) -> ZoneId {
    name(&format!("zone-{}", at % REGIONS))
}

fn region(at: usize) -> RegionId {
    name(&format!("region-{}", at % REGIONS))
}

fn nowhere() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "svc.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: Millis(2_000),
        objective: Millis(300),
        priority: 1,
        max_attempts: 2,
        affinity: true,
        homes: Vec::new(),
        parts: vec![Part { service: name("service-0"), weight: 1.0 }],
    }
}

fn steering(upstreams: usize) -> Steering {
    let zones: BTreeMap<ZoneId, RegionId> = (0..REGIONS).map(|at| (zone(at), region(at))).collect();
    let mut steering = Steering::new(Options {
        host: name("host-0"),
        region: region(0),
        zones,
        retry: retry::Options { ratio: 0.2, slack: 100.0, window: Millis::secs(10) },
        refuse_factor: 1.4,
        shift_cap: 0.15,
    });
    let service = |at: usize| Service {
        name: name(&format!("service-{at}")),
        health_path: "/health".to_owned(),
        warm_up: Millis::secs(3),
        cold_rate: 10.0,
        connections: 660,
    };
    let services = (0..SERVICES).map(service).collect();
    let limits = CallerLimits::default();
    steering.set_config(Config::new(Version(1), vec![route()], services, limits));
    for at in 0..upstreams {
        let up = Upstream {
            id: name(&format!("up-{at}")),
            service: name(&format!("service-{}", at % SERVICES)),
            addr: nowhere(),
            zone: zone(at / SERVICES),
            slots: 3,
            draining: false,
            cold_for: Millis::ZERO,
            started: None,
        };
        steering.set_upstream(up, Millis::ZERO);
    }
    steering
}

fn record(at: usize) -> Record {
    let (caller, peer) = (nowhere(), nowhere());
    let id = name(&format!("host-{at}"));
    Record { id, region: region(at), zone: zone(at), caller, peer, operator: None }
}

fn fleet(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(record(0), Millis::ZERO, Millis::secs(1_000));
    fleet.set_phase(Phase::Serving);
    for at in 1..hosts {
        let mut other = Fleet::new(record(at), Millis::ZERO, Millis::secs(1_000));
        other.set_phase(Phase::Serving);
        fleet.receive(&other.word(Millis(1)), Millis(1));
    }
    fleet
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let c = &mut criterion;
    let testing = !std::env::args().any(|arg| arg == "--bench");
    for (upstreams, hosts) in SIZES {
        if testing && upstreams > SIZES[0].0 {
            continue;
        }
        let (mut steering, fleet, route) = (steering(upstreams), fleet(hosts), route());
        let service: ServiceId = name("service-0");
        let mut object = 0;
        c.bench_function(&format!("placement/{upstreams}"), |b| {
            b.iter(|| {
                object = (object + 1) % OBJECTS;
                let wanted = Request {
                    route: &route,
                    service: &service,
                    object: Some(object),
                    age: Millis::ZERO,
                    tried: &[],
                };
                black_box(steering.place(&wanted, &fleet, Millis(100)))
            });
        });
        c.bench_function(&format!("entry hosts/{hosts}"), |b| {
            b.iter(|| black_box(fleet.entries(&region(1), &zone(1), Millis(100)).len()));
        });
    }
    criterion.final_summary();
}
