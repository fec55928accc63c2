//! Answers operators' questions over JSON-RPC.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anyhow::Context;
use async_trait::async_trait;
use foxtail_operator::{OperatorServer, Status};
use foxtail_types::prelude::*;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{BatchRequestConfig, Server, ServerConfig, ServerHandle};
use tokio::net::TcpListener;

use crate::cx::Cx;
use crate::ports::Area;

/// The most connections of operators at a time: a handful of people and their scripts.
const CONNECTIONS_MOST: u32 = 16;

/// The largest question, in bytes.
const QUESTION_MOST: u32 = 16 * 1024;

/// The longest that stopping may take.
const STOP_MOST: Millis = Millis(200);

struct Answers {
    cx: Arc<Cx>,
}

#[async_trait]
impl OperatorServer for Answers {
    async fn status(&self) -> RpcResult<Status> {
        let cx = &self.cx;
        let now = cx.now();
        let (version, evacuated, upstreams) = {
            let steering = cx.steering.lock();
            let version = steering.config().map(|cfg| cfg.version);
            (version, steering.evacuated_zones().cloned().collect(), steering.upstream_count())
        };
        let store_versions = (cx.version(Area::Operators), cx.version(Area::Upstreams));
        let fleet = cx.fleet.lock();
        Ok(Status {
            host: fleet.own_record().id.clone(),
            zone: fleet.own_record().zone.clone(),
            phase: fleet.phase(),
            version,
            evacuated,
            hosts_alive: fleet.alive_count(now),
            upstreams,
            requests: cx.requests.load(Ordering::Relaxed),
            reads_store: fleet.is_reader(now),
            store_lost: fleet.store_lost(),
            store_versions,
        })
    }
}

/// Answers operators on `listener`.
///
/// # Errors
///
/// If the listener can't be handed over.
pub(crate) fn serve(cx: &Arc<Cx>, listener: TcpListener) -> anyhow::Result<ServerHandle> {
    let cfg = ServerConfig::builder()
        .http_only()
        .max_connections(CONNECTIONS_MOST)
        .max_request_body_size(QUESTION_MOST)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    let listener = listener.into_std().context("no listener for operators")?;
    let server = Server::builder().set_config(cfg).build_from_tcp(listener);
    let server = server.context("no server for operators")?;
    Ok(server.start(Answers { cx: Arc::clone(cx) }.into_rpc()))
}

/// Ends what [`serve`] began.
pub(crate) async fn stop(server: ServerHandle) {
    // It fails only if the server has ended before.
    let _ = server.stop();
    if tokio::time::timeout(STOP_MOST.duration(), server.stopped()).await.is_err() {
        tracing::info!(event = "operators_left");
    }
}
