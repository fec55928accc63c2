//! Limits that hosts keep to together: warm-up rates, retries and shifts between regions.

mod common;

use std::collections::BTreeMap;

use common::{
    config, exchange_digests, fleet, options, record_outcome, route, send, service, upstream,
};
use foxtail_steer::steering::Outcome;
use foxtail_steer::{Fleet, RetryBudget, Split, Steering, config::WeightedService, retry};
use foxtail_types::prelude::*;
use proptest::prelude::*;

/// Returns the largest number of requests within any second.
fn busiest_second(times: &[Millis]) -> usize {
    let within =
        |from: Millis| times.iter().filter(move |t| **t >= from && t.since(from).0 < 1_000);
    times.iter().map(|from| within(*from).count()).max().unwrap_or(0)
}

#[test]
fn cold_upstream_receives_at_most_its_allowed_rate_from_all_hosts_together() {
    // The platform tolerates one and a half times the rate plus five requests.
    for (rate, allowed) in [(2.8, 9), (11.0, 21)] {
        let names = ["h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"];
        let mut fleets: Vec<_> = names.iter().map(|name| fleet(name, "a1", Millis(0))).collect();
        let mut hosts: Vec<Steering> =
            names.iter().map(|name| Steering::new(options(name, "a"))).collect();
        let mut sent: BTreeMap<String, Vec<Millis>> = BTreeMap::new();
        for host in &mut hosts {
            host.set_config(config(1, rate));
            for id in ["u1", "u2"] {
                let mut up = upstream(id, "a1");
                up.cold_for = Millis::secs(3);
                host.set_upstream(up, Millis(0));
            }
        }
        let route = route("r");
        for now in (0..3_000).step_by(10).map(Millis) {
            if now.0 % 400 == 0 {
                exchange_digests(&mut fleets, now);
            }
            for (host, fleet) in hosts.iter_mut().zip(&fleets) {
                if let Some(up) = send(host, fleet, &route, now.0 / 10 % 24, now) {
                    sent.entry(up.id.to_string()).or_default().push(now);
                    record_outcome(
                        host,
                        &up.id,
                        now.0 / 10 % 24,
                        Outcome::Answered,
                        Millis(100),
                        now,
                    );
                }
            }
        }
        assert_eq!(sent.len(), 2, "both upstreams receive requests during warm-up");
        for (id, times) in sent {
            let busiest = busiest_second(&times);
            assert!(
                busiest <= allowed,
                "{id} received {busiest} requests within a second, expected at most {allowed}"
            );
            let min_count = (rate * 3.0 / 2.0) as usize;
            assert!(
                times.len() >= min_count,
                "{id} received only {} requests during warm-up, expected {min_count}",
                times.len()
            );
        }
    }
}

#[test]
fn upstreams_are_warmed_up_again_when_the_evacuation_of_their_zone_ends() {
    let mut host = Steering::new(options("h1", "a"));
    let fleet = fleet("h1", "a1", Millis(0));
    host.set_config(config(1, 5.0));
    host.set_upstream(upstream("u1", "a1"), Millis(0));
    let zone: ZoneId = "a1".parse().unwrap();
    host.evacuate(zone.clone());
    let route = route("r");
    assert!(send(&mut host, &fleet, &route, 1, Millis(100)).is_none());
    host.end_evacuation(&zone, Millis(2_000));
    let times: Vec<Millis> = (2_000..3_000)
        .map(Millis)
        .filter(|now| {
            let up = send(&mut host, &fleet, &route, 1, *now);
            if let Some(up) = &up {
                record_outcome(&mut host, &up.id, 1, Outcome::Answered, Millis(100), *now);
            }
            up.is_some()
        })
        .collect();
    assert!(
        (3..=7).contains(&times.len()),
        "{} requests in the first second, expected 3 to 7",
        times.len()
    );
}

proptest! {
    #[test]
    fn retries_of_all_hosts_stay_within_the_budget(
        hosts in 1usize..40,
        loads in proptest::collection::vec(0u32..60, 1..40),
        pause in 1u64..200,
    ) {
        let options = retry::Options { ratio: 0.2, slack: 112.0, window: Millis::secs(10) };
        let service = service();
        let mut budgets: Vec<RetryBudget> =
            (0..hosts).map(|_| RetryBudget::new(options)).collect();
        let (mut requests, mut retries) = (0u32, 0u32);
        // Within one window each host asks for a retry in every step, also without a request.
        for step in 0..(10_000 / pause) {
            let now = Millis(step * pause);
            for (index, budget) in budgets.iter_mut().enumerate() {
                let load = loads[index % loads.len()];
                if u64::from(load) * pause / 1_000 > step % 3 {
                    budget.record_request(&service, hosts, now);
                    requests += 1;
                }
                retries += u32::from(budget.try_take(&service, hosts, now));
            }
        }
        let allowed = 0.2 * f64::from(requests) + 112.0;
        prop_assert!(f64::from(retries) <= allowed, "{retries} retries, expected at most {allowed}");
    }

    #[test]
    fn split_follows_its_weights_after_every_request(
        weights in proptest::collection::vec(1u32..100, 2..5),
        requests in 1usize..300,
    ) {
        let mut route = route("r");
        let total: u32 = weights.iter().sum();
        let name = |index: usize| -> ServiceId { format!("s{index}").parse().unwrap() };
        route.parts = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| WeightedService { service: name(index), weight: f64::from(*weight) })
            .collect();
        let mut split = Split::default();
        let mut counts = vec![0u32; weights.len()];
        for n in 1..=requests {
            let service = split.next_service(&route).unwrap().clone();
            counts[(0..weights.len()).find(|index| name(*index) == service).unwrap()] += 1;
            for (count, weight) in counts.iter().zip(&weights) {
                let due = n as f64 * f64::from(*weight) / f64::from(total);
                prop_assert!((f64::from(*count) - due).abs() <= weights.len() as f64);
            }
        }
    }
}

/// Returns the largest share of requests that change their region from one window of two seconds to
/// the next.
fn largest_shift(regions: &[(Millis, RegionId)], from: Millis, to: Millis) -> f64 {
    let shares = |start: u64| {
        let inside = |at: &Millis| at.0 >= start && at.0 < start + 2_000;
        let mut counts: BTreeMap<&RegionId, f64> = BTreeMap::new();
        let mut total = 0.0;
        for (_, region) in regions.iter().filter(|(at, _)| inside(at)) {
            *counts.entry(region).or_default() += 1.0;
            total += 1.0;
        }
        counts.values_mut().for_each(|count| *count /= f64::max(total, 1.0));
        counts
    };
    let starts = (from.0..=to.0 - 4_000).step_by(100);
    let moved = starts.map(|start| {
        let (before, after) = (shares(start), shares(start + 2_000));
        let rise = |region: &&RegionId| {
            (after.get(region).unwrap_or(&0.0) - before.get(region).unwrap_or(&0.0)).max(0.0)
        };
        after.keys().map(rise).sum::<f64>()
    });
    moved.fold(0.0, f64::max)
}

/// Guards against mass shifts to other regions at the start of a day, when no object is cached yet
/// and a region has too few slots for its requests until its caches are filled.
#[test]
fn requests_of_a_region_short_of_slots_shift_no_faster_than_the_cap() {
    let mut host = Steering::new(options("h1", "a"));
    let fleet = fleet("h1", "a1", Millis(0));
    host.set_config(config(1, 5.0));
    for (zone, count) in [("a1", 2), ("b1", 6), ("c1", 4)] {
        for n in 0..count {
            host.set_upstream(upstream(&format!("{zone}-{n}"), zone), Millis(0));
        }
    }
    let route = route("r");
    let mut sent: Vec<(Millis, RegionId)> = Vec::new();
    let mut busy: Vec<(Millis, UpstreamId, u64, Millis)> = Vec::new();
    let mut cached: std::collections::HashSet<(UpstreamId, u64)> = Default::default();
    for now in (0..16_000).map(Millis) {
        busy.retain(|(until, id, object, took)| {
            if *until > now {
                return true;
            }
            record_outcome(&mut host, id, *object, Outcome::Answered, *took, now);
            false
        });
        if now.0 % 40 != 0 {
            continue;
        }
        let object = now.0 / 40 % 24;
        if let Some(up) = send(&mut host, &fleet, &route, object, now) {
            let region = common::zones()[&up.zone].clone();
            let rtt_ms = if region.as_str() == "a" { 1 } else { 70 };
            let work_ms = if cached.insert((up.id.clone(), object)) { 380 } else { 115 };
            sent.push((now, region));
            busy.push((now + Millis(rtt_ms + work_ms), up.id, object, Millis(rtt_ms + work_ms)));
        }
    }
    let shift = largest_shift(&sent, Millis(0), Millis(16_000));
    assert!(shift <= 0.15 + 0.05, "a share of {shift:.2} of the requests changed their region");
    let late = sent.iter().filter(|(at, _)| at.0 >= 12_000).collect::<Vec<_>>();
    let own_region_count = late.iter().filter(|(_, region)| region.as_str() == "a").count();
    assert!(
        own_region_count * 10 >= late.len() * 7,
        "only {own_region_count} requests returned to their region after its caches were filled"
    );
}

#[test]
fn requests_of_a_region_that_lost_its_upstreams_move_at_once() {
    let mut host = Steering::new(options("h1", "a"));
    let fleet = fleet("h1", "a1", Millis(0));
    host.set_config(config(1, 5.0));
    for id in ["a1-0", "a1-1", "b1-0", "b1-1"] {
        host.set_upstream(upstream(id, &id[..2]), Millis(0));
    }
    let route = route("r");
    for now in (0..6_000).step_by(50).map(Millis) {
        if let Some(up) = send(&mut host, &fleet, &route, now.0 / 50 % 8, now) {
            record_outcome(&mut host, &up.id, now.0 / 50 % 8, Outcome::Answered, Millis(100), now);
        }
    }
    host.remove_upstream(&"a1-0".parse().unwrap(), Millis(5_000));
    host.remove_upstream(&"a1-1".parse().unwrap(), Millis(5_000));
    let served = (6_000..7_000)
        .step_by(50)
        .filter(|now| {
            let up = send(&mut host, &fleet, &route, 1, Millis(*now));
            if let Some(up) = &up {
                record_outcome(&mut host, &up.id, 1, Outcome::Answered, Millis(100), Millis(*now));
            }
            up.is_some()
        })
        .count();
    assert_eq!(served, 20);
}

/// Returns how many retries `host` can take at the same moment.
fn retries_at_once(host: &mut Steering, hosts: usize, now: Millis) -> usize {
    let service = service();
    (0..1_000).take_while(|_| host.try_take_retry(&service, hosts, now)).count()
}

#[test]
fn lowered_retry_budget_applies_at_once() {
    let mut host = Steering::new(options("h1", "a"));
    let service = service();
    let earn_retries =
        |host: &mut Steering, now| (0..400).for_each(|_| host.record_request(&service, 1, now));
    earn_retries(&mut host, Millis(0));
    let mut lowered = options("h1", "a");
    lowered.retry = retry::Options { ratio: 0.2, slack: 10.0, window: Millis::secs(10) };
    host.set_options(lowered);
    earn_retries(&mut host, Millis(10));
    let retries = retries_at_once(&mut host, 1, Millis(10));
    assert!(retries <= 10, "{retries} retries at once with a slack of 10");
}

#[test]
fn host_that_learns_of_other_hosts_reduces_its_share_of_the_slack() {
    let mut host = Steering::new(options("h1", "a"));
    let service = service();
    host.record_request(&service, 1, Millis(0));
    (0..400).for_each(|_| host.record_request(&service, 20, Millis(10)));
    let retries = retries_at_once(&mut host, 20, Millis(10));
    assert!(
        retries <= 100 / 20,
        "{retries} retries at once on one of 20 hosts that share a slack of 100"
    );
}

#[test]
fn retries_stay_within_the_budget_while_no_host_has_read_how_many_share_it() {
    let service = service();
    let names: Vec<String> = (0..20).map(|n| format!("h{n}")).collect();
    let fleets = names
        .iter()
        .map(|name| Fleet::new(common::record(name, "a1"), Millis(0), Millis::secs(1_000)));
    let mut hosts: Vec<_> =
        fleets.map(|fleet| (fleet, RetryBudget::new(options("h1", "a").retry))).collect();
    let mut retries = 0;
    for now in (0..10_000).step_by(50).map(Millis) {
        for (fleet, budget) in &mut hosts {
            let sharing = fleet.hosts_sharing_budgets();
            retries += u32::from(budget.try_take(&service, sharing, now));
        }
    }
    assert!(retries <= 100, "{retries} retries without requests, expected at most 100");
}

#[test]
fn cold_upstream_receives_at_most_its_allowed_rate_from_hosts_that_are_cut_off_from_each_other() {
    let names = ["h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"];
    let (rate, allowed) = (2.8, 9);
    for regions in ["aaaaaaaa", "aaabbbcc"] {
        let zones: Vec<String> = regions.chars().map(|region| format!("{region}1")).collect();
        let mut fleets: Vec<_> =
            names.iter().zip(&zones).map(|(name, zone)| fleet(name, zone, Millis(0))).collect();
        let host = |(name, zone): (&&str, &String)| Steering::new(options(name, &zone[..1]));
        let mut hosts: Vec<Steering> = names.iter().zip(&zones).map(host).collect();
        exchange_digests(&mut fleets, Millis(0));
        let mut sent = Vec::new();
        for host in &mut hosts {
            host.set_config(config(1, rate));
            let mut up = upstream("u1", "a1");
            up.cold_for = Millis::secs(13);
            host.set_upstream(up, Millis(0));
        }
        for now in (10_000..13_000).step_by(10).map(Millis) {
            for (host, fleet) in hosts.iter_mut().zip(&mut fleets) {
                fleet.beat(now);
                if let Some(up) = send(host, fleet, &route("r"), now.0 / 10 % 24, now) {
                    sent.push(now);
                    record_outcome(host, &up.id, 1, Outcome::Answered, Millis(100), now);
                }
            }
        }
        let busiest = busiest_second(&sent);
        assert!(
            busiest <= allowed,
            "the upstream received {busiest} requests within a second, expected at most {allowed}"
        );
    }
}
