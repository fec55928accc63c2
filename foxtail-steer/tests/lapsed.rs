//! Upstreams whose registrations may have lapsed are kept for a while, and no longer.

use foxtail_steer::LapsedUpstreams;
use foxtail_types::prelude::*;

fn id(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

#[test]
fn removal_that_is_told_again_does_not_restart_the_time_for_which_the_upstream_is_kept() {
    let mut lapsed = LapsedUpstreams::default();
    for returned_at in [1_000, 1_600, 2_900] {
        lapsed.record(id("up-1"), Millis(returned_at));
    }
    assert_eq!(lapsed.take_expired(Millis(3_199)), []);
    assert_eq!(lapsed.take_expired(Millis(3_200)), [id("up-1")]);
    assert_eq!(lapsed.take_expired(Millis(9_000)), []);
}

#[test]
fn upstream_that_registers_again_is_kept_and_may_lapse_later() {
    let mut lapsed = LapsedUpstreams::default();
    lapsed.record(id("up-1"), Millis(1_000));
    lapsed.record(id("up-2"), Millis(1_000));
    lapsed.forget(&id("up-1"));
    assert_eq!(lapsed.take_expired(Millis(4_000)), [id("up-2")]);
    lapsed.record(id("up-1"), Millis(5_000));
    assert_eq!(lapsed.take_expired(Millis(7_000)), []);
    assert_eq!(lapsed.take_expired(Millis(7_200)), [id("up-1")]);
}
