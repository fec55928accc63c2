//! Tests group commit and the relay on virtual time.

mod support;

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_once::commit::{
    CommitOutcome, Options, PossiblyApplied, TxnRate, Urgency, WriteRequest,
};
use foxtail_once::relay::{FleetBudget, Peers, choose_relay, msg};
use foxtail_once::{Commit, GroupCommitter, RelayClient};
use foxtail_platform::table::{Change, Expect, Write};
use foxtail_standin::platform::{LocalStore, Options as PlatformOptions, Platform};
use foxtail_types::prelude::*;
use support::{TokioClock, WALL_START};

fn write_request(key: &str, value: &str, urgency: Urgency) -> WriteRequest {
    let change = Change::Put(value.as_bytes().to_vec());
    let write = Write { key: key.to_owned(), expect: Expect::Absent, change };
    WriteRequest {
        write,
        key_created_at: Some(WALL_START),
        urgency,
        possibly_applied: PossiblyApplied::default(),
    }
}

fn start(txn_rate: TxnRate) -> (Arc<Platform>, Arc<GroupCommitter>, Arc<TokioClock>) {
    let platform = Platform::new(&PlatformOptions::default());
    let clock = TokioClock::start(WALL_START);
    let table = Arc::new(LocalStore::new(Arc::clone(&platform)));
    let options = Options { txn_rate, ..Options::default() };
    (platform, GroupCommitter::start(table, clock.clone(), options), clock)
}

#[tokio::test(start_paused = true)]
async fn a_conflict_fails_only_its_own_write() {
    let (platform, committer, _) = start(TxnRate { per_s: 10, burst: 1 });
    for key in ["b", "d"] {
        committer.commit(write_request(key, "before", Urgency::Now)).await;
    }
    let before = platform.counts();
    let keys = ["a", "b", "c", "d", "e"];
    let writes = keys.map(|key| committer.commit(write_request(key, "after", Urgency::Now)));
    let outcomes = futures::future::join_all(writes).await;
    let conflicts: Vec<_> =
        outcomes.iter().map(|outcome| matches!(outcome, CommitOutcome::Conflict(_))).collect();
    assert_eq!(conflicts, [false, true, false, true, false]);
    let counts = platform.counts().since(&before);
    assert_eq!((counts.commits, counts.conflicts, counts.reads), (1, 1, 1));
}

#[tokio::test(start_paused = true)]
async fn writes_share_transactions_when_the_rate_is_used_up() {
    let (platform, committer, clock) = start(TxnRate { per_s: 10, burst: 1 });
    let writes = (0..50).map(|i| {
        let (committer, key) = (Arc::clone(&committer), format!("k{i}"));
        async move {
            tokio::time::sleep(Millis(i * 10).duration()).await;
            committer.commit(write_request(&key, "v", Urgency::Now)).await
        }
    });
    let outcomes = futures::future::join_all(writes).await;
    assert!(outcomes.iter().all(|outcome| matches!(outcome, CommitOutcome::Committed(_))));
    assert!(clock.now() <= Millis(620), "{}", clock.now());
    assert!(platform.counts().commits <= 7, "{:?}", platform.counts());
    committer.stop().await;
}

/// A relay that commits each write and never answers.
struct SilentRelay(Arc<GroupCommitter>);

#[async_trait]
impl Peers for SilentRelay {
    async fn commit(
        &self,
        _: &HostId,
        relayed: msg::RelayedWrite,
        timeout: Millis,
    ) -> Option<CommitOutcome> {
        foxtail_once::relay::commit_for_peer(&*self.0, relayed).await;
        tokio::time::sleep(timeout.duration()).await;
        None
    }
}

#[tokio::test(start_paused = true)]
async fn write_committed_by_a_silent_relay_is_not_repeated() {
    let (platform, committer, clock) = start(TxnRate { per_s: 100, burst: 10 });
    let local = Arc::clone(&committer) as Arc<dyn Commit>;
    let relay = RelayClient::new(Arc::new(SilentRelay(committer)), local, clock);
    relay.set_target(HostId::new("silent").ok());
    let outcome = relay.commit(write_request("a", "token", Urgency::Now)).await;
    assert!(matches!(outcome, CommitOutcome::Committed(_)), "{outcome:?}");
    assert_eq!(platform.counts().commits, 1);
    relay.set_direct_limit(1);
    let direct = relay.commit(write_request("b", "token", Urgency::Now)).await;
    assert!(matches!(direct, CommitOutcome::Committed(_)), "{direct:?}");
}

#[test]
fn host_shares_do_not_exceed_the_budget() {
    let budget = FleetBudget { direct_per_s: 240, relayed_per_s: 110 };
    for (hosts, relays) in [(1, 1), (18, 3), (60, 3), (200, 20)] {
        let relay = budget.host_share(hosts, relays, true).txns_per_s as usize * relays;
        let other = budget.host_share(hosts, relays, false).txns_per_s as usize * (hosts - relays);
        assert!(relay + other <= 350, "{hosts} hosts: {relay} and {other}");
    }
}

#[test]
fn relay_changes_only_when_its_host_leaves() {
    let hosts: Vec<HostId> = (0..20).map(|i| HostId::new(&format!("h{i}")).unwrap()).collect();
    let chosen = choose_relay(&hosts).unwrap();
    let without: Vec<_> = hosts.iter().filter(|host| *host != &hosts[3]).collect();
    if *chosen != hosts[3] {
        assert_eq!(choose_relay(without), Some(chosen));
    }
    assert_eq!(choose_relay(hosts.iter().rev()), Some(chosen));
}
