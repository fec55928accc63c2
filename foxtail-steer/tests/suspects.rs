//! Requests that crash upstreams are barred, and other requests are not.

use foxtail_steer::suspects::{Fingerprint, Suspects};
use foxtail_types::prelude::*;
use proptest::prelude::*;

fn fingerprint(path: &str) -> Fingerprint {
    Fingerprint::new("127.0.0.1", "GET", "svc.example", path, b"")
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

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]
    #[test]
    fn stored_and_shared_strikes_are_bounded(
        strikes in proptest::collection::vec((0u32..5_000, 0u32..9), 1_500..2_500),
    ) {
        let mut host = Suspects::default();
        for (n, (path, upstream)) in strikes.iter().enumerate() {
            let now = Millis(n as u64);
            let request = fingerprint(&format!("/{path}"));
            host.record_strike(request, &upstream_id(&format!("u{upstream}")), None, now);
        }
        prop_assert!(host.strikes_to_share(Millis(strikes.len() as u64)).len() <= 16);
        let stored = (0..5_000).filter(|path| !host.has_no_strikes(fingerprint(&format!("/{path}")))).count();
        prop_assert!(stored <= 1_024, "{stored} requests are stored, expected at most 1024");
    }
}
