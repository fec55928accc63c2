//! The life of a request at its entry host, from the head of the request to its outcome.

mod attempts;
mod call;
mod collect;
mod once;
pub(crate) mod reply;
mod routing;
mod run;
mod tries;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use foxtail_net::http::Body;
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::sync::OwnedSemaphorePermit;

use crate::decisions::Decision;
use crate::state::State;
use call::Call;
use reply::Refused;

pub(crate) use run::Run;

/// When a caller turned away for want of capacity should come back.
pub(crate) const RETRY_AFTER: Millis = Millis(1_000);

/// Where an attempt goes.
pub(crate) struct Target {
    pub(crate) upstream: UpstreamId,
    pub(crate) addr: SocketAddr,
}

/// What a request holds until its end: its place among those in flight, and its memory.
pub(crate) type Held = (InFlight, OwnedSemaphorePermit);

/// One request counted as in flight.
pub(crate) struct InFlight(Arc<State>);

impl InFlight {
    /// Counts a request, unless the host carries all it can.
    fn enter(state: &Arc<State>) -> Result<Self, Refused> {
        let before = state.in_flight.fetch_add(1, Ordering::SeqCst);
        let entered = Self(Arc::clone(state));
        match before < state.settings.in_flight_max {
            true => Ok(entered),
            false => Err(Refused::not_run(Reason::Overloaded, RETRY_AFTER)),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves one request of a caller. Every request ends in an answer or an outcome.
pub(crate) async fn serve(
    state: Arc<State>,
    from: IpAddr,
    req: Request<Incoming>,
) -> Response<Body> {
    let started = Instant::now();
    let id = RequestId::fresh();
    let (parts, body) = req.into_parts();
    let mut service = None;
    let served = match InFlight::enter(&state) {
        Ok(in_flight) => run(&state, (id, from), parts, body, &mut service, in_flight).await,
        Err(refused) => Err(refused),
    };
    let (outcome, answer) = match served {
        Ok(answer) => ("answered", reply::answered(answer, id)),
        Err(refused) => {
            record(&state, id, service.as_ref(), &refused);
            (refused.name(), reply::refused(&refused, id))
        }
    };
    if let Some((_, service)) = &service {
        state.metrics.request(service, outcome, started.elapsed());
    }
    answer
}

async fn run(
    state: &Arc<State>,
    (id, from): (RequestId, IpAddr),
    parts: hyper::http::request::Parts,
    body: Incoming,
    service: &mut Option<(WorkspaceId, ServiceId)>,
    in_flight: InFlight,
) -> Result<Response<Body>, Refused> {
    let snapshot =
        state.snapshot().ok_or_else(|| Refused::not_run(Reason::NotReady, RETRY_AFTER))?;
    let call = Call::parse(&snapshot, &parts, (id, from), state.clock.now())?;
    *service = Some((call.meta.workspace.clone(), call.meta.service.clone()));
    let (outgoing, permit) = call::outgoing(state, &call, parts, body).await?;
    let held = (in_flight, permit);
    match call.meta.repeat {
        Repeat::Safe => attempts::safe(state, &call, &outgoing, held).await,
        Repeat::Once(key) => once::run(state, call, outgoing, key, held).await,
    }
}

/// Logs an outcome that is no answer, with its reason.
fn record(
    state: &State,
    request: RequestId,
    service: Option<&(WorkspaceId, ServiceId)>,
    refused: &Refused,
) {
    let reason = refused.reason().as_str();
    let Some((workspace, service)) = service else {
        tracing::info!(event = "outcome", %request, outcome = refused.name(), reason);
        return;
    };
    state.decisions.record(Decision {
        at: state.clock.wall(),
        kind: "outcome".to_owned(),
        request,
        workspace: workspace.clone(),
        service: service.clone(),
        candidates: String::new(),
        chosen: refused.name().to_owned(),
        reason: reason.to_owned(),
    });
}
