//! At-most-once execution put together: claims, group commit and the relay between hosts.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_once::collect;
use foxtail_once::commit::{self, Done};
use foxtail_once::relay::{self, msg::Relayed};
use foxtail_once::{Claims, Collector, Group, Relay, claims};
use foxtail_platform::{Objects, Table};
use foxtail_types::prelude::*;
use foxtail_wire::PeerClient;
use tokio_util::sync::CancellationToken;

use crate::fleet::Fleet;

/// How long the last records may take at a stop.
const STOP_WAIT: Millis = Millis::secs(10);
/// How often the relay is chosen anew.
const CHOOSE_EVERY: Millis = Millis::secs(1);

/// At-most-once execution at this host.
pub(crate) struct Keys {
    pub(crate) claims: Arc<Claims>,
    group: Arc<Group>,
    relay: Arc<Relay>,
    collector: Collector,
}

/// Sends writes to the host that gathers them.
struct RelayPeers(Arc<Fleet>);

impl Keys {
    pub(crate) fn start(
        fleet: &Arc<Fleet>,
        table: &Arc<dyn Table>,
        objects: &Arc<dyn Objects>,
        clock: &Arc<dyn Clock>,
    ) -> Self {
        let group = Group::start(Arc::clone(table), Arc::clone(clock), commit::Options::default());
        let own = Arc::clone(&group) as Arc<dyn foxtail_once::Commit>;
        let relay = Relay::new(Arc::new(RelayPeers(Arc::clone(fleet))), own);
        let ports = claims::Ports {
            clock: Arc::clone(clock),
            table: Arc::clone(table),
            objects: Arc::clone(objects),
            commit: Arc::clone(&relay) as Arc<dyn foxtail_once::Commit>,
        };
        let claims = Claims::start(fleet.me().clone(), ports, claims::Options::default());
        let options = collect::Options::default();
        let collector = Collector::new(Arc::clone(table), Arc::clone(clock), options);
        Self { claims, group, relay, collector }
    }

    /// Commits a peer's write.
    pub(crate) async fn commit(&self, relayed: Relayed) -> Done {
        relay::serve(self.group.as_ref(), relayed).await
    }

    /// Collects old rows and follows the live hosts until `stop`.
    pub(crate) async fn run(&self, fleet: &Fleet, stop: CancellationToken) {
        tokio::join!(self.collector.run(stop.clone()), self.choose(fleet, stop.clone()));
    }

    /// Writes the last records.
    pub(crate) async fn stop(&self) {
        self.claims.stop(STOP_WAIT).await;
        self.group.stop().await;
    }

    async fn choose(&self, fleet: &Fleet, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(CHOOSE_EVERY.duration());
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            let view = fleet.view.load();
            let near = view.live_in(fleet.region()).filter(|member| member.is_serving());
            let chosen = relay::choose(near.map(|member| &member.identity.id));
            self.relay.set_target(chosen.filter(|host| *host != fleet.me()).cloned());
        }
    }
}

#[async_trait]
impl relay::Peers for RelayPeers {
    async fn commit(&self, to: &HostId, relayed: Relayed, timeout: Millis) -> Option<Done> {
        let call = |client: PeerClient, cx| async move { client.commit(cx, relayed).await };
        self.0.call(to, timeout, call).await.ok()
    }
}
