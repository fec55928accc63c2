//! Upstreams that name limits get no more than that from all hosts together.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use simulation::{Fault, FaultKind, Limit, Scenario, Simulation};

const NAMED_FROM: Millis = Millis::secs(5);

/// Returns a scenario in which upstreams of each region name limits from 5 s on.
fn scenario(hosts: usize, seed: u64) -> Scenario {
    let upstreams = if hosts > 100 { 60 } else { 12 };
    let limit =
        |(upstream, per_s)| Limit { upstream, per_s, from: NAMED_FROM, to: Millis::secs(40) };
    Scenario {
        hosts,
        upstreams,
        requests_per_s: if hosts > 100 { 700.0 } else { 160.0 },
        length: Millis::secs(40),
        limits: [(0, 1.7), (3, 0.4), (8, 6.0)].map(limit).to_vec(),
        faults: Vec::new(),
        seed,
    }
}

fn fault(from_s: u64, to_s: u64, kind: FaultKind) -> Fault {
    Fault { from: Millis::secs(from_s), to: Millis::secs(to_s), kind }
}

/// Plays the scenario and checks that no limit is exceeded.
fn play_within_limits(scenario: Scenario) -> Simulation {
    let played = Simulation::new(scenario.clone()).play();
    for limit in &scenario.limits {
        let (busiest, allowed) = played.busiest_window(limit);
        assert!(
            busiest as f64 <= allowed,
            "u{} with a limit of {} per second got {busiest} requests in 4 s, allowed are {allowed}: \
             {scenario:?}",
            limit.upstream,
            limit.per_s,
        );
    }
    played
}

#[test]
fn limit_of_an_upstream_holds_over_18_hosts_that_learn_it_one_after_the_other() {
    play_within_limits(scenario(18, 1));
}

#[test]
fn limit_of_an_upstream_holds_over_142_hosts_that_learn_it_one_after_the_other() {
    play_within_limits(scenario(142, 1));
}

/// Plays a fleet whose hosts are cut off from each other, in parts of several sizes.
fn play_partitions(hosts: usize) {
    let groups: [fn(usize) -> usize; 6] =
        [|n| n % 2, |n| n % 6, |n| n % 3, |n| n / 3 % 4, |n| n / 6, |n| n];
    for (seed, group_of) in groups.into_iter().enumerate() {
        let mut scenario = scenario(hosts, seed as u64 + 10);
        scenario.faults.push(fault(8, 25, FaultKind::Partition(group_of)));
        play_within_limits(scenario);
    }
}

#[test]
fn limit_of_an_upstream_holds_while_18_hosts_are_cut_off_from_each_other() {
    play_partitions(18);
}

#[test]
fn limit_of_an_upstream_holds_while_142_hosts_are_cut_off_from_each_other() {
    play_partitions(142);
}

#[test]
fn limit_of_an_upstream_holds_while_hosts_restart_freeze_or_are_not_heard() {
    for hosts in [18, 142] {
        let mut scenario = scenario(hosts, 20);
        for n in 0..hosts.min(36) {
            let from = 7 + (n as u64 * 5) % 24;
            let kinds = [FaultKind::Restart(n), FaultKind::Freeze(n), FaultKind::Mute(n)];
            let kind = kinds[n / 6 % 3].clone();
            scenario.faults.push(fault(from, from + 2 + n as u64 % 6, kind));
        }
        scenario.faults.push(fault(10, 30, FaultKind::Loss(20)));
        play_within_limits(scenario);
    }
}

#[test]
fn limit_of_an_upstream_holds_while_several_hosts_hear_others_that_do_not_hear_them() {
    for hosts in [18, 142] {
        // Hosts of region a, which belong to the zones a1 and a2 in turn.
        let own_region = (0..hosts).filter(|n| n % 6 < 2);
        let muted: Vec<usize> = own_region.clone().step_by(2).collect();
        let others: Vec<usize> = own_region.skip(1).step_by(2).collect();
        for muted in [muted, others] {
            let mut scenario = scenario(hosts, 40);
            let count = muted.len() - 1;
            let mute = |n| fault(8, 25, FaultKind::Mute(n));
            scenario.faults.extend(muted.into_iter().take(count).map(mute));
            play_within_limits(scenario);
        }
    }
}

#[test]
fn limit_of_an_upstream_holds_while_hosts_relay_requests_to_each_other() {
    for hosts in [18, 142] {
        let cut_off: [fn(usize) -> bool; 3] =
            [|n| n % 6 == 0, |n| n % 3 == n / 6 % 3, |n| n % 6 < 2];
        for (seed, is_cut_off) in cut_off.into_iter().enumerate() {
            let mut scenario = scenario(hosts, 50 + seed as u64);
            for n in (0..hosts).filter(|n| is_cut_off(*n)) {
                for from in [7, 14, 22] {
                    scenario.faults.push(fault(from, from + 5, FaultKind::LoseUpstreams(n)));
                }
                if n % 4 == 0 {
                    scenario.faults.push(fault(16, 19, FaultKind::Restart(n)));
                }
            }
            play_within_limits(scenario);
        }
    }
}

/// Returns a scenario with random faults, also several at the same time.
fn random_scenario(hosts: usize, seed: u64) -> Scenario {
    let mut scenario = scenario(hosts, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..rng.random_range(3..14) {
        let host = rng.random_range(0..hosts);
        let kind = match rng.random_range(0..8) {
            0 => FaultKind::Partition(|n| n % 2),
            1 => FaultKind::Partition(|n| n / 3 % 3),
            2 => FaultKind::Partition(|n| usize::from(n % 7 < 2)),
            3 => FaultKind::Mute(host),
            4 => FaultKind::Loss(rng.random_range(5..60)),
            5 => FaultKind::Freeze(host),
            _ => FaultKind::Restart(host),
        };
        let from = rng.random_range(4..34);
        scenario.faults.push(fault(from, from + rng.random_range(1..12), kind));
    }
    scenario
}

#[test]
fn limit_of_an_upstream_holds_under_random_faults() {
    let number = |name, default| {
        std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
    };
    let first: u64 = number("FOXTAIL_SEED", 1_000);
    for seed in first..first + number("FOXTAIL_CASES", 8) {
        play_within_limits(random_scenario(if seed % 8 == 0 { 142 } else { 18 }, seed));
    }
}

#[test]
fn limited_upstream_is_used_within_its_limit_and_as_before_once_the_limit_ends() {
    for hosts in [18, 142] {
        let mut scenario = scenario(hosts, 30);
        for limit in &mut scenario.limits {
            limit.to = Millis::secs(25);
        }
        let played = play_within_limits(scenario.clone());
        for limit in &scenario.limits {
            let before = played.rate(limit.upstream, Millis::secs(2), NAMED_FROM);
            let during = played.rate(limit.upstream, Millis::secs(10), limit.to);
            let after = played.rate(limit.upstream, Millis::secs(35), Millis::secs(40));
            let Limit { upstream, per_s, .. } = *limit;
            assert!(
                (0.3 * per_s..=per_s).contains(&during),
                "u{upstream} with a limit of {per_s} per second got {during} per second"
            );
            assert!(
                after >= before / 2.0,
                "u{upstream} got {after} per second after the limit, {before} before it"
            );
        }
        let in_contact = played.contact_share();
        assert!(in_contact > 0.99, "hosts were in contact in only {in_contact} of the checks");
        let sent = played.sent_share();
        assert!(sent > 0.99, "only {sent} of the requests were sent to an upstream");
    }
}
