//! Making ready: a host takes traffic only with the newest configuration and warm connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtail_config::{Snapshot, Upstream};
use foxtail_net::http::body_of;
use foxtail_types::prelude::*;
use foxtail_wire::PeerClient;
use futures::future::join_all;
use http_body_util::BodyExt;
use hyper::Request;
use tokio_util::sync::CancellationToken;

use crate::members;
use crate::state::State;

/// How often readiness is looked at.
const LOOK_EVERY: Millis = Millis(50);
/// The most connections that are warmed ahead of a shift.
const WARMED_AHEAD_MAX: usize = 256;
/// How many hosts are asked for news of crash suspects.
const NEWS_TRIES: usize = 3;
/// The longest one upstream may take to be connected to.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// Waits for the configuration and warms connections, then marks the host warm.
pub(crate) async fn make_ready(state: Arc<State>, stop: CancellationToken) {
    let ready = async {
        let snapshot = newest(&state).await;
        tokio::join!(warm(&state, &snapshot), ask_news(&state));
        state.warm.store(true, Ordering::SeqCst);
        members::refresh(&state, state.clock.now());
        tracing::info!(event = "host_ready", version = %snapshot.version);
    };
    stop.run_until_cancelled(ready).await;
}

/// Warms connections to other regions as soon as a drain is in force that will send requests there,
/// until `stop`.
pub(crate) async fn warm_ahead(state: Arc<State>, stop: CancellationToken) {
    let mut config = state.config.clone();
    let mut drained = 0;
    while let Some(Ok(())) = stop.run_until_cancelled(config.changed()).await {
        let Some(snapshot) = config.borrow_and_update().clone() else { continue };
        let now_drained = near(&state, &snapshot).filter(|it| snapshot.drains_upstream(it)).count();
        if now_drained > drained {
            let far = upstreams(&snapshot).filter(|it| it.region != state.settings.region);
            let open = far.filter(|it| !snapshot.drains_upstream(it));
            let some = open.take(WARMED_AHEAD_MAX);
            let warming = join_all(some.map(|upstream| connect(&state, upstream)));
            stop.run_until_cancelled(warming).await;
            tracing::info!(event = "warmed_ahead", version = %snapshot.version, drained = now_drained);
        }
        drained = now_drained;
    }
}

/// Waits for a configuration that is no older than any that another host holds.
async fn newest(state: &State) -> Arc<Snapshot> {
    let mut ticks = tokio::time::interval(LOOK_EVERY.duration());
    loop {
        ticks.tick().await;
        let Some(snapshot) = state.snapshot() else { continue };
        let view = state.fleet.view.load();
        if view.live().all(|member| member.status.version <= snapshot.version) {
            return snapshot;
        }
    }
}

/// Learns from another host which requests are suspected of crashes.
async fn ask_news(state: &State) {
    let view = state.fleet.view.load_full();
    let others = view.live_in(state.fleet.region()).map(|member| &member.identity.id);
    for host in others.filter(|id| *id != state.fleet.me()).take(NEWS_TRIES) {
        let ask = |client: PeerClient, cx| async move { client.all_news(cx).await };
        match state.fleet.call(host, CONNECT_TIMEOUT, ask).await {
            Ok(news) => return news.iter().for_each(|item| state.watch.receive(item)),
            Err(e) => tracing::info!(event = "news_not_had", from = %host, error = %e),
        }
    }
}

/// Opens a connection to each upstream of the own region.
async fn warm(state: &State, snapshot: &Snapshot) {
    join_all(near(state, snapshot).map(|upstream| connect(state, upstream))).await;
}

fn upstreams(snapshot: &Snapshot) -> impl Iterator<Item = &Upstream> {
    let services = snapshot.workspaces.iter().flat_map(|workspace| &workspace.services);
    services.flat_map(|service| &service.upstreams)
}

/// The upstreams of the own region.
fn near<'a>(state: &'a State, snapshot: &'a Snapshot) -> impl Iterator<Item = &'a Upstream> {
    upstreams(snapshot).filter(|upstream| upstream.region == state.settings.region)
}

async fn connect(state: &State, upstream: &Upstream) {
    let uri = format!("http://{}/-/load", upstream.addr);
    let Ok(req) = Request::get(uri).body(body_of("")) else { return };
    let ask = async {
        let answer = state.upstreams.request(req).await?;
        answer.into_body().collect().await?;
        anyhow::Ok(())
    };
    match tokio::time::timeout(CONNECT_TIMEOUT.duration(), ask).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => {
            tracing::info!(event = "upstream_not_warm", upstream = %upstream.id, error = %e);
        }
        Err(_) => {
            tracing::info!(event = "upstream_not_warm", upstream = %upstream.id, error = "timeout");
        }
    }
}
