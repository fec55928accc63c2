//! What this host answers operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use foxtail_config::stage::Reach;
use foxtail_config::{Drain, DrainTarget, Snapshot, Upstream};
use foxtail_member::view::Member;
use foxtail_platform::Table;
use foxtail_sync::Admin;
use foxtail_wire::operator::{
    self, Asked, Credential, Credentials, DrainStatus, Explained, HostLine, Live, Service, Status,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::decisions::Decision;
use crate::state::State;

/// How many decisions are told at most.
const EXPLAINED_MAX: usize = 50;

/// Serves operators on `listener` until `stop`.
pub(crate) async fn serve(
    state: Arc<State>,
    table: Arc<dyn Table>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let roster = Arc::clone(&state.fleet) as Arc<dyn foxtail_sync::Roster>;
    let (clock, spread) = (Arc::clone(&state.clock), Arc::clone(&state.spread));
    let admin = Arc::new(Admin::new(table, clock, roster, spread));
    let known = state
        .settings
        .operators
        .iter()
        .map(|known| Credential { name: known.name.clone(), token: known.token.clone() });
    let credentials = Credentials::new(&known.collect::<Vec<_>>());
    let live = Arc::new(LiveHost { state, admin: Arc::clone(&admin) });
    let service = Service::new(admin, live);
    operator::serve(listener, service, credentials, operator::Options::default(), stop).await;
}

struct LiveHost {
    state: Arc<State>,
    admin: Arc<Admin>,
}

#[async_trait]
impl Live for LiveHost {
    async fn status(&self) -> Status {
        let (version, reach) = self.state.spread.reach();
        let view = self.state.fleet.view.load_full();
        Status {
            host: self.state.settings.host.clone(),
            ready: self.state.warm.load(Ordering::SeqCst),
            version,
            limits_raised: reach > Reach::Seen,
            hosts: view.hosts.iter().map(line).collect(),
            headroom: self.admin.headroom().await.ok(),
        }
    }

    async fn drains(&self) -> Vec<DrainStatus> {
        let Some(snapshot) = self.state.spread.target() else { return Vec::new() };
        let status = |drain: &Drain| DrainStatus {
            drain: drain.clone(),
            in_flight: self.in_flight(&snapshot, &drain.target),
        };
        snapshot.drains.iter().map(status).collect()
    }

    async fn explain(&self, asked: &Asked) -> Vec<Explained> {
        let wanted = |decision: &Decision| match asked {
            Asked::Request(id) => decision.request == *id,
            Asked::Workspace(id) => decision.workspace == *id,
        };
        let decisions = self.state.decisions.last(EXPLAINED_MAX, wanted);
        decisions.into_iter().map(|decision| explained(&self.state, decision)).collect()
    }
}

impl LiveHost {
    /// Requests that this host has at what is drained.
    fn in_flight(&self, snapshot: &Snapshot, target: &DrainTarget) -> u32 {
        if let DrainTarget::Host(id) = target {
            let own = *id == self.state.settings.host;
            return if own { self.state.in_flight.load(Ordering::SeqCst) } else { 0 };
        }
        let drained = |upstream: &&Upstream| match target {
            DrainTarget::Upstream(id) => upstream.id == *id,
            DrainTarget::Zone(id) => upstream.zone == *id,
            DrainTarget::Region(id) => upstream.region == *id,
            DrainTarget::Host(_) => false,
        };
        let services = snapshot.workspaces.iter().flat_map(|workspace| &workspace.services);
        let upstreams = services.flat_map(|service| &service.upstreams).filter(drained);
        upstreams.map(|upstream| self.state.in_use.count(&upstream.id)).sum()
    }
}

fn line(member: &Member) -> HostLine {
    HostLine {
        id: member.identity.id.clone(),
        zone: member.identity.zone.clone(),
        operator: member.identity.operator,
        phase: member.status.phase,
        silent: member.suspect,
        version: member.status.version,
        busy_permille: member.status.busy_permille,
    }
}

fn explained(state: &State, decision: Decision) -> Explained {
    Explained { host: state.settings.host.clone(), decision }
}
