//! Placement, refusal and the selection of entry hosts.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use common::{
    config, exchange_digests, fleet, options, record, record_outcome, route, send, service,
    upstream,
};
use foxtail_steer::fleet::{Fleet, Phase};
use foxtail_steer::steering::{Outcome, Placement, Request};
use foxtail_steer::upstream::Load;
use foxtail_steer::{Steering, steering::AttemptReport};
use foxtail_types::prelude::*;

fn host(ups: &[(&str, &str)]) -> Steering {
    let mut host = Steering::new(options("h1", "a"));
    host.set_config(config(1, 5.0));
    for (id, zone) in ups {
        host.set_upstream(upstream(id, zone), Millis(0));
    }
    host
}

#[test]
fn hosts_without_contact_select_the_same_upstream_for_an_object() {
    let ups: Vec<String> = (0..8).map(|n| format!("a1-{n}")).collect();
    let ups: Vec<(&str, &str)> = ups.iter().map(|id| (id.as_str(), "a1")).collect();
    let route = route("r");
    let mut used = BTreeSet::new();
    for object in 0..24 {
        let chosen: BTreeSet<UpstreamId> = (0..4)
            .map(|n| {
                let mut host = host(&ups);
                let fleet = fleet(&format!("h{n}"), "a1", Millis(0));
                send(&mut host, &fleet, &route, object, Millis(0)).unwrap().id
            })
            .collect();
        assert_eq!(chosen.len(), 1, "hosts selected different upstreams for object {object}");
        used.extend(chosen);
    }
    assert!(used.len() >= 6, "objects use only the upstreams {used:?}");
}

#[test]
fn requests_move_on_from_a_full_upstream_and_are_refused_when_all_are_full() {
    let mut host = host(&[("a1-0", "a1"), ("a1-1", "a1")]);
    let fleet = fleet("h1", "a1", Millis(0));
    let route = route("r");
    let mut places = Vec::new();
    while let Some(up) = send(&mut host, &fleet, &route, 1, Millis(0)) {
        places.push(up.id);
        assert!(places.len() < 40, "40 requests were sent without a refusal");
    }
    let (first, second) = (&places[0], places.iter().find(|id| **id != places[0]).unwrap());
    let full = places.iter().position(|id| id == second).unwrap();
    assert!(
        (3..=6).contains(&full),
        "the second upstream was used after {full} requests, expected 3 to 6"
    );
    assert!(places.iter().filter(|id| *id == first).count() >= 3);
    let service = service();
    let request = Request {
        route: &route,
        service: &service,
        object: Some(1),
        age: Millis::ZERO,
        tried: &[],
    };
    let Placement::Overloaded { retry_after, estimate, .. } =
        host.place(&request, &fleet, Millis(0))
    else {
        panic!("the request was not refused as overloaded");
    };
    assert!(estimate.wait_ms > 0.0 && retry_after >= Millis(50) && retry_after < Millis(5_000));
}

#[test]
fn slow_kind_of_request_is_still_sent_while_slots_are_free() {
    let mut host = host(&[("a1-0", "a1")]);
    let fleet = fleet("h1", "a1", Millis(0));
    let route = route("r");
    for n in 0..40 {
        let now = Millis(n * 1_000);
        let up = send(&mut host, &fleet, &route, n, now).expect("a slot is free");
        record_outcome(&mut host, &up.id, n, Outcome::Answered, Millis(900), now + Millis(900));
    }
}

/// Creates a host with one upstream in region `b` and two in each of regions `a` and `c`.
fn host_with_few_upstreams_in_b() -> Steering {
    host(&[("a1-0", "a1"), ("a1-1", "a1"), ("c1-0", "c1"), ("c1-1", "c1"), ("b1-0", "b1")])
}

#[test]
fn requests_are_sent_only_to_home_regions() {
    let mut host = host(&[("a1-0", "a1"), ("b1-0", "b1")]);
    let fleet = fleet("h1", "a1", Millis(0));
    let mut route = route("r");
    route.homes = vec!["b".parse().unwrap()];
    for object in 0..10 {
        let up = send(&mut host, &fleet, &route, object, Millis(0));
        assert!(up.is_none_or(|up| up.id.as_str() == "b1-0"));
    }
    // Objects are designated to upstreams of the home region, so that all of its slots are used for
    // them.
    let mut host_outside_b = host_with_few_upstreams_in_b();
    for object in 0..3 {
        let up = send(&mut host_outside_b, &fleet, &route, object, Millis(0));
        assert_eq!(up.expect("the home region has a free slot").id.as_str(), "b1-0");
    }
    route.homes = vec!["c".parse().unwrap()];
    assert!(send(&mut host, &fleet, &route, 1, Millis(0)).is_none());
}

#[test]
fn shedding_or_slow_upstream_loses_requests_and_regains_them_later() {
    for (outcome, took) in [(Outcome::Shed, 5), (Outcome::Answered, 1_500)] {
        let mut host = host(&[("a1-0", "a1"), ("a1-1", "a1")]);
        let fleet = fleet("h1", "a1", Millis(0));
        let route = route("r");
        let bad = send(&mut host, &fleet, &route, 1, Millis(0)).unwrap().id;
        record_outcome(&mut host, &bad, 1, outcome, Millis(took), Millis(took));
        let mut bad_runs = 1;
        for n in 1..30 {
            let now = Millis(2_000 + n * 100);
            let up = send(&mut host, &fleet, &route, 1, now).unwrap();
            if up.id == bad {
                bad_runs += 1;
                record_outcome(&mut host, &up.id, 1, outcome, Millis(took), now);
            } else {
                record_outcome(&mut host, &up.id, 1, Outcome::Answered, Millis(120), now);
            }
        }
        assert!(bad_runs <= 10, "{outcome:?}: {bad_runs} of 30 requests went to the bad upstream");
        let late = Millis(60_000);
        let seen: BTreeSet<UpstreamId> = (0..24)
            .map(|object| {
                let up = send(&mut host, &fleet, &route, 100 + object, late).unwrap();
                record_outcome(
                    &mut host,
                    &up.id,
                    100 + object,
                    Outcome::Answered,
                    Millis(360),
                    late,
                );
                up.id
            })
            .collect();
        assert!(seen.contains(&bad), "{outcome:?}: the bad upstream was not tried again");
    }
}

#[test]
fn unreachable_upstream_is_avoided_unless_no_other_is_left() {
    let mut host = host(&[("a1-0", "a1"), ("a1-1", "a1")]);
    let fleet = fleet("h1", "a1", Millis(0));
    let route = route("r");
    let first = send(&mut host, &fleet, &route, 1, Millis(0)).unwrap().id;
    record_outcome(&mut host, &first, 1, Outcome::Unreachable, Millis(1), Millis(1));
    let second = send(&mut host, &fleet, &route, 1, Millis(2)).unwrap().id;
    assert_ne!(first, second);
    record_outcome(&mut host, &second, 1, Outcome::Unreachable, Millis(1), Millis(3));
    assert!(send(&mut host, &fleet, &route, 1, Millis(4)).is_some());
}

#[test]
fn reported_load_of_other_hosts_counts_and_decays() {
    let mut host = host(&[("a1-0", "a1"), ("a1-1", "a1")]);
    let fleet = fleet("h1", "a1", Millis(0));
    let route = route("r");
    let first = send(&mut host, &fleet, &route, 1, Millis(0)).unwrap().id;
    let report = AttemptReport {
        id: &first,
        service: &service(),
        objective: Millis(300),
        object: Some(1),
        outcome: Outcome::Answered,
        took: Millis(100),
        wait_ms: 0.0,
        load: Some(Load { running: 3, waiting: 6, slots: 3 }),
    };
    host.record_outcome(&report, Millis(100));
    assert_ne!(send(&mut host, &fleet, &route, 1, Millis(101)).unwrap().id, first);
    let mut later = None;
    for now in (2_000..6_000).step_by(400).map(Millis) {
        let up = send(&mut host, &fleet, &route, 1, now).unwrap();
        record_outcome(&mut host, &up.id, 1, Outcome::Answered, Millis(100), now + Millis(100));
        later = Some(up.id);
    }
    assert!(later.is_some());
}

#[test]
fn older_configurations_and_registrations_of_earlier_incarnations_are_ignored() {
    let mut host = host(&[]);
    assert!(!host.set_config(config(1, 5.0)));
    assert!(host.set_config(config(5, 5.0)));
    assert!(!host.set_config(config(4, 5.0)));
    let mut up = upstream("a1-0", "a1");
    up.started = Some(Millis(2_000));
    host.set_upstream(up.clone(), Millis(0));
    let mut old = up.clone();
    old.started = Some(Millis(1_000));
    old.draining = true;
    host.set_upstream(old, Millis(10));
    assert_eq!(host.upstream(&up.id), Some(&up));
}

#[test]
fn removed_upstream_gets_no_requests_and_the_others_stay_usable() {
    let mut host = host(&[("a1-0", "a1"), ("a1-1", "a1"), ("b1-0", "b1")]);
    let fleet = fleet("h1", "a1", Millis(0));
    let route = route("r");
    let busy = send(&mut host, &fleet, &route, 1, Millis(0)).unwrap().id;
    host.remove_upstream(&busy, Millis(1_000));
    assert_eq!(host.upstream_count(), 2);
    record_outcome(&mut host, &busy, 1, Outcome::Answered, Millis(100), Millis(100));
    for object in 0..20 {
        let up = send(&mut host, &fleet, &route, object, Millis(200)).unwrap();
        assert_ne!(up.id, busy);
        record_outcome(&mut host, &up.id, object, Outcome::Answered, Millis(100), Millis(300));
    }
}

#[test]
fn callers_are_directed_to_live_hosts_of_their_region_in_different_zones() {
    let names = [("h1", "a1"), ("h2", "a1"), ("h3", "a2"), ("h4", "b1"), ("h5", "b2")];
    let mut fleets: Vec<Fleet> =
        names.iter().map(|(name, zone)| fleet(name, zone, Millis(0))).collect();
    exchange_digests(&mut fleets, Millis(0));
    let (region, zone) = ("a".parse().unwrap(), "a1".parse().unwrap());
    let listed_hosts = |fleet: &Fleet, now| -> Vec<(HostId, ZoneId)> {
        let entries = fleet.entry_hosts(&region, &zone, now);
        entries.iter().map(|record| (record.id.clone(), record.zone.clone())).collect()
    };
    let all: BTreeSet<_> = fleets.iter().map(|fleet| listed_hosts(fleet, Millis(0))).collect();
    assert_eq!(all.len(), 1, "hosts list different entry hosts");
    let first = all.into_iter().next().unwrap();
    let zones: BTreeSet<_> = first.iter().map(|(_, zone)| zone.as_str()).collect();
    assert_eq!(zones, BTreeSet::from(["a1", "a2"]));
    // A listed host that dies is not listed for longer than the liveness timeout.
    let dead = first[0].0.clone();
    let mut alive: Vec<Fleet> =
        fleets.into_iter().filter(|fleet| fleet.own_record().id != dead).collect();
    for now in (400..8_000).step_by(400).map(Millis) {
        exchange_digests(&mut alive, now);
        for fleet in &alive {
            let is_listed = listed_hosts(fleet, now).iter().any(|(id, _)| *id == dead);
            // The liveness timeout of other regions' hosts is longer.
            let is_local = fleet.own_record().region.as_str() == "a";
            let bound = if is_local { Millis(3_000) } else { Millis(6_500) };
            assert!(!is_listed || now <= bound, "the dead host is still listed at {now}");
        }
    }
    // The host is listed again after a restart.
    let mut restarted = Fleet::new(record(dead.as_str(), "a1"), Millis(8_000), Millis::secs(1_008));
    restarted.set_phase(Phase::Serving);
    alive.push(restarted);
    exchange_digests(&mut alive, Millis(8_000));
    assert!(listed_hosts(&alive[0], Millis(8_000)).iter().any(|(id, _)| *id == dead));
}

#[test]
fn callers_of_a_region_without_hosts_get_hosts_of_others_but_no_leaving_host() {
    let mut fleets = [fleet("h1", "a1", Millis(0)), fleet("h2", "a2", Millis(0))];
    exchange_digests(&mut fleets, Millis(0));
    let (region, zone) = ("c".parse().unwrap(), "c1".parse().unwrap());
    assert_eq!(fleets[0].entry_hosts(&region, &zone, Millis(0)).len(), 2);
    fleets[1].set_phase(Phase::Leaving);
    let digest = fleets[1].digest(Millis(100));
    fleets[0].receive(&digest, Millis(100));
    let listed = fleets[0].entry_hosts(&region, &zone, Millis(100));
    assert_eq!(listed.iter().map(|record| record.id.as_str()).collect::<Vec<_>>(), ["h1"]);
}

#[test]
fn higher_request_rate_is_spread_over_more_hosts() {
    let names = ["h1", "h2", "h3", "h4", "h5", "h6"];
    let mut fleets: Vec<Fleet> = names.iter().map(|name| fleet(name, "a1", Millis(0))).collect();
    let region = "a".parse().unwrap();
    let zone = "a1".parse().unwrap();
    let mut hosts_at = |rate, now| {
        fleets.iter_mut().for_each(|fleet| fleet.set_request_rate(rate));
        exchange_digests(&mut fleets, now);
        fleets[0].entry_hosts(&region, &zone, now).len()
    };
    assert_eq!(hosts_at(0.0, Millis(0)), 3, "half of the hosts while the rate is unknown");
    for now in (400..20_000).step_by(400).map(Millis) {
        hosts_at(10.0, now);
    }
    assert_eq!(hosts_at(10.0, Millis(20_000)), 2);
    assert_eq!(hosts_at(60.0, Millis(20_100)), 6);
}

/// Guards against callers that all settle on two hosts before any of them has counted requests.
#[test]
fn callers_are_spread_over_many_hosts_until_their_rate_is_known() {
    let names: Vec<String> = (0..40).map(|n| format!("h{n}")).collect();
    let mut fleets: Vec<Fleet> = names.iter().map(|name| fleet(name, "a1", Millis(0))).collect();
    let (region, zone) = ("a".parse().unwrap(), "a1".parse().unwrap());
    let mut listed = Vec::new();
    for now in (0..30_000).step_by(400).map(Millis) {
        // Traffic of 200 requests a second begins after 10 s; hosts measure it a second later.
        let rate = if now < Millis(11_000) { 0.0 } else { 5.0 };
        fleets.iter_mut().for_each(|fleet| fleet.set_request_rate(rate));
        exchange_digests(&mut fleets, now);
        listed.push(fleets[0].entry_hosts(&region, &zone, now).len());
    }
    let start = &listed[..11_000 / 400];
    assert!(start.iter().all(|count| *count >= 8), "{listed:?}");
    assert!(listed.is_sorted_by(|before, after| before >= after), "{listed:?}");
    assert_eq!(listed.last(), Some(&3), "as many as the rate needs: {listed:?}");
}

/// Guards against refusals while slots are free: most requests are about one object, and its two
/// designated upstreams cannot carry them while the other upstreams are idle.
#[test]
fn popular_object_is_served_by_more_than_its_designated_upstreams() {
    let ups: Vec<String> = (0..6).map(|n| format!("a1-{n}")).collect();
    let ups: Vec<(&str, &str)> = ups.iter().map(|id| (id.as_str(), "a1")).collect();
    let mut host = host(&ups);
    let fleet = fleet("h1", "a1", Millis(0));
    let route = route("r");
    let service = service();
    let mut busy: Vec<(Millis, UpstreamId, u64, Millis)> = Vec::new();
    let mut cached: BTreeSet<(UpstreamId, u64)> = BTreeSet::new();
    let (mut asked, mut refused) = (0, 0);
    for now in (0..20_000).map(Millis) {
        busy.retain(|(until, id, object, took)| {
            if *until > now {
                return true;
            }
            record_outcome(&mut host, id, *object, Outcome::Answered, *took, now);
            false
        });
        if now.0 % 10 != 0 {
            continue;
        }
        // Four of five requests are about object 0: 80 per second, each taking 0.12 s of one of 18
        // slots.
        let object = if now.0 % 50 != 0 { 0 } else { 1 + now.0 / 50 % 20 };
        host.record_request(&service, 1, now);
        let late = now >= Millis(10_000);
        asked += usize::from(late);
        match send(&mut host, &fleet, &route, object, now) {
            Some(up) => {
                let work_ms = if cached.insert((up.id.clone(), object)) { 360 } else { 120 };
                busy.push((now + Millis(work_ms), up.id, object, Millis(work_ms)));
            }
            None => refused += usize::from(late),
        }
    }
    assert!(refused * 20 < asked, "{refused} of {asked} were refused");
}

/// Guards against a region that misses a store change: the store rejects all readers of the region
/// without an error that they detect, while another region knows of the change.
#[test]
fn store_change_from_another_region_reaches_all_hosts_of_a_region() {
    let names: Vec<String> = (0..45).map(|n| format!("h{n}")).collect();
    let addr = |n: usize| SocketAddr::from(([10, 0, 0, n as u8], 1));
    let mut fleets: Vec<Fleet> = names
        .iter()
        .enumerate()
        .map(|(n, name)| {
            let mut record = record(name, if n == 0 { "b1" } else { "a1" });
            record.peer = addr(n);
            Fleet::new(record, Millis(0), Millis::secs(1_000))
        })
        .collect();
    exchange_digests(&mut fleets, Millis(0));
    // Host 0 of region b announces the change to host 1 of region a, which relays it.
    let mut informed = BTreeSet::from([1]);
    let mut announcements = vec![(1, addr(0))];
    while let Some((host, from)) = announcements.pop() {
        if fleets[host].should_relay(from) {
            let local_targets = fleets[host].digest_targets().0;
            for other in (1..45)
                .filter(|other| local_targets.iter().any(|target| target.addr == addr(*other)))
            {
                if informed.insert(other) {
                    announcements.push((other, addr(host)));
                }
            }
        }
    }
    assert_eq!(informed.len(), 44);
    assert!(!fleets[2].should_relay(addr(1)), "announcements from the own region are not relayed");
}

#[test]
fn expired_hosts_are_removed_but_not_by_an_isolated_host() {
    let removal_timeout = foxtail_steer::fleet::HOST_REMOVAL_TIMEOUT;
    let names = ["h1", "h2", "h3"];
    let mut fleets: Vec<Fleet> = names.iter().map(|name| fleet(name, "a1", Millis(0))).collect();
    fleets[0].add_host(record("dead", "a2"), Millis(0));
    fleets[0].add_host(record("far", "b1"), Millis(0));
    exchange_digests(&mut fleets, Millis(1_000));
    assert!(
        fleets[0].remove_expired_hosts(Millis(1_100)).is_empty(),
        "a registered host may still send its first heartbeat"
    );
    let late = removal_timeout + Millis(2_000);
    assert!(fleets[0].remove_expired_hosts(late).is_empty(), "an isolated host removes none");
    exchange_digests(&mut fleets, late);
    let gone: Vec<String> =
        fleets[0].remove_expired_hosts(late).iter().map(ToString::to_string).collect();
    assert_eq!(gone, ["dead"], "only hosts of the own region are removed");
    assert!(fleets[0].remove_expired_hosts(late).is_empty());
    assert_eq!(fleets[0].host_count(), 4);
}
