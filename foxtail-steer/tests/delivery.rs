//! Which long responses a stopping host can still pass on.

use std::net::IpAddr;

use foxtail_steer::Deliveries;
use foxtail_types::prelude::*;

const DOSSIER_BYTES: u64 = 18_000_000;

fn caller(n: u8) -> IpAddr {
    IpAddr::from([10, 9, 0, n])
}

fn deliver(deliveries: &mut Deliveries, (from, to): (u64, u64), bytes: u64, n: u8) {
    let id = deliveries.begin("dossiers", caller(n), Millis(from));
    deliveries.finish(id, bytes, Millis(to));
}

#[test]
fn response_takes_as_long_as_the_longest_one_of_its_route() {
    let mut deliveries = Deliveries::default();
    deliver(&mut deliveries, (0, 6_000), DOSSIER_BYTES, 1);
    deliver(&mut deliveries, (6_000, 6_200), 200_000, 2);
    let expected = deliveries.expected("dossiers", caller(3), Millis(6_200));
    assert!((5_900..=6_000).contains(&expected.0), "{expected:?}");
    assert_eq!(deliveries.expected("rules", caller(3), Millis(6_200)), Millis::ZERO);
}

#[test]
fn responses_under_way_count_before_the_first_one_has_arrived() {
    let mut deliveries = Deliveries::default();
    let first = deliveries.begin("dossiers", caller(1), Millis(1_000));
    deliveries.begin("dossiers", caller(2), Millis(4_000));
    assert_eq!(deliveries.expected("dossiers", caller(3), Millis(5_000)), Millis(4_000));
    deliveries.finish(first, 100, Millis(5_000));
    assert_eq!(deliveries.under_way(), 1);
}

#[test]
fn slow_caller_takes_longer_than_others() {
    let mut deliveries = Deliveries::default();
    deliver(&mut deliveries, (0, 1_000), DOSSIER_BYTES, 1);
    // 200 bytes a millisecond: a whole dossier takes 90 s.
    deliver(&mut deliveries, (0, 1_000), 200_000, 2);
    let expected = |n| deliveries.expected("dossiers", caller(n), Millis(1_000)).0;
    assert_eq!((expected(1), expected(3)), (1_000, 1_000));
    assert!((89_000..=91_000).contains(&expected(2)), "{}", expected(2));
}

#[test]
fn what_is_known_fades() {
    let mut deliveries = Deliveries::default();
    deliver(&mut deliveries, (0, 8_000), DOSSIER_BYTES, 1);
    let later = Millis::secs(8 + 120);
    let expected = deliveries.expected("dossiers", caller(2), later);
    assert_eq!(expected, Millis(2_000));
}
