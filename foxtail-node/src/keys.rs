//! At-most-once execution put together: claims, group commit and the relay between hosts.

use std::collections::BTreeSet;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_member::View;
use foxtail_once::collect;
use foxtail_once::commit::{self, Done};
use foxtail_once::relay::{self, msg::Relayed};
use foxtail_once::{Claims, Collector, Group, Relay, claims};
use foxtail_platform::guard::{self, Guard, Rate};
use foxtail_platform::{Objects, Table};
use foxtail_types::prelude::*;
use foxtail_wire::PeerClient;
use tokio_util::sync::CancellationToken;

use crate::fleet::Fleet;

/// How long the last records may take at a stop.
const STOP_WAIT: Millis = Millis::secs(10);
/// How often the live hosts are looked at.
const FOLLOW_EVERY: Millis = Millis::secs(1);
/// Transactions a second of all hosts together for everything but claims.
const OTHER_WRITES_PER_S: u32 = 100;
/// The least that a host may write, in transactions a second.
const WRITES_MIN_PER_S: u32 = 2;
/// Reads a second of all hosts together.
const READS_PER_S: u32 = 1_600;
/// The least that a host may read, in reads a second.
const READS_MIN_PER_S: u32 = 4;

/// At-most-once execution at this host.
pub(crate) struct Keys {
    pub(crate) claims: Arc<Claims>,
    group: Arc<Group>,
    relay: Arc<Relay>,
    collector: Collector,
    guard: Arc<Guard>,
    store_region: Option<RegionId>,
}

/// Sends writes to the host that gathers them.
struct RelayPeers(Arc<Fleet>);

impl Keys {
    pub(crate) fn start(
        fleet: &Arc<Fleet>,
        guard: &Arc<Guard>,
        objects: &Arc<dyn Objects>,
        clock: &Arc<dyn Clock>,
        store_region: Option<RegionId>,
    ) -> Self {
        let table = &(Arc::clone(guard) as Arc<dyn Table>);
        let group = Group::start(Arc::clone(table), Arc::clone(clock), commit::Options::default());
        let own = Arc::clone(&group) as Arc<dyn foxtail_once::Commit>;
        let relay = Relay::new(Arc::new(RelayPeers(Arc::clone(fleet))), own, Arc::clone(clock));
        let ports = claims::Ports {
            clock: Arc::clone(clock),
            table: Arc::clone(table),
            objects: Arc::clone(objects),
            commit: Arc::clone(&relay) as Arc<dyn foxtail_once::Commit>,
        };
        let claims = Claims::start(fleet.me().clone(), ports, claims::Options::default());
        let options = collect::Options::default();
        let collector = Collector::new(Arc::clone(table), Arc::clone(clock), options);
        Self { claims, group, relay, collector, guard: Arc::clone(guard), store_region }
    }

    /// Commits a peer's write.
    pub(crate) async fn commit(&self, relayed: Relayed) -> Done {
        relay::serve(self.group.as_ref(), relayed).await
    }

    /// Collects old rows and follows the live hosts until `stop`.
    pub(crate) async fn run(&self, fleet: &Fleet, stop: CancellationToken) {
        tokio::join!(self.collector.run(stop.clone()), self.follow(fleet, stop.clone()));
    }

    /// Writes the last records.
    pub(crate) async fn stop(&self) {
        self.claims.stop(STOP_WAIT).await;
        self.group.stop().await;
    }

    /// Follows the live hosts: who gathers writes, and each host's share of the store.
    async fn follow(&self, fleet: &Fleet, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(FOLLOW_EVERY.duration());
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            let view = fleet.view.load();
            let chosen = self.gatherer(&view, fleet.region());
            let gathers = chosen == Some(fleet.me());
            self.share(&view, gathers);
            self.relay.set_target(chosen.filter(|_| !gathers).cloned());
        }
    }

    /// The host that gathers writes: one near the store, or else one of this region.
    fn gatherer<'a>(&'a self, view: &'a View, own: &'a RegionId) -> Option<&'a HostId> {
        let serving = |region| {
            let members = view.live_in(region).filter(|member| member.is_serving());
            relay::choose(members.map(|member| &member.identity.id))
        };
        self.store_region.as_ref().and_then(serving).or_else(|| serving(own))
    }

    /// Takes this host's share of the store: the hosts that gather writes have most of it.
    fn share(&self, view: &View, gathers: bool) {
        let hosts = view.live().count().max(1);
        let regions: BTreeSet<_> = view.live().map(|member| &member.identity.region).collect();
        let relays = if self.store_region.is_some() { 1 } else { regions.len() };
        let part = relay::Budget::default().part(hosts, relays, gathers);
        self.relay.set_direct(part.direct_per_s);
        self.group.set_pace(part.pace());
        self.guard.set_share(share(hosts as u32, part.pace_per_s));
    }
}

/// What one of `hosts` may ask of the store, with `claims_per_s` transactions of claims.
fn share(hosts: u32, claims_per_s: u32) -> guard::Options {
    let writes = (OTHER_WRITES_PER_S / hosts).max(WRITES_MIN_PER_S) + claims_per_s;
    let reads = (READS_PER_S / hosts).max(READS_MIN_PER_S);
    guard::Options {
        writes: Rate { per_s: writes, burst: writes },
        reads: Rate { per_s: reads, burst: reads },
    }
}

#[async_trait]
impl relay::Peers for RelayPeers {
    async fn commit(&self, to: &HostId, relayed: Relayed, timeout: Millis) -> Option<Done> {
        let call = |client: PeerClient, cx| async move { client.commit(cx, relayed).await };
        self.0.call(to, timeout, call).await.ok()
    }
}
