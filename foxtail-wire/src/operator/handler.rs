use std::sync::Arc;

use async_trait::async_trait;
use foxtail_config::{DrainTarget, NetworkParams};
use foxtail_sync::Admin;
use foxtail_sync::admin::{Accepted, Error, HistoryEntry, InForce, Input, Planned, Shown};
use foxtail_types::prelude::*;
use jsonrpsee::Extensions;
use jsonrpsee::core::RpcResult;

use super::api::{Asked, DrainStatus, Explained, OperatorServer, Status};
use super::auth::Operator;
use super::errors::to_rpc;

/// What only the live host knows.
#[async_trait]
pub trait Live: Send + Sync {
    /// The state of the site.
    async fn status(&self) -> Status;
    /// The drains under way.
    async fn drains(&self) -> Vec<DrainStatus>;
    /// The last decisions on what is asked, the newest first.
    async fn explain(&self, asked: &Asked) -> Vec<Explained>;
}

/// Answers operators.
pub struct Service {
    admin: Arc<Admin>,
    live: Arc<dyn Live>,
}

impl Service {
    /// Changes go to `admin`, questions about the live host to `live`.
    pub fn new(admin: Arc<Admin>, live: Arc<dyn Live>) -> Self {
        Self { admin, live }
    }
}

#[async_trait]
impl OperatorServer for Service {
    async fn workspace_plan(&self, input: Input) -> RpcResult<Planned> {
        answer(self.admin.workspace_plan(&input).await)
    }

    async fn workspace_apply(
        &self,
        cx: &Extensions,
        input: Input,
        note: String,
    ) -> RpcResult<Accepted> {
        answer(self.admin.workspace_apply(name(cx), &input, &note).await)
    }

    async fn workspace_show(&self, workspace: WorkspaceId) -> RpcResult<Input> {
        answer(self.admin.workspace_show(&workspace).await)
    }

    async fn workspace_history(&self, workspace: WorkspaceId) -> RpcResult<Vec<HistoryEntry>> {
        answer(self.admin.workspace_history(&workspace).await)
    }

    async fn workspace_rollback(
        &self,
        cx: &Extensions,
        workspace: WorkspaceId,
        to: Version,
        base: Version,
    ) -> RpcResult<Accepted> {
        answer(self.admin.workspace_rollback(name(cx), &workspace, to, base).await)
    }

    async fn show(&self) -> RpcResult<Shown> {
        answer(self.admin.show().await)
    }

    async fn network_plan(&self, params: NetworkParams) -> RpcResult<Planned> {
        answer(self.admin.network_plan(&params).await)
    }

    async fn network_apply(
        &self,
        cx: &Extensions,
        params: NetworkParams,
        base: Version,
    ) -> RpcResult<Accepted> {
        answer(self.admin.network_apply(name(cx), &params, base).await)
    }

    async fn drain_plan(&self, target: DrainTarget) -> RpcResult<Planned> {
        answer(self.admin.drain_plan(&target).await)
    }

    async fn drain_start(&self, cx: &Extensions, target: DrainTarget) -> RpcResult<Accepted> {
        answer(self.admin.drain_start(name(cx), &target).await)
    }

    async fn drain_stop(&self, cx: &Extensions, target: DrainTarget) -> RpcResult<Accepted> {
        answer(self.admin.drain_stop(name(cx), &target).await)
    }

    async fn drain_status(&self) -> RpcResult<Vec<DrainStatus>> {
        Ok(self.live.drains().await)
    }

    async fn in_force(&self, version: Version) -> RpcResult<InForce> {
        Ok(self.admin.in_force(version))
    }

    async fn status(&self) -> RpcResult<Status> {
        Ok(self.live.status().await)
    }

    async fn explain(&self, asked: Asked) -> RpcResult<Vec<Explained>> {
        Ok(self.live.explain(&asked).await)
    }
}

fn answer<T>(result: Result<T, Error>) -> RpcResult<T> {
    result.map_err(|e| to_rpc(&e))
}

/// The operator's name, put there when the credential was checked.
fn name(cx: &Extensions) -> &str {
    let operator = cx.get::<Operator>();
    &operator.expect("no call gets here without a credential").0
}
