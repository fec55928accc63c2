//! The attempts of one request: leave, slot, sending, and whether another follows.

use std::sync::Arc;

use foxtail_limit::Verdict;
use foxtail_retry::policy::{self, Ended, Next};
use foxtail_retry::watch::{Case, Permit};
use foxtail_retry::{Budgets, Fingerprint};
use foxtail_types::prelude::*;

use super::call::Call;
use super::reply::Refused;
use super::{Run, Target, routing};
use crate::state::State;
use crate::upstream::{Attempt, Outgoing, send};

/// The attempts of one request so far.
pub(crate) struct Tries<'a> {
    state: &'a Arc<State>,
    call: &'a Call,
    outgoing: &'a Outgoing,
    fp: Fingerprint,
    guards: Vec<HostId>,
    avoid: Vec<UpstreamId>,
}

/// An attempt that may be made now.
pub(crate) struct Ready {
    target: Target,
    run: Run,
}

impl<'a> Tries<'a> {
    pub(crate) fn new(state: &'a Arc<State>, call: &'a Call, outgoing: &'a Outgoing) -> Self {
        let fp = Fingerprint::of(
            &call.meta.workspace,
            &call.meta.service,
            outgoing.method.as_str(),
            &outgoing.path,
            &outgoing.body,
        );
        Self { state, call, outgoing, fp, guards: guards(state, call), avoid: Vec::new() }
    }

    /// Waits for leave and a slot.
    ///
    /// # Errors
    ///
    /// What the caller is told; nothing was sent.
    pub(crate) async fn ready(&mut self) -> Result<Ready, Refused> {
        let permit = self.admit().await?;
        let granted = routing::slot(self.state, self.call, self.outgoing, &self.avoid).await;
        let (target, ticket) = match granted {
            Ok(granted) => granted,
            Err(refused) => {
                self.state.watch.finish(permit, foxtail_retry::msg::Ended::Nothing).await;
                return Err(refused);
            }
        };
        self.avoid.push(target.upstream.clone());
        let until = ticket.expires.min(self.call.meta.deadline);
        let run = Run::new(self.state, ticket, permit, target.addr, until);
        Ok(Ready { target, run })
    }

    /// Sends the request.
    pub(crate) async fn send(&self, ready: Ready) -> Attempt {
        let Ready { target, run } = ready;
        send(&self.state.upstreams, &target, self.outgoing, &self.call.meta, run).await
    }

    /// After an attempt without an answer, waits until another may follow. Tells whether one may.
    pub(crate) async fn again(&self, verdict: Verdict) -> bool {
        let meta = &self.call.meta;
        let attempt = policy::Attempt {
            repeat: meta.repeat,
            ended: ended(verdict),
            attempts: self.avoid.len() as u32,
            passed_on: false,
            overloaded: false,
            now: self.state.clock.now(),
            deadline: meta.deadline,
            service_time: Millis::ZERO,
            seed: rand::random(),
        };
        let next = policy::next(&attempt, &policy::Options::default());
        tracing::info!(
            event = "attempt_failed",
            request = %meta.id,
            upstream = self.avoid.last().map(UpstreamId::as_str),
            ?verdict,
            ?next,
        );
        let Next::Retry { after, budgeted } = next else { return false };
        if budgeted && !take(&self.state.budgets, meta, attempt.now) {
            tracing::info!(event = "retry_budget_spent", request = %meta.id);
            return false;
        }
        tokio::time::sleep(after.duration()).await;
        true
    }

    async fn admit(&self) -> Result<Permit, Refused> {
        let case = Case {
            workspace: &self.call.meta.workspace,
            service: &self.call.meta.service,
            fp: self.fp,
            hosts: &self.guards,
            deadline: self.call.meta.deadline,
        };
        let admitted = self.state.watch.admit(&case).await;
        admitted.map_err(|outcome| Refused { outcome, message: None })
    }
}

/// The hosts that watch over this caller's requests: those of its region, as far as it is known.
fn guards(state: &State, call: &Call) -> Vec<HostId> {
    let blocks = state.blocks.load();
    let known = blocks.find(call.from).map(|site| &site.region);
    let region = known.unwrap_or(&state.settings.region);
    let view = state.fleet.view.load();
    let live = view.live_in(region).map(|member| member.identity.id.clone());
    let hosts: Vec<_> = live.collect();
    if hosts.is_empty() { vec![state.settings.host.clone()] } else { hosts }
}

fn take(budgets: &Budgets, meta: &Meta, now: Millis) -> bool {
    budgets.take(&meta.workspace, &meta.service, now)
}

fn ended(verdict: Verdict) -> Ended {
    match verdict {
        Verdict::Shed => Ended::Shed,
        Verdict::Leaving => Ended::Leaving,
        Verdict::Unreachable | Verdict::Cancelled => Ended::Unreachable,
        Verdict::TimedOut => Ended::TimedOut,
        Verdict::Answered | Verdict::ServerError | Verdict::Broken => Ended::Broken,
    }
}
