//! Group commit and the relay on virtual time.

mod support;

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_once::commit::{Done, Entry, Options, Pace, Sent, Urgency};
use foxtail_once::relay::{Budget, Peers, choose, msg};
use foxtail_once::{Commit, Group, Relay};
use foxtail_platform::table::{Change, Expect, Write};
use foxtail_standin::platform::{LocalStore, Options as Setup, Platform};
use foxtail_types::prelude::*;
use support::{TokioClock, WALL};

fn entry(key: &str, value: &str, urgency: Urgency) -> Entry {
    let change = Change::Put(value.as_bytes().to_vec());
    let write = Write { key: key.to_owned(), expect: Expect::Absent, change };
    Entry { write, born: Some(WALL), urgency, sent: Sent::default() }
}

fn start(pace: Pace) -> (Arc<Platform>, Arc<Group>, Arc<TokioClock>) {
    let platform = Platform::new(&Setup::default());
    let clock = TokioClock::start(WALL);
    let table = Arc::new(LocalStore::new(Arc::clone(&platform)));
    let options = Options { pace, ..Options::default() };
    (platform, Group::start(table, clock.clone(), options), clock)
}

#[tokio::test(start_paused = true)]
async fn a_conflict_fails_only_its_own_write() {
    let (platform, group, _) = start(Pace { per_s: 10, burst: 1 });
    for key in ["b", "d"] {
        group.commit(entry(key, "before", Urgency::Now)).await;
    }
    let before = platform.counts();
    let keys = ["a", "b", "c", "d", "e"];
    let writes = keys.map(|key| group.commit(entry(key, "after", Urgency::Now)));
    let done = futures::future::join_all(writes).await;
    let conflicts: Vec<_> = done.iter().map(|done| matches!(done, Done::Conflict(_))).collect();
    assert_eq!(conflicts, [false, true, false, true, false]);
    let counts = platform.counts().since(&before);
    assert_eq!((counts.commits, counts.conflicts, counts.reads), (1, 1, 1));
}

#[tokio::test(start_paused = true)]
async fn writes_gather_when_the_pace_is_spent() {
    let (platform, group, clock) = start(Pace { per_s: 10, burst: 1 });
    let writes = (0..50).map(|i| {
        let (group, key) = (Arc::clone(&group), format!("k{i}"));
        async move {
            tokio::time::sleep(Millis(i * 10).duration()).await;
            group.commit(entry(&key, "v", Urgency::Now)).await
        }
    });
    let done = futures::future::join_all(writes).await;
    assert!(done.iter().all(|done| matches!(done, Done::Committed(_))));
    assert!(clock.now() <= Millis(620), "{}", clock.now());
    assert!(platform.counts().commits <= 7, "{:?}", platform.counts());
    group.stop().await;
}

/// A relay that commits and never answers.
struct Silent(Arc<Group>);

#[async_trait]
impl Peers for Silent {
    async fn commit(&self, _: &HostId, relayed: msg::Relayed, timeout: Millis) -> Option<Done> {
        foxtail_once::relay::serve(&*self.0, relayed).await;
        tokio::time::sleep(timeout.duration()).await;
        None
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_of_a_silent_relay_is_found_again() {
    let (platform, group, clock) = start(Pace { per_s: 100, burst: 10 });
    let own = Arc::clone(&group) as Arc<dyn Commit>;
    let relay = Relay::new(Arc::new(Silent(group)), own, clock);
    relay.set_target(HostId::new("silent").ok());
    let done = relay.commit(entry("a", "token", Urgency::Now)).await;
    assert!(matches!(done, Done::Committed(_)), "{done:?}");
    assert_eq!(platform.counts().commits, 1);
    relay.set_direct(1);
    let direct = relay.commit(entry("b", "token", Urgency::Now)).await;
    assert!(matches!(direct, Done::Committed(_)), "{direct:?}");
}

#[test]
fn parts_of_the_budget_add_up_to_no_more() {
    let budget = Budget { direct_per_s: 240, gathered_per_s: 110 };
    for (hosts, relays) in [(1, 1), (18, 3), (60, 3), (200, 20)] {
        let relay = budget.part(hosts, relays, true).pace_per_s as usize * relays;
        let other = budget.part(hosts, relays, false).pace_per_s as usize * (hosts - relays);
        assert!(relay + other <= 350, "{hosts} hosts: {relay} and {other}");
    }
}

#[test]
fn the_relay_changes_only_with_its_host() {
    let hosts: Vec<HostId> = (0..20).map(|i| HostId::new(&format!("h{i}")).unwrap()).collect();
    let chosen = choose(&hosts).unwrap();
    let without: Vec<_> = hosts.iter().filter(|host| *host != &hosts[3]).collect();
    if *chosen != hosts[3] {
        assert_eq!(choose(without), Some(chosen));
    }
    assert_eq!(choose(hosts.iter().rev()), Some(chosen));
}
