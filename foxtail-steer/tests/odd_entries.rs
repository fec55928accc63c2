//! Numbers and names that no upstream of the site can have.

mod common;

use std::sync::Arc;

use common::{config, fleet, options, record_outcome, route, send, upstream};
use foxtail_steer::steering::Outcome;
use foxtail_steer::upstream::{Load, MAX_SLOTS};
use foxtail_steer::{Config, Fleet, Route, Steering};
use foxtail_types::prelude::*;

fn host(ups: &[(&str, &str)]) -> (Steering, Fleet) {
    let mut host = Steering::new(options("h1", "a"));
    host.set_config(config(1, 5.0));
    for (id, zone) in ups {
        host.set_upstream(upstream(id, zone), Millis(0));
    }
    (host, fleet("h1", "a1", Millis(0)))
}

/// Sends `count` requests of `route`, each after the answer to the one before, and returns the ids of
/// the upstreams.
fn send_many(
    (host, fleet): &mut (Steering, Fleet),
    route: &Route,
    count: u64,
    at: Millis,
) -> Vec<String> {
    let mut ids = Vec::new();
    for object in 0..count {
        let now = at + Millis(object * 10);
        let Some(up) = send(host, fleet, route, object, now) else { continue };
        record_outcome(host, &up.id, object, Outcome::Answered, Millis(100), now);
        ids.push(up.id.to_string());
    }
    ids
}

#[test]
fn load_report_with_numbers_too_large_does_not_end_the_host_or_the_use_of_the_upstream() {
    let big = u32::MAX;
    for (running, waiting, slots) in
        [(big, 1, 3), (1, big, 3), (big, big, big), (0, 0, big), (big, 0, 0), (0, big, big)]
    {
        let mut host = host(&[("a1-0", "a1")]);
        let load = Load { running, waiting, slots };
        for at in 0..20 {
            host.0.record_load(&"a1-0".parse().unwrap(), load, Millis(at));
        }
        let sent = send_many(&mut host, &route("r"), 20, Millis(5_000));
        assert_eq!(sent.len(), 20, "after the report {load:?}");
        assert_eq!(host.0.upstream(&"a1-0".parse().unwrap()).unwrap().slots, 3, "{load:?}");
    }
}

#[test]
fn upstream_in_a_zone_that_the_settings_do_not_list_gets_requests_once_they_do() {
    let mut host = host(&[("a1-0", "a1"), ("zz-0", "zz")]);
    let home = Route { homes: vec!["a".parse().unwrap()], ..route("r") };
    for route in [&route("r"), &home] {
        let sent = send_many(&mut host, route, 40, Millis(0));
        assert!(sent.len() == 40 && sent.iter().all(|id| id == "a1-0"), "{sent:?}");
    }
    let mut listed = options("h1", "a");
    listed.zones.insert("zz".parse().unwrap(), "b".parse().unwrap());
    host.0.set_options(listed);
    host.0.remove_upstream(&"a1-0".parse().unwrap(), Millis(1_000));
    let sent = send_many(&mut host, &route("r"), 40, Millis(2_000));
    assert!(sent.len() == 40 && sent.iter().all(|id| id == "zz-0"), "{sent:?}");
    assert!(send_many(&mut host, &home, 40, Millis(3_000)).is_empty(), "not in a home region");
}

#[test]
fn upstream_of_a_service_that_nobody_knows_does_not_move_requests_to_its_region() {
    let mut host = host(&[("a1-0", "a1"), ("b1-0", "b1")]);
    let mut odd = upstream("odd", "b1");
    (odd.service, odd.slots) = ("nobody".parse().unwrap(), MAX_SLOTS);
    host.0.set_upstream(odd, Millis(0));
    let sent = send_many(&mut host, &route("r"), 40, Millis(1_000));
    let moved = sent.iter().filter(|id| *id == "b1-0").count();
    assert!(sent.len() == 40 && moved == 0, "{moved} of {} requests moved", sent.len());
}

#[test]
fn extreme_registrations_do_not_overflow() {
    let max = Millis::MAX;
    for (slots, cold_for, started) in [(u32::MAX, max, Some(max)), (1, Millis(1), Some(max))] {
        let mut host = host(&[("a1-0", "a1"), ("b1-0", "b1")]);
        for zone in ["a1", "b1", "zz"] {
            let mut up = upstream(&format!("odd-{zone}"), zone);
            (up.slots, up.cold_for, up.started) = (slots, cold_for, started);
            host.0.set_upstream(up.clone(), Millis(1));
            host.0.set_upstream(up, max);
            host.0.evacuate(zone.parse().unwrap());
            host.0.end_evacuation(&zone.parse().unwrap(), max);
        }
        assert!(!send_many(&mut host, &route("r"), 40, Millis(10)).is_empty());
    }
}

#[test]
fn an_extreme_configuration_does_not_overflow() {
    let mut extreme = route("r");
    (extreme.timeout, extreme.objective) = (Millis::MAX, Millis::MAX);
    (extreme.priority, extreme.max_attempts) = (u32::MAX, u32::MAX);
    extreme.parts[0].weight = f64::MAX;
    extreme.parts.push(extreme.parts[0].clone());
    let mut host = host(&[("a1-0", "a1")]);
    let mut service = config(1, 5.0).services().next().unwrap().clone();
    (service.warm_up, service.cold_rate) = (Millis::MAX, f64::MAX);
    let limits = foxtail_steer::config::CallerLimits::default();
    host.0.set_config(Config::new(Version(u64::MAX), vec![extreme], vec![service], limits));
    host.0.evacuate("a1".parse().unwrap());
    host.0.end_evacuation(&"a1".parse().unwrap(), Millis(5));
    let cfg = Arc::clone(host.0.config().unwrap());
    assert!(host.0.next_service(&cfg.routes()[0]).is_some());
    send_many(&mut host, &cfg.routes()[0], 40, Millis(10));
}
