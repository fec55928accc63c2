//! Membership of many hosts under losses.

use foxtail_member::members::{PULL_EVERY, SUSPECT_AFTER};
use foxtail_platform::HostState;
use foxtail_standin::members::{Fleet, identity, listed};
use foxtail_types::prelude::*;

/// A host that dies is out of every other host's view within this time.
const DEAD_SEEN_WITHIN: Millis = Millis(6_000);
/// A zone that is cut off is out of every other host's view within this time.
const CUT_SEEN_WITHIN: Millis = Millis(10_000);
/// A host that starts is in every other host's view within this time.
const NEW_SEEN_WITHIN: Millis = Millis(5_000);

#[test]
fn every_host_comes_to_see_every_other() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(NEW_SEEN_WITHIN);
    for id in fleet.up() {
        assert_eq!(fleet.view(&id).live().count(), 18, "as {id} sees it");
    }
}

#[test]
fn a_new_host_is_seen_everywhere_in_time() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(Millis::secs(10));
    let new = fleet.add("new", 0);
    fleet.run(NEW_SEEN_WITHIN);
    for id in fleet.up() {
        assert!(fleet.view(&id).get(&new).is_some_and(|it| it.is_serving()), "as {id} sees it");
    }
}

#[test]
fn a_dead_host_is_suspected_everywhere_in_time_and_nobody_else_is() {
    for dead in ["h0-0", "h0-1", "h0-2", "h3-1"] {
        let mut fleet = Fleet::new(3, 3);
        fleet.run(Millis::secs(10));
        let dead: HostId = dead.parse().unwrap();
        fleet.down.insert(dead.clone());
        fleet.run(DEAD_SEEN_WITHIN);
        for id in fleet.up() {
            let view = fleet.view(&id);
            assert!(view.get(&dead).is_none_or(|it| it.suspect), "{dead} as {id} sees it");
            assert_eq!(view.live().count(), 17, "as {id} sees it after {dead}");
        }
    }
}

#[test]
fn a_host_that_comes_back_is_trusted_again() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(Millis::secs(10));
    let host: HostId = "h1-2".parse().unwrap();
    fleet.down.insert(host.clone());
    fleet.run(SUSPECT_AFTER * 3);
    fleet.down.remove(&host);
    fleet.run(NEW_SEEN_WITHIN);
    for id in fleet.up() {
        assert_eq!(fleet.view(&id).live().count(), 18, "as {id} sees it");
    }
}

#[test]
fn a_zone_that_is_cut_off_is_suspected_and_found_again() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(Millis::secs(10));
    let zone: ZoneId = "r1-z0".parse().unwrap();
    fleet.cut.insert(zone.clone());
    fleet.run(CUT_SEEN_WITHIN);
    for id in fleet.up().iter().filter(|id| !id.as_str().starts_with("h2-")) {
        let view = fleet.view(id);
        assert_eq!(view.live().count(), 15, "as {id} sees it");
        assert!(view.live().all(|it| it.identity.zone != zone));
    }
    fleet.cut.clear();
    fleet.run(CUT_SEEN_WITHIN);
    for id in fleet.up() {
        assert_eq!(fleet.view(&id).live().count(), 18, "as {id} sees it");
    }
}

#[test]
fn a_lost_zone_leaves_the_others_alone() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(Millis::secs(10));
    for host in 0..3 {
        fleet.down.insert(format!("h0-{host}").parse().unwrap());
    }
    fleet.run(CUT_SEEN_WITHIN);
    for id in fleet.up() {
        assert_eq!(fleet.view(&id).live().count(), 15, "as {id} sees it");
    }
}

#[test]
fn an_empty_list_and_a_lost_list_change_nothing() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(Millis::secs(10));
    fleet.list.clear();
    fleet.run(Millis::secs(120));
    for id in fleet.up() {
        assert_eq!(fleet.view(&id).live().count(), 18, "as {id} sees it");
    }
}

#[test]
fn the_list_alone_is_enough_to_see_a_host_leave() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(Millis::secs(10));
    let leaving = identity("h0-0", 0, 1);
    fleet.list.retain(|host| host.id != leaving.id);
    fleet.list.push(listed(&leaving, HostState::Leaving));
    fleet.run(PULL_EVERY);
    for id in fleet.up() {
        assert!(fleet.view(&id).get(&leaving.id).is_some_and(|it| it.leaving), "as {id} sees it");
    }
}

#[test]
fn an_isolated_host_still_knows_the_others() {
    let mut fleet = Fleet::new(1, 3);
    fleet.run(Millis::secs(10));
    let alone: HostId = "h0-0".parse().unwrap();
    for id in fleet.up().iter().filter(|id| **id != alone) {
        fleet.down.insert(id.clone());
    }
    fleet.run(Millis::secs(30));
    let view = fleet.view(&alone);
    assert_eq!(view.live().count(), 1, "only itself is live");
    assert_eq!(view.hosts.len(), 6, "the others are remembered as suspects");
}

#[test]
fn nothing_is_passed_on_while_nothing_changes() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(Millis::secs(20));
    fleet.reset();
    fleet.run(Millis::secs(20));
    assert_eq!(fleet.entries(), 0);
}
