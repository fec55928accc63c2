//! Where objects of a region with few upstreams are placed.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{config, exchange_digests, fleet, options, route, send, upstream};
use foxtail_steer::{Fleet, Route, Steering};
use foxtail_types::prelude::*;

const OBJECTS: u64 = 1_000;

/// The zone of each region in these tests.
const ZONES: [&str; 2] = ["a1", "b1"];

/// Returns a host in `a1` of a site with `local` upstreams there and `remote` ones in `b1`.
fn host(id: &str, local: usize, remote: usize) -> Steering {
    let mut host = Steering::new(options(id, "a"));
    host.set_config(config(1, 5.0));
    for (zone, count) in ZONES.into_iter().zip([local, remote]) {
        for n in 0..count {
            host.set_upstream(upstream(&format!("{zone}-{n}"), zone), Millis(0));
        }
    }
    host
}

/// Returns what host `h1` knows of a site with `local` hosts in its region and `remote` ones elsewhere.
fn fleet_of(local: usize, remote: usize) -> Fleet {
    let zones = (1..=local).map(|n| (n, "a1")).chain((1..=remote).map(|n| (local + n, "b1")));
    let mut fleets: Vec<Fleet> =
        zones.map(|(n, zone)| fleet(&format!("h{n}"), zone, Millis(0))).collect();
    exchange_digests(&mut fleets, Millis(0));
    fleets.swap_remove(0)
}

/// Returns the upstream that a host without load selects for each object.
fn places(
    (local_ups, remote_ups): (usize, usize),
    fleet: &Fleet,
    route: &Route,
    id: &str,
) -> BTreeMap<u64, UpstreamId> {
    let objects = (0..OBJECTS).map(|object| {
        let mut host = host(id, local_ups, remote_ups);
        (object, send(&mut host, fleet, route, object, Millis(1_000)).unwrap().id)
    });
    objects.collect()
}

fn kept(places: &BTreeMap<u64, UpstreamId>) -> f64 {
    let kept = places.values().filter(|id| id.as_str().starts_with("a1")).count();
    kept as f64 / OBJECTS as f64
}

#[test]
fn region_with_few_upstreams_for_its_demand_keeps_a_part_of_its_objects() {
    let route = route("r");
    // Half of the hosts and a fifth of the slots: 1.8 times its share is 0.72.
    let places = places((4, 16), &fleet_of(6, 6), &route, "h1");
    assert!((0.67..=0.77).contains(&kept(&places)), "{}", kept(&places));
    let remote: BTreeSet<_> = places.values().filter(|id| id.as_str().starts_with("b1")).collect();
    assert_eq!(remote.len(), 16, "the other objects are spread over all upstreams elsewhere");
}

#[test]
fn region_with_room_for_its_demand_keeps_its_objects() {
    let route = route("r");
    for (ups, hosts) in [((10, 10), (6, 6)), ((4, 16), (1, 5)), ((4, 16), (6, 0))] {
        let fleet = fleet_of(hosts.0, hosts.1);
        let places = places(ups, &fleet, &route, "h1");
        assert_eq!(kept(&places), 1.0, "{ups:?} upstreams, {hosts:?} hosts");
    }
}

#[test]
fn hosts_of_a_region_agree_and_few_objects_move_when_one_of_them_dies() {
    let route = route("r");
    let (all, one_less) = (fleet_of(20, 20), fleet_of(19, 20));
    let first = places((4, 16), &all, &route, "h1");
    assert_eq!(first, places((4, 16), &all, &route, "h2"));
    let after = places((4, 16), &one_less, &route, "h1");
    let moved = first.iter().filter(|(object, id)| after[object] != **id).count();
    assert!(moved as f64 <= 0.03 * OBJECTS as f64, "{moved} of {OBJECTS} objects moved");
}

#[test]
fn objects_of_routes_with_a_home_stay_in_it() {
    let mut route = route("r");
    route.homes = ["a".parse().unwrap()].into();
    let places = places((4, 16), &fleet_of(6, 6), &route, "h1");
    assert_eq!(kept(&places), 1.0);
}
