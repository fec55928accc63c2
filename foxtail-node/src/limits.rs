//! Limits at a live host: follows configuration and membership, and carries messages.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_config::{Network, Snapshot};
use foxtail_limit::msg::{Reply, Request};
use foxtail_limit::owner::MostFree;
use foxtail_limit::{Me, Peers, SharedLimiter, Unreachable};
use foxtail_member::msg::Phase;
use foxtail_member::{Member, View};
use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;
use foxtail_wire::PeerClient;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::fleet::Fleet;
use crate::settings::Settings;
use crate::state::State;

/// How often the hosts known to the limiter are brought up to date.
const FOLLOW_EVERY: Millis = Millis(100);
/// How often headroom is shown in the metrics.
const SHOW_EVERY: Millis = Millis::secs(1);

/// Carries messages about limits.
struct LimitPeers(Arc<Fleet>);

#[async_trait]
impl Peers for LimitPeers {
    async fn call(&self, to: &HostId, req: Request, timeout: Millis) -> Result<Reply, Unreachable> {
        let call = |client: PeerClient, cx| async move { client.limit(cx, req).await };
        let called = self.0.call(to, timeout, call).await;
        called.map_err(|why| Unreachable { host: to.clone(), why })
    }
}

/// The limiter of this host. It owns nothing and knows no pool before the first configuration.
pub(crate) fn limiter(
    settings: &Settings,
    fleet: &Arc<Fleet>,
    clock: &Arc<dyn Clock>,
) -> Arc<SharedLimiter> {
    let me = Me {
        host: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let peers = Arc::new(LimitPeers(Arc::clone(fleet)));
    SharedLimiter::new(me, Arc::clone(clock), peers, Arc::new(MostFree), Arc::new(nothing()))
}

/// Tells the limiter of new configurations and of hosts that come and go, until `stop`.
pub(crate) async fn follow(
    limiter: Arc<SharedLimiter>,
    fleet: Arc<Fleet>,
    mut config: watch::Receiver<Option<Arc<Snapshot>>>,
    stop: CancellationToken,
) {
    let mut ticks = tokio::time::interval(FOLLOW_EVERY.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known = (Vec::new(), Vec::new());
    config.mark_changed();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            Ok(()) = config.changed() => {
                let snapshot = config.borrow_and_update().clone();
                if let Some(snapshot) = snapshot {
                    limiter.configure(&snapshot);
                }
            }
            _ = ticks.tick() => {
                let hosts = hosts(&fleet.view.load());
                if hosts != known {
                    let (entries, suspects) = &hosts;
                    limiter.set_hosts(entries, suspects);
                    known = hosts;
                }
            }
        }
    }
}

/// Shows the free share of each pool and link that this host owns, until `stop`.
pub(crate) async fn show(state: Arc<State>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(SHOW_EVERY.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let hosted = state.owners.hosted();
        for shard in hosted.shards() {
            hosted.with(&shard, |owner, now| {
                for (pool, usage) in owner.usage(now) {
                    let free = usage.slots.saturating_sub(usage.used + usage.withheld);
                    let share = f64::from(free) / f64::from(usage.slots.max(1));
                    state.metrics.headroom("pool", &pool.to_string(), share);
                }
                for (link, share) in owner.links(now) {
                    state.metrics.headroom("link", &link.to_string(), share);
                }
            });
        }
    }
}

/// All hosts that the platform lists, and those of them that own nothing new.
fn hosts(view: &View) -> (Vec<HostEntry>, Vec<HostId>) {
    let suspects = view.hosts.iter().filter(|member| !member.is_live());
    let suspects = suspects.map(|member| member.identity.id.clone()).collect();
    (view.hosts.iter().map(entry).collect(), suspects)
}

/// A host counts as leaving by its own word alone: the platform's may not have reached it yet.
fn entry(member: &Member) -> HostEntry {
    let retired = member.status.phase == Phase::Leaving;
    let identity = member.identity.clone();
    HostEntry {
        id: identity.id,
        incarnation: identity.incarnation,
        region: identity.region,
        zone: identity.zone,
        caller: identity.caller,
        peer: identity.peer,
        operator: identity.operator,
        state: if retired { HostState::Leaving } else { HostState::Live },
    }
}

/// The configuration of a host that has none yet.
fn nothing() -> Snapshot {
    let network =
        Network { regions: Vec::new(), links: Vec::new(), owner_shards: 0, blocks: Vec::new() };
    Snapshot {
        version: Version::default(),
        network: Arc::new(network),
        workspaces: Vec::new(),
        drains: Vec::new(),
    }
}
