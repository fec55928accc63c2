//! Serves the host's status to operators over JSON-RPC.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anyhow::Context;
use async_trait::async_trait;
use foxtail_operator::{OperatorServer, Status};
use foxtail_types::prelude::*;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{BatchRequestConfig, Server, ServerConfig, ServerHandle};
use tokio::net::TcpListener;

use crate::context::HostContext;
use crate::ports::Area;

/// The maximum number of simultaneous connections: a handful of people and their scripts.
const MAX_CONNECTIONS: u32 = 16;

/// The maximum size of a request body, in bytes.
const MAX_REQUEST_BYTES: u32 = 16 * 1024;

/// How long the server may take to stop.
const STOP_TIMEOUT: Millis = Millis(200);

struct OperatorHandler {
    cx: Arc<HostContext>,
}

#[async_trait]
impl OperatorServer for OperatorHandler {
    async fn status(&self) -> RpcResult<Status> {
        let cx = &self.cx;
        let now = cx.now();
        let (version, evacuated, upstreams) = {
            let steering = cx.steering.lock();
            let version = steering.config().map(|cfg| cfg.version);
            (version, steering.evacuated_zones().cloned().collect(), steering.upstream_count())
        };
        let store_versions = (cx.known_version(Area::Operators), cx.known_version(Area::Upstreams));
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

/// Starts the operators' server on `listener`.
///
/// # Errors
///
/// Returns an error if the server can't take over the listener.
pub(crate) fn serve(cx: &Arc<HostContext>, listener: TcpListener) -> anyhow::Result<ServerHandle> {
    let cfg = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    let listener = listener.into_std().context("can't convert the operators' listener")?;
    let server = Server::builder().set_config(cfg).build_from_tcp(listener);
    let server = server.context("can't start the operators' server")?;
    Ok(server.start(OperatorHandler { cx: Arc::clone(cx) }.into_rpc()))
}

/// Stops a server started by [`serve`].
pub(crate) async fn stop(server: ServerHandle) {
    // It fails only if the server has already stopped.
    let _ = server.stop();
    if tokio::time::timeout(STOP_TIMEOUT.duration(), server.stopped()).await.is_err() {
        tracing::info!(event = "operators_left");
    }
}
