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
    let services = snapshot.workspaces.iter().flat_map(|workspace| &workspace.services);
    let near = services.flat_map(|service| service.upstreams_in(&state.settings.region));
    join_all(near.map(|upstream| connect(state, upstream))).await;
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
