use std::net::SocketAddr;

use foxtail_config::{Drain, DrainTarget, Headroom, NetworkParams};
use foxtail_member::Phase;
use foxtail_sync::admin::{Accepted, HistoryEntry, InForce, Input, Planned, Shown};
use foxtail_types::prelude::*;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// What operators can ask of any host. Changes are made in the name of the call's credential.
#[rpc(server, client)]
pub trait Operator {
    /// Plans a change of a workspace without making it.
    #[method(name = "workspace_plan")]
    async fn workspace_plan(&self, input: Input) -> RpcResult<Planned>;

    /// Makes or changes a workspace.
    #[method(name = "workspace_apply", with_extensions)]
    async fn workspace_apply(&self, input: Input, note: String) -> RpcResult<Accepted>;

    /// The input in force of a workspace.
    #[method(name = "workspace_show")]
    async fn workspace_show(&self, workspace: WorkspaceId) -> RpcResult<Input>;

    /// The versions of a workspace, the newest first.
    #[method(name = "workspace_history")]
    async fn workspace_history(&self, workspace: WorkspaceId) -> RpcResult<Vec<HistoryEntry>>;

    /// Makes the input of a former version the newest one.
    #[method(name = "workspace_rollback", with_extensions)]
    async fn workspace_rollback(
        &self,
        workspace: WorkspaceId,
        to: Version,
        base: Version,
    ) -> RpcResult<Accepted>;

    /// The network, the drains and the workspaces' versions.
    #[method(name = "show")]
    async fn show(&self) -> RpcResult<Shown>;

    /// Plans a change of the network without making it.
    #[method(name = "network_plan")]
    async fn network_plan(&self, params: NetworkParams) -> RpcResult<Planned>;

    /// Sets the network, on top of the one that was set at version `base`.
    #[method(name = "network_apply", with_extensions)]
    async fn network_apply(&self, params: NetworkParams, base: Version) -> RpcResult<Accepted>;

    /// Plans a drain without starting it.
    #[method(name = "drain_plan")]
    async fn drain_plan(&self, target: DrainTarget) -> RpcResult<Planned>;

    /// Starts a drain.
    #[method(name = "drain_start", with_extensions)]
    async fn drain_start(&self, target: DrainTarget) -> RpcResult<Accepted>;

    /// Stops a drain.
    #[method(name = "drain_stop", with_extensions)]
    async fn drain_stop(&self, target: DrainTarget) -> RpcResult<Accepted>;

    /// The drains under way, as this host sees them.
    #[method(name = "drain_status")]
    async fn drain_status(&self) -> RpcResult<Vec<DrainStatus>>;

    /// Where a version is in force.
    #[method(name = "in_force")]
    async fn in_force(&self, version: Version) -> RpcResult<InForce>;

    /// The state of the site.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// The last decisions of this host on a request or a workspace, the newest first.
    #[method(name = "explain")]
    async fn explain(&self, asked: Asked) -> RpcResult<Vec<Explained>>;
}

/// The state of the site as one host knows it.
#[value]
pub struct Status {
    /// The host that answers.
    pub host: HostId,
    /// Whether it takes traffic.
    pub ready: bool,
    /// The newest version that it holds.
    pub version: Version,
    /// Whether raised limits of that version are in use.
    pub limits_raised: bool,
    /// Every host known.
    pub hosts: Vec<HostLine>,
    /// Headroom under the expected load; `None` while the platform's store can't be read.
    pub headroom: Option<Headroom>,
}

/// One host in a status.
#[value]
pub struct HostLine {
    /// The host.
    pub id: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where operators reach it.
    pub operator: SocketAddr,
    /// How far it is in its life.
    pub phase: Phase,
    /// Nobody has heard from it lately.
    pub silent: bool,
    /// The version it holds.
    pub version: Version,
    /// Requests in flight as a share of what it can carry, in thousandths.
    pub busy_permille: u16,
}

/// A drain under way.
#[value]
pub struct DrainStatus {
    /// The drain.
    pub drain: Drain,
    /// Requests that the answering host still has at what is drained.
    pub in_flight: u32,
}

/// What is to be explained.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Asked {
    /// One request, by the identifier in its answer's `x-foxtail-request` header.
    Request(RequestId),
    /// The last decisions for a workspace.
    Workspace(WorkspaceId),
}

/// A decision, and who made it.
#[value]
pub struct Explained {
    /// The host that decided.
    pub host: HostId,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// A routing or placement decision, or an outcome without an answer.
#[value]
pub struct Decision {
    /// When, since the Unix epoch.
    pub at: Millis,
    /// What was decided: `place`, `route` or `outcome`.
    pub kind: String,
    /// The request.
    pub request: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// The candidates considered, each with its verdict.
    pub candidates: String,
    /// The choice.
    pub chosen: String,
    /// The reason.
    pub reason: String,
}
