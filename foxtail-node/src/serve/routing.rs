//! From a request to a slot at an upstream.

use foxtail_limit::{Acquire, Refusal, Seen, Ticket, Verdict};
use foxtail_member::View;
use foxtail_route::plan::{Options, PoolView, Query, State as PoolState};
use foxtail_route::{Plan, plan};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;

use super::call::Call;
use super::reply::Refused;
use super::{RETRY_AFTER, Target};
use crate::decisions::Decision;
use crate::state::State;
use crate::upstream::Outgoing;

/// What a request's head is taken to weigh on a link, in bytes.
const HEAD_BYTES: u64 = 1_024;

/// Waits for a slot in the best region that grants one.
///
/// # Errors
///
/// The request did not run: no region has room for it in time.
pub(crate) async fn slot(
    state: &State,
    call: &Call,
    outgoing: &Outgoing,
    avoid: &[UpstreamId],
) -> Result<(Target, Ticket), Refused> {
    let views = views(state, call);
    let query = query(state, call, outgoing, &views);
    let plan = plan(&query, &Options::default());
    if let Some(reason) = plan.refusal() {
        record(state, call, &plan, &query, "none", reason.as_str());
        return Err(Refused::not_run(reason, RETRY_AFTER));
    }
    let mut refused = Refused::not_run(Reason::NoUpstream, RETRY_AFTER);
    for index in plan.order() {
        let pool = call.pool(views[index].region);
        let acquire = Acquire {
            request: call.meta.id,
            pool: &pool,
            class: call.meta.class,
            deadline: call.meta.deadline,
            avoid,
            request_bytes: HEAD_BYTES + outgoing.body.len() as u64,
            answer_bytes: call.service().answer_bytes,
        };
        match state.limiter.acquire(&acquire).await {
            Ok(ticket) => match target(call, &ticket.upstream) {
                Some(target) => {
                    let reason = plan.verdict(index).as_str();
                    record(state, call, &plan, &query, ticket.upstream.as_str(), reason);
                    return Ok((target, ticket));
                }
                None => state.limiter.release(ticket, unused()),
            },
            Err(refusal) => {
                let (request, pool) = (call.meta.id, &pool);
                tracing::info!(event = "slot_refused", %request, %pool, ?refusal);
                refused = turned_away(&refusal);
            }
        }
    }
    record(state, call, &plan, &query, "none", refused.reason().as_str());
    Err(refused)
}

fn views<'a>(state: &State, call: &'a Call) -> Vec<PoolView<'a>> {
    let network = &call.snapshot.network;
    let home = &state.settings.region;
    let view = state.fleet.view.load();
    let pool = |region: &'a RegionId| {
        let delay = network.link(home, region).map_or(Millis::ZERO, |link| link.delay);
        let pool_state = pool_state(call, region, &view, home);
        PoolView { region, state: pool_state, delay, report: None, link: None, shift: None }
    };
    network.regions.iter().map(|region| pool(&region.id)).collect()
}

fn pool_state(call: &Call, region: &RegionId, view: &View, home: &RegionId) -> PoolState {
    let upstreams = || call.service().upstreams_in(region);
    if upstreams().next().is_none() {
        return PoolState::Empty;
    }
    if upstreams().all(|upstream| call.snapshot.drains_upstream(upstream)) {
        return PoolState::Draining;
    }
    if region != home && view.live_in(region).next().is_none() {
        return PoolState::Silent;
    }
    PoolState::Open
}

fn query<'a>(
    state: &'a State,
    call: &Call,
    outgoing: &Outgoing,
    pools: &'a [PoolView<'a>],
) -> Query<'a> {
    Query {
        home: &state.settings.region,
        class: call.meta.class,
        now: state.clock.now(),
        deadline: call.meta.deadline,
        service_time: Millis::ZERO,
        link_bytes: HEAD_BYTES + outgoing.body.len() as u64 + call.service().answer_bytes,
        seed: call.meta.id.0.as_u64_pair().1,
        pools,
    }
}

fn target(call: &Call, upstream: &UpstreamId) -> Option<Target> {
    let found = call.service().upstreams.iter().find(|it| it.id == *upstream)?;
    Some(Target { upstream: upstream.clone(), addr: found.addr })
}

/// What is told of an upstream that a ticket was not used for.
pub(crate) fn unused() -> Seen {
    Seen { verdict: Verdict::Cancelled, took: Millis::ZERO, answer_bytes: 0, load: None }
}

fn turned_away(refusal: &Refusal) -> Refused {
    match refusal {
        Refusal::Overloaded { retry_after } => Refused::not_run(Reason::Overloaded, *retry_after),
        Refusal::NoHeadroom { retry_after } => Refused::not_run(Reason::NoHeadroom, *retry_after),
        Refusal::NoUpstream => Refused::not_run(Reason::NoUpstream, RETRY_AFTER),
        Refusal::OwnerUnreachable => Refused::not_run(Reason::NoUpstream, RETRY_AFTER),
    }
}

fn record(state: &State, call: &Call, plan: &Plan, query: &Query<'_>, chosen: &str, reason: &str) {
    state.decisions.record(Decision {
        at: state.clock.wall(),
        kind: "route".to_owned(),
        request: call.meta.id,
        workspace: call.meta.workspace.clone(),
        service: call.meta.service.clone(),
        candidates: plan.explain(query).to_string(),
        chosen: chosen.to_owned(),
        reason: reason.to_owned(),
    });
}
