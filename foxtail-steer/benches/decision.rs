//! Measures one placement and one selection of entry hosts, at the present numbers of upstreams and
//! hosts and at larger ones.

use std::hint::black_box;

use common::{config, fleet, options, record, route, service, upstream};
use criterion::Criterion;
use foxtail_steer::Steering;
use foxtail_steer::fleet::{Fleet, Phase};
use foxtail_steer::steering::Request;
use foxtail_types::prelude::*;

#[path = "../tests/common/mod.rs"]
mod common;

/// Number of upstreams of all services, and of hosts. A quarter of the upstreams belong to the
/// service that the requests are for.
const SIZES: [(usize, usize); 3] = [(48, 18), (700, 142), (10_950, 5_700)];

const SERVICE_COUNT: usize = 4;

/// One zone in each region.
const ZONES: [&str; 3] = ["a1", "b1", "c1"];

/// Number of objects that requests are for, in turn.
const OBJECT_COUNT: u64 = 72;

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

fn steering(upstreams: usize) -> Steering {
    let mut steering = Steering::new(options("host-0", "a"));
    steering.set_config(config(1, 10.0));
    for index in 0..upstreams {
        let mut up = upstream(&format!("up-{index}"), zone(index / SERVICE_COUNT));
        if index % SERVICE_COUNT > 0 {
            up.service = format!("other-{}", index % SERVICE_COUNT).parse().expect("a valid name");
        }
        steering.set_upstream(up, Millis::ZERO);
    }
    steering
}

fn fleet_of(hosts: usize) -> Fleet {
    let mut fleet = fleet("host-0", zone(0), Millis::ZERO);
    for index in 1..hosts {
        let registration = record(&format!("host-{index}"), zone(index));
        let mut other = Fleet::new(registration, Millis::ZERO, Millis::secs(1_000));
        other.set_phase(Phase::Serving);
        fleet.receive(&other.own_digest(Millis(1)), Millis(1));
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
        let (mut steering, fleet, route) = (steering(upstreams), fleet_of(hosts), route("r"));
        let service = service();
        let (region, caller_zone) = ("b".parse().expect("a valid name"), zone(1).parse());
        let caller_zone: ZoneId = caller_zone.expect("a valid name");
        let mut object = 0;
        c.bench_function(&format!("placement/{upstreams}"), |b| {
            b.iter(|| {
                object = (object + 1) % OBJECT_COUNT;
                let request = Request {
                    route: &route,
                    service: &service,
                    object: Some(object),
                    age: Millis::ZERO,
                    tried: &[],
                };
                black_box(steering.place(&request, &fleet, Millis(100)))
            });
        });
        c.bench_function(&format!("entry hosts/{hosts}"), |b| {
            b.iter(|| black_box(fleet.entry_hosts(&region, &caller_zone, Millis(100)).len()));
        });
    }
    criterion.final_summary();
}
