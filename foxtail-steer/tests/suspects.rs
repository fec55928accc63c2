//! Requests that crash upstreams are barred, and other requests are not.

use foxtail_steer::UnconfirmedStrikes;
use foxtail_steer::suspects::{Fingerprint, Fingerprints, Suspects};
use foxtail_steer::unconfirmed::UnconfirmedStrike;
use foxtail_types::prelude::*;
use proptest::prelude::*;

fn fingerprint(path: &str) -> Fingerprint {
    Fingerprints::new("127.0.0.1", "GET", "svc.example", path, []).of_caller
}

fn upstream_id(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

#[test]
fn request_that_crashed_three_upstreams_is_barred_on_all_hosts() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let bad = fingerprint("/bad");
    assert_eq!(here.record_strike(bad, &upstream_id("u1"), None, Millis(0)), Some(1));
    assert_eq!(here.record_strike(bad, &upstream_id("u2"), None, Millis(100)), Some(2));
    assert!(here.barred_for(bad, Millis(100)).is_none());
    for strike in here.strikes_to_share(Millis(200)) {
        there.add_shared_strike(&strike, Millis(50_200));
    }
    assert_eq!(there.record_strike(bad, &upstream_id("u3"), None, Millis(50_300)), Some(3));
    assert!(there.barred_for(bad, Millis(50_300)).is_some());
    for strike in there.strikes_to_share(Millis(50_400)) {
        here.add_shared_strike(&strike, Millis(400));
    }
    assert!(here.barred_for(bad, Millis(400)).is_some());
    assert!(
        here.barred_for(bad, Millis(300_000)).is_some(),
        "the request is still barred after minutes"
    );
    assert!(here.barred_for(fingerprint("/good"), Millis(400)).is_none());
    assert!(here.barred_for(bad, Millis(700_000)).is_none(), "strikes expire");
}

#[test]
fn request_that_is_answered_in_between_is_not_barred_by_broken_connections() {
    let mut host = Suspects::default();
    let request = fingerprint("/hot");
    for n in 0..30 {
        let now = Millis(n * 100);
        host.record_strike(request, &upstream_id(&format!("u{n}")), None, now);
        if n % 2 == 1 {
            host.clear(request, now);
        }
        assert!(host.barred_for(request, now).is_none());
    }
}

#[test]
fn each_incarnation_of_an_upstream_counts_as_one_strike() {
    let mut host = Suspects::default();
    let request = fingerprint("/bad");
    let record_strike = |host: &mut Suspects, started| {
        host.record_strike(request, &upstream_id("u1"), Some(Millis(started)), Millis(10))
    };
    assert_eq!(record_strike(&mut host, 1), Some(1));
    assert_eq!(record_strike(&mut host, 1), None);
    assert_eq!(record_strike(&mut host, 2), Some(2));
}

fn unconfirmed(upstream: &str, sent_at: u64, at: u64) -> UnconfirmedStrike {
    UnconfirmedStrike {
        request: fingerprint("/hot"),
        request_id: "r".to_owned(),
        upstream: upstream_id(upstream),
        started: None,
        sent_at: Millis(sent_at),
        at: Millis(at),
    }
}

#[test]
fn connections_that_break_with_the_links_of_a_host_are_no_strikes() {
    let mut strikes = UnconfirmedStrikes::default();
    strikes.add(unconfirmed("u1", 0, 100));
    strikes.add(unconfirmed("u2", 110, 120));
    assert_eq!(strikes.count(fingerprint("/hot")), 2);
    assert!(strikes.confirm(Millis(90)).is_empty(), "an answer to an earlier request");
    assert_eq!(strikes.discard(), 2);
    assert!(strikes.confirm(Millis(500)).is_empty());
}

#[test]
fn an_answer_confirms_the_strikes_before_its_request() {
    let mut strikes = UnconfirmedStrikes::default();
    strikes.add(unconfirmed("u1", 0, 100));
    strikes.add(unconfirmed("u2", 100, 200));
    let confirmed = strikes.confirm(Millis(150));
    assert_eq!(confirmed, [unconfirmed("u1", 0, 100)]);
    assert_eq!(strikes.confirm(Millis(200)).len(), 1);
    assert!(strikes.is_empty());
}

#[test]
fn attempts_that_were_under_way_together_count_as_one_strike() {
    let mut strikes = UnconfirmedStrikes::default();
    for (n, upstream) in ["u1", "u2", "u3"].into_iter().enumerate() {
        strikes.add(unconfirmed(upstream, 10 * n as u64, 100 + n as u64));
    }
    assert_eq!(strikes.confirm(Millis(300)).len(), 1);
    // One that was already under way breaks later.
    strikes.add(unconfirmed("u4", 90, 400));
    assert!(strikes.is_empty());
    strikes.add(unconfirmed("u5", 100, 400));
    assert_eq!(strikes.count(fingerprint("/hot")), 1);
}

#[test]
fn an_answer_that_others_do_not_know_is_shared_although_more_answers_follow() {
    let (mut answered, mut barred) = (Suspects::default(), Suspects::default());
    let request = fingerprint("/hot");
    answered.clear(request, Millis(2_000));
    for n in 0..3 {
        barred.record_strike(request, &upstream_id(&format!("u{n}")), None, Millis(1_000));
    }
    for strike in barred.strikes_to_share(Millis(2_100)) {
        assert_eq!(answered.add_shared_strike(&strike, Millis(2_100)), None);
    }
    answered.clear(request, Millis(2_200));
    for answer in answered.answers_to_share(Millis(2_300)) {
        barred.add_shared_answer(&answer, Millis(2_300));
    }
    assert_eq!(barred.barred_for(request, Millis(2_300)), None);
}

#[test]
fn hosts_that_hear_of_a_request_bar_it_for_any_caller_although_its_strikes_come_in_pairs() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let request = fingerprint("/bad");
    for n in 0..6 {
        let at = Millis(300 * (n / 2) + 20 * (n % 2));
        here.record_strike(request, &upstream_id(&format!("u{n}")), None, at);
        let is_barred = here.barred_for_any_caller(request, at).is_some();
        assert_eq!(is_barred, n >= 4, "strike {n}");
    }
    for strike in here.strikes_to_share(Millis(700)) {
        there.add_shared_strike(&strike, Millis(700));
    }
    assert!(there.barred_for_any_caller(request, Millis(700)).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]
    #[test]
    fn stored_and_shared_strikes_are_bounded(
        strikes in proptest::collection::vec((0u32..5_000, 0u32..9), 3_000..5_000),
    ) {
        let mut host = Suspects::default();
        for (n, (path, upstream)) in strikes.iter().enumerate() {
            let now = Millis(n as u64);
            let request = fingerprint(&format!("/{path}"));
            host.record_strike(request, &upstream_id(&format!("u{upstream}")), None, now);
        }
        prop_assert!(host.strikes_to_share(Millis(strikes.len() as u64)).len() <= 16);
        let stored = (0..5_000).filter(|path| !host.has_no_strikes(fingerprint(&format!("/{path}")))).count();
        prop_assert!(stored <= 2_048, "{stored} requests are stored, expected at most 2048");
    }
}
