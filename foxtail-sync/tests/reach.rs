//! How far a version has got, as judged from membership.

use std::net::SocketAddr;

use foxtail_config::stage::Reach;
use foxtail_member::{Identity, Member, Phase, Status, View};
use foxtail_sync::reach::{Judge, LAPSE};
use foxtail_types::prelude::*;

const TICKETS: Millis = Millis(10_000);
const V: Version = Version(7);

/// A view with a host for each `(version, suspect)`.
fn view(hosts: &[(u64, bool)]) -> View {
    let member = |(i, (version, suspect)): (usize, &(u64, bool))| {
        let addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let identity = Identity {
            id: HostId::new(&format!("host-{i}")).unwrap(),
            incarnation: 1,
            region: RegionId::new("sabah").unwrap(),
            zone: ZoneId::new("sabah-a").unwrap(),
            caller: addr,
            peer: addr,
            operator: addr,
        };
        let status = Status { phase: Phase::Serving, version: Version(*version), busy_permille: 0 };
        Member { identity, status, suspect: *suspect, leaving: false, serving_since: None }
    };
    let hosts: Vec<_> = hosts.iter().enumerate().map(member).collect();
    View { me: hosts[0].identity.id.clone(), hosts }
}

#[test]
fn held_by_all_then_settled_when_old_tickets_are_gone() {
    let mut judge = Judge::default();
    let mut reach = |hosts: &[(u64, bool)], now| judge.reach(&view(hosts), V, TICKETS, Millis(now));
    assert_eq!(reach(&[(7, false), (6, false)], 0), Reach::Seen);
    assert_eq!(reach(&[(7, false), (7, false)], 1_000), Reach::Held);
    assert_eq!(reach(&[(7, false), (7, false)], 10_999), Reach::Held);
    assert_eq!(reach(&[(7, false), (7, false)], 11_000), Reach::Settled);
}

#[test]
fn a_host_that_starts_or_is_ahead_holds_back() {
    let mut judge = Judge::default();
    let mut reach = |hosts: &[(u64, bool)]| judge.reach(&view(hosts), V, TICKETS, Millis(0));
    assert_eq!(reach(&[(7, false), (0, false)]), Reach::Seen);
    assert_eq!(reach(&[(7, false), (8, false)]), Reach::Seen);
    assert_eq!(reach(&[(7, false)]), Reach::Held);
}

#[test]
fn a_silent_host_holds_back_raised_limits_for_a_while_and_moved_servers_for_good() {
    let mut judge = Judge::default();
    let mut reach = |hosts: &[(u64, bool)], now| judge.reach(&view(hosts), V, TICKETS, now);
    let silent = [(7, false), (6, true)];
    assert_eq!(reach(&silent, Millis(0)), Reach::Seen);
    assert_eq!(reach(&silent, LAPSE - Millis(1)), Reach::Seen);
    assert_eq!(reach(&silent, LAPSE), Reach::Held);
    assert_eq!(reach(&silent, LAPSE + TICKETS * 10), Reach::Held);
    let heard_again = [(7, false), (6, false)];
    assert_eq!(reach(&heard_again, LAPSE + TICKETS * 11), Reach::Seen);
    assert_eq!(reach(&silent, LAPSE + TICKETS * 12), Reach::Seen);
}
