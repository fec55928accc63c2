//! The fleet as this host knows it, and messages to its hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use foxtail_member::{Identity, Members, View, relay};
use foxtail_retry::msg::{Ask, Done, Leave, News};
use foxtail_retry::watch;
use foxtail_sync::msg as config;
use foxtail_types::prelude::*;
use foxtail_wire::{PeerClient, Peers};
use futures::future::join_all;
use parking_lot::Mutex;
use tokio_util::task::TaskTracker;

/// The longest a message may take whose loss is made up for elsewhere.
const NOTE_TIMEOUT: Millis = Millis(1_000);
/// How often the end of an attempt is told before it is given up.
const DONE_TRIES: usize = 3;

/// The fleet as this host knows it, and messages to its hosts.
pub(crate) struct Fleet {
    pub(crate) members: Mutex<Members>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) peers: Peers,
    /// Messages on their way that nobody waits for.
    pub(crate) sending: TaskTracker,
    own: Identity,
}

impl Fleet {
    pub(crate) fn new(own: Identity, peers: Peers, now: Millis) -> Arc<Self> {
        let members = Members::new(own.clone(), now);
        let view = ArcSwap::from_pointee(members.view(now));
        let sending = TaskTracker::new();
        Arc::new(Self { members: Mutex::new(members), view, peers, sending, own })
    }

    /// This host.
    pub(crate) fn me(&self) -> &HostId {
        &self.own.id
    }

    /// This host's region.
    pub(crate) fn region(&self) -> &RegionId {
        &self.own.region
    }

    /// The address of `host` for other hosts.
    pub(crate) fn addr(&self, host: &HostId) -> Option<SocketAddr> {
        self.view.load().get(host).map(|member| member.identity.peer)
    }

    /// Makes one call to `host`; `None` if it is unknown or did not answer.
    pub(crate) async fn call<F, R>(
        &self,
        host: &HostId,
        timeout: Millis,
        call: impl FnOnce(PeerClient, tarpc::context::Context) -> F,
    ) -> Result<R, String>
    where
        F: Future<Output = Result<R, tarpc::client::RpcError>>,
    {
        let addr = self.addr(host).ok_or_else(|| format!("host {host} is unknown"))?;
        self.peers.call(addr, timeout, call).await.map_err(|e| e.to_string())
    }

    /// Passes news on to every live host of the own zone.
    pub(crate) async fn news_in_zone(&self, news: &[News]) {
        let view = self.view.load_full();
        let zone = view.live().filter(|member| member.identity.zone == self.own.zone);
        let others = zone.filter(|member| member.identity.id != self.own.id);
        join_all(others.map(|member| self.send_news(&member.identity.id, news, false))).await;
    }

    /// Sends news to every zone: to a relay there, which passes it on.
    async fn news_everywhere(&self, news: &[News]) {
        let view = self.view.load_full();
        let mut zones: Vec<_> = view.live().map(|member| &member.identity.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        join_all(zones.into_iter().map(|zone| self.news_to_zone(&view, zone, news))).await;
    }

    async fn news_to_zone(&self, view: &View, zone: &ZoneId, news: &[News]) {
        if *zone == self.own.zone {
            return self.news_in_zone(news).await;
        }
        let hosts = view.live().filter(|member| member.identity.zone == *zone);
        for relay in relay::relays(zone, hosts.map(|member| &member.identity.id)) {
            if self.send_news(relay, news, true).await {
                return;
            }
        }
    }

    async fn send_news(&self, to: &HostId, news: &[News], forward: bool) -> bool {
        let news = news.to_vec();
        let call = |client: PeerClient, cx| async move { client.news(cx, news, forward).await };
        let sent = self.call(to, NOTE_TIMEOUT, call).await;
        if let Err(e) = &sent {
            tracing::info!(event = "news_not_sent", %to, error = %e);
        }
        sent.is_ok()
    }
}

impl foxtail_sync::Roster for Fleet {
    fn view(&self) -> Arc<View> {
        self.view.load_full()
    }
}

#[async_trait]
impl foxtail_sync::Peers for Fleet {
    async fn ask(
        &self,
        to: &HostId,
        ask: config::Ask,
        timeout: Millis,
    ) -> Result<config::Answer, foxtail_sync::peers::Error> {
        let call = |client: PeerClient, cx| async move { client.config(cx, ask).await };
        let asked = self.call(to, timeout, call).await;
        asked.map_err(|reason| foxtail_sync::peers::Error { host: to.clone(), reason })
    }
}

/// The port of the watch over crashing requests. It is an own type because it outlives borrows.
pub(crate) struct WatchPeers(pub(crate) Arc<Fleet>);

#[async_trait]
impl watch::Peers for WatchPeers {
    async fn ask(
        &self,
        host: &HostId,
        ask: Ask,
        timeout: Millis,
    ) -> Result<Leave, watch::Unreachable> {
        let call = |client: PeerClient, cx| async move { client.guard(cx, ask).await };
        self.0.call(host, timeout, call).await.map_err(|_| watch::Unreachable)
    }

    async fn done(&self, host: &HostId, done: Done) {
        for _ in 0..DONE_TRIES {
            let call = |client: PeerClient, cx| async move { client.done(cx, done).await };
            if self.0.call(host, NOTE_TIMEOUT, call).await.is_ok() {
                return;
            }
        }
    }

    fn spread(&self, news: News) {
        let fleet = Arc::clone(&self.0);
        self.0.sending.spawn(async move { fleet.news_everywhere(&[news]).await });
    }
}
