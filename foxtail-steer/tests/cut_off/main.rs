//! Hosts that are cut off from all upstreams serve their callers through other hosts, in fleets of 18
//! and 142 hosts.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use foxtail_steer::Steering;
use foxtail_steer::reachability::{Change, ProbeOutcome, ProbeReasons, Reachability};
use foxtail_types::prelude::*;
use simulation::{Cut, Manner, Scenario, Simulation, zone_of};

const FLEET_SIZES: [usize; 2] = [18, 142];
const MANNERS: [Manner; 3] = [Manner::Hang, Manner::Reset, Manner::RefuseNew];

/// Plays cuts of each manner in fleets of each size, and returns the simulations.
fn play(affects: fn(usize) -> bool, change: impl Fn(&mut Scenario)) -> Vec<(String, Simulation)> {
    let mut played = Vec::new();
    for hosts in FLEET_SIZES {
        for manner in MANNERS {
            let from = Millis(3_000);
            let cuts = vec![Cut { from, to: Millis(12_000), manner, affects }];
            let mut scenario = Scenario {
                hosts,
                requests_per_s: (9.0 * hosts as f64).min(250.0),
                length: Millis(15_000),
                cuts,
                restarts: Vec::new(),
                homes: Vec::new(),
                seed: 7,
            };
            change(&mut scenario);
            let name = format!("{hosts} hosts, {manner:?}");
            played.push((name, Simulation::new(scenario).play()));
        }
    }
    played
}

fn assert_served(played: &[(String, Simulation)]) {
    for (name, simulation) in played {
        let counts = simulation.counts;
        assert!(counts.cut_off > 20 && counts.others > 0, "{name}: {counts:?}");
        let failed = counts.cut_off - counts.cut_off_served;
        assert!(failed * 50 <= counts.cut_off, "{name}: {counts:?}");
        let failed = counts.others - counts.others_served;
        assert!(failed * 50 <= counts.others, "{name}: {counts:?}");
        assert!(simulation.most_passed <= 2, "{name}: a request passed {}", simulation.most_passed);
        assert_eq!(simulation.left_homes, 0, "{name}");
        assert!(simulation.longest <= Millis(1_000), "{name}: {:?}", simulation.longest);
    }
}

#[test]
fn a_third_of_the_hosts_is_cut_off() {
    assert_served(&play(|host| host % 3 == (host / 6) % 3, |_| {}));
}

#[test]
fn a_zone_is_cut_off() {
    assert_served(&play(|host| zone_of(host) == "a1", |_| {}));
}

#[test]
fn a_region_is_cut_off() {
    assert_served(&play(|host| zone_of(host).starts_with('a'), |_| {}));
}

#[test]
fn all_hosts_but_one_are_cut_off() {
    for (name, simulation) in play(|host| host != 4, |_| {}) {
        let counts = simulation.counts;
        let failed = counts.cut_off - counts.cut_off_served;
        // The upstreams' slots suffice for one host's cap on shifts between regions only in part.
        assert!(failed * 3 <= counts.cut_off, "{name}: {counts:?}");
        assert!(simulation.most_passed <= 2, "{name}: a request passed {}", simulation.most_passed);
    }
}

#[test]
fn all_hosts_are_cut_off() {
    for (name, simulation) in play(|_| true, |_| {}) {
        assert!(simulation.most_passed <= 2, "{name}: a request passed {}", simulation.most_passed);
        let longest = simulation.longest;
        assert!(longest <= Millis(500), "{name}: a request waited for {longest:?} in vain");
    }
}

#[test]
fn requests_with_homes_stay_in_them_while_hosts_are_cut_off() {
    let played = play(|host| host % 3 == (host / 6) % 3, |scenario| scenario.homes = vec!["b"]);
    assert_served(&played);
}

#[test]
fn hosts_are_cut_off_again_and_again_while_others_restart() {
    let change = |scenario: &mut Scenario| {
        let first = scenario.cuts[0];
        let second = Cut { affects: |host| zone_of(host) == "b2", from: Millis(8_000), ..first };
        scenario.cuts.push(second);
        let hosts = scenario.hosts;
        let restarts = (0..8).map(|n| (Millis(4_000 + 1_000 * n as u64), 5 * n % hosts));
        scenario.restarts = restarts.collect();
    };
    for (name, simulation) in play(|host| zone_of(host) == "a1", change) {
        let counts = simulation.counts;
        let failed = counts.cut_off - counts.cut_off_served;
        assert!(failed * 20 <= counts.cut_off, "{name}: {counts:?}");
        assert!(simulation.most_passed <= 2, "{name}: a request passed {}", simulation.most_passed);
    }
}

#[test]
fn nothing_is_relayed_or_probed_while_no_host_is_cut_off() {
    for (name, simulation) in play(|_| false, |scenario| scenario.cuts.clear()) {
        assert_eq!((simulation.relayed, simulation.needless_probes), (0, 0), "{name}");
    }
}

#[test]
fn failures_of_some_upstreams_are_no_loss_of_all() {
    let mut reachability = Reachability::default();
    for n in 0..3 {
        reachability.record_failure(&format!("u{n}").parse().unwrap(), Millis(100));
    }
    assert!(reachability.is_suspected(Millis(100)));
    assert!(reachability.begin_probes(ProbeReasons::default(), Millis(100)).is_some());
    let outcomes = [ProbeOutcome::Failed, ProbeOutcome::Answered, ProbeOutcome::Failed];
    assert_eq!(reachability.record_probes(&outcomes, Millis(200)), None);
    assert!(!reachability.is_suspected(Millis(200)));
}

#[test]
fn upstreams_of_services_that_the_configuration_does_not_list_are_not_probed() {
    let mut steering = Steering::new(common::options("h", "a"));
    steering.set_config(common::config(1, 5.0));
    steering.set_upstream(common::upstream("listed", "a1"), Millis(0));
    let mut other = common::upstream("other", "b1");
    other.service = "unknown".parse().unwrap();
    steering.set_upstream(other, Millis(0));
    for round in 0..10 {
        let probed = steering.upstreams_to_probe(round, Millis(100));
        let ids: Vec<&str> = probed.iter().map(|up| up.id.as_str()).collect();
        assert_eq!(ids, ["listed"]);
    }
}

#[test]
fn requests_are_relayed_to_hosts_that_tell_of_notices_before_those_of_earlier_versions() {
    let zones = ["a1", "a1", "a2", "a2", "b1", "b1"];
    let mut fleets: Vec<_> = (0..zones.len())
        .map(|n| common::fleet(&format!("h-{n}"), zones[n], Millis::ZERO))
        .collect();
    for round in 0..3 {
        common::exchange_digests(&mut fleets, Millis(400 * round));
    }
    let (fleet, now) = (&mut fleets[0], Millis(1_000));
    let host = |n: usize| -> HostId { format!("h-{n}").parse().unwrap() };
    for n in [2, 4] {
        fleet.record_notice_support(&host(n), true);
    }
    for key in 0..50 {
        let target = |tried: &[HostId]| {
            fleet.relay_target(&common::route("r"), key, tried, now).map(|record| record.id.clone())
        };
        assert_eq!(target(&[]), Some(host(2)));
        let next = target(&[host(2)]).unwrap();
        assert!([host(1), host(3)].contains(&next), "{next}: of the own region before others");
        assert_eq!(target(&[host(1), host(2), host(3)]), Some(host(4)));
    }
}

#[test]
fn a_single_slow_request_is_no_loss_of_all_upstreams() {
    let mut reachability = Reachability::default();
    reachability.record_sent(Millis(0));
    assert!(!reachability.is_suspected(Millis(2_000)));
    reachability.record_ended(false, Millis(2_000));
    // Nothing waits any more, but no answer has come since either.
    assert!(!reachability.is_suspected(Millis(3_000)));
    reachability.record_sent(Millis(3_000));
    assert!(reachability.is_suspected(Millis(3_000)));
    let answered = [ProbeOutcome::Answered; 3];
    assert_eq!(reachability.record_probes(&answered, Millis(3_100)), None);
    assert!(!reachability.is_suspected(Millis(4_000)));
}

#[test]
fn busy_upstreams_that_do_not_answer_probes_in_time_are_not_lost_while_others_answer() {
    let mut reachability = Reachability::default();
    (0..8).for_each(|_| reachability.record_sent(Millis(0)));
    reachability.record_ended(true, Millis(900));
    assert!(!reachability.is_suspected(Millis(1_500)));
    let unanswered = [ProbeOutcome::Unanswered; 3];
    assert_eq!(reachability.record_probes(&unanswered, Millis(1_500)), None);
    // No answer to any request for longer: connections may be accepted by something in between.
    assert!(reachability.is_suspected(Millis(2_200)));
    assert_eq!(reachability.record_probes(&unanswered, Millis(2_200)), Some(Change::Lost));
    let answered = [ProbeOutcome::Failed, ProbeOutcome::Answered];
    let after = Millis(800);
    let change = reachability.record_probes(&answered, Millis(3_000));
    assert_eq!(change, Some(Change::Regained { after }));
}

#[test]
fn host_without_requests_loses_its_upstreams_by_probes_that_stay_unanswered() {
    let lost_after = |reasons: ProbeReasons, relayed: bool, gap: Millis| {
        let mut reachability = Reachability::default();
        let start = Millis::secs(100);
        let mut now = start;
        while now < start + Millis::secs(20) {
            if relayed {
                reachability.record_relayed(now);
            }
            if reachability.begin_probes(reasons, now).is_some() {
                let ended = now + Millis(500);
                if reachability.record_probes(&[ProbeOutcome::Unanswered; 3], ended).is_some() {
                    return Some((ended).since(start));
                }
            }
            now = now + gap;
        }
        None
    };
    let (nothing, others_lost) =
        (ProbeReasons::default(), ProbeReasons { others_lost: true, ..Default::default() });
    let gap = Millis(500);
    assert_eq!(lost_after(others_lost, false, gap), Some(Millis(2_500)));
    assert_eq!(lost_after(nothing, true, gap), Some(Millis(2_500)));
    assert_eq!(lost_after(nothing, false, gap), None, "nothing to probe for");
    // Upstreams that are busy now and then are not lost.
    assert_eq!(lost_after(others_lost, false, Millis(2_500)), None);
}

#[test]
fn relayed_request_is_sent_at_once_while_upstreams_answer() {
    let mut reachability = Reachability::default();
    reachability.record_sent(Millis(900));
    reachability.record_ended(true, Millis(1_000));
    assert_eq!(reachability.hold(Millis(2_000), Millis(1_499)), None);
    assert!(!reachability.needs_probes(ProbeReasons::default(), Millis(1_499)));
}

#[test]
fn relayed_request_is_held_for_a_small_part_of_its_time_while_no_upstream_answers() {
    for time_left in [100, 1_000, 2_000, 6_000, 60_000] {
        let mut reachability = Reachability::default();
        reachability.record_sent(Millis(900));
        reachability.record_ended(true, Millis(1_000));
        let quiet = Millis(1_000) + Millis(time_left / 4).min(Millis(2_000));
        let held_for = reachability.hold(Millis(time_left), quiet).expect("the request is held");
        assert!(held_for <= Millis(time_left / 8).min(Millis(500)), "{held_for:?} of {time_left}");
        assert!(reachability.begin_probes(ProbeReasons::default(), quiet).is_some());
        // Held requests are no reason for probes once they are handed back.
        let later = quiet + Millis(1_000);
        assert_eq!(reachability.begin_probes(ProbeReasons::default(), later), None);
    }
}

#[test]
fn relayed_requests_of_an_idle_host_are_sent_after_an_answer_to_a_probe() {
    let mut reachability = Reachability::default();
    let mut now = Millis(5_000);
    // Less often than the requests' patience allows, and more often than other rounds of probes.
    for _ in 0..8 {
        now = now + Millis(300);
        assert!(reachability.hold(Millis(1_000), now).is_some());
        assert!(!reachability.has_answered_since(now));
        let round = reachability.begin_probes(ProbeReasons::default(), now);
        assert!(round.is_some(), "a request waits for a round of probes at {now:?}");
        let probed_at = now + Millis(2);
        assert_eq!(reachability.record_probes(&[ProbeOutcome::Answered], probed_at), None);
        assert!(reachability.has_answered_since(now));
        assert_eq!(reachability.hold(Millis(1_000), probed_at), None);
    }
}

#[test]
fn host_that_holds_requests_loses_its_upstreams_as_soon_as_one_that_sent_them() {
    let lost_after = |send: fn(&mut Reachability, Millis)| {
        let mut reachability = Reachability::default();
        reachability.record_relayed(Millis(5_000));
        send(&mut reachability, Millis(5_000));
        (5_000..10_000).step_by(100).find(|now| {
            reachability.record_relayed(Millis(*now));
            let round = reachability.begin_probes(ProbeReasons::default(), Millis(*now));
            let ended_at = Millis(now + 500);
            round.is_some()
                && reachability.record_probes(&[ProbeOutcome::Unanswered], ended_at).is_some()
        })
    };
    let sent = lost_after(|reachability, now| reachability.record_sent(now));
    let held = lost_after(|reachability, now| {
        reachability.hold(Millis(1_500), now);
    });
    assert_eq!(held, sent);
}
