//! One attempt, from the leave to make it to its end.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtail_limit::{Load, Seen, Ticket, Verdict};
use foxtail_retry::crash::{ABANDONED_FOR, PROBE_TIMEOUT, Probe};
use foxtail_retry::msg::Ended;
use foxtail_retry::record::Evidence;
use foxtail_retry::watch::Permit;
use foxtail_types::prelude::*;
use futures::future::BoxFuture;

use crate::state::State;

/// One attempt. It holds a slot of an upstream and the leave to run, and gives both back at its
/// end; dropping it tells that it was given up.
pub(crate) struct Run {
    state: Arc<State>,
    held: Option<(Ticket, Permit)>,
    addr: SocketAddr,
    until: Millis,
    started: Millis,
    bytes: u64,
    load: Option<Load>,
    server_error: bool,
    sent: bool,
}

impl Run {
    /// An attempt at the upstream at `addr` that has to end at `until`.
    pub(crate) fn new(
        state: &Arc<State>,
        ticket: Ticket,
        permit: Permit,
        addr: SocketAddr,
        until: Millis,
    ) -> Self {
        state.in_use.begin(&ticket.upstream);
        Self {
            state: Arc::clone(state),
            held: Some((ticket, permit)),
            addr,
            until,
            started: state.clock.now(),
            bytes: 0,
            load: None,
            server_error: false,
            sent: false,
        }
    }

    /// The time left.
    pub(crate) fn left(&self) -> Millis {
        self.until.since(self.state.clock.now())
    }

    /// Notes whether the upstream may have the request.
    pub(crate) fn set_sent(&mut self, sent: bool) {
        self.sent = sent;
    }

    /// Notes the head of the answer.
    pub(crate) fn heard(&mut self, load: Option<Load>, server_error: bool) {
        self.load = load;
        self.server_error = server_error;
    }

    /// Notes bytes of the answer.
    pub(crate) fn add_bytes(&mut self, bytes: u64) {
        self.bytes += bytes;
    }

    /// Ends the attempt with a whole answer, without waiting for what follows.
    pub(crate) fn answered_soon(self) {
        let verdict = if self.server_error { Verdict::ServerError } else { Verdict::Answered };
        self.end_soon(verdict);
    }

    /// Ends the attempt. When this returns, a crash that it was part of is known.
    pub(crate) async fn end(mut self, verdict: Verdict) {
        if let Some(finishing) = self.release(verdict) {
            finishing.await;
        }
    }

    /// Ends the attempt without waiting for what follows.
    pub(crate) fn end_soon(mut self, verdict: Verdict) {
        self.release_soon(verdict);
    }

    fn release_soon(&mut self, verdict: Verdict) {
        if let Some(finishing) = self.release(verdict) {
            self.state.work.spawn(finishing);
        }
    }

    /// Gives back the slot at once; the leave follows with the future.
    fn release(&mut self, verdict: Verdict) -> Option<BoxFuture<'static, ()>> {
        let (ticket, permit) = self.held.take()?;
        let upstream = ticket.upstream.clone();
        self.state.in_use.end(&upstream);
        let took = self.state.clock.now().since(self.started);
        let seen = Seen { verdict, took, answer_bytes: self.bytes, load: self.load };
        self.state.limiter.release(ticket, seen);
        let (state, addr, sent) = (Arc::clone(&self.state), self.addr, self.sent);
        Some(Box::pin(async move {
            let trial = permit.is_trial();
            let ended = match verdict {
                Verdict::TimedOut | Verdict::Cancelled if sent => abandoned(&state, addr).await,
                _ => ended(&state, &upstream, addr, trial, verdict).await,
            };
            state.watch.finish(permit, ended).await;
        }))
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.release_soon(Verdict::Cancelled);
    }
}

/// What the attempt tells about crashes.
async fn ended(
    state: &State,
    upstream: &UpstreamId,
    addr: SocketAddr,
    trial: bool,
    verdict: Verdict,
) -> Ended {
    let now = state.clock.now();
    match verdict {
        Verdict::Answered | Verdict::ServerError => Ended::Answered,
        Verdict::Unreachable => {
            state.crashes.refused(upstream, now);
            Ended::Nothing
        }
        Verdict::Broken => {
            state.crashes.broke(upstream, now);
            let probe = probe(state, addr).await;
            Ended::Broke(state.crashes.evidence(upstream, probe, trial, state.clock.now()))
        }
        Verdict::Shed | Verdict::Leaving | Verdict::TimedOut | Verdict::Cancelled => Ended::Nothing,
    }
}

/// What an attempt tells that was given up while the upstream had the request: it may crash the
/// upstream yet.
async fn abandoned(state: &State, addr: SocketAddr) -> Ended {
    tokio::time::sleep(ABANDONED_FOR.duration()).await;
    match probe(state, addr).await {
        Probe::Refused => Ended::Broke(Evidence::Crash),
        Probe::Accepted | Probe::TimedOut => Ended::Nothing,
    }
}

/// Makes a trial connection, which tells a crash from a lone broken connection.
async fn probe(state: &State, addr: SocketAddr) -> Probe {
    match tokio::time::timeout(PROBE_TIMEOUT.duration(), state.dial.dial(addr)).await {
        Ok(Ok(_)) => Probe::Accepted,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::TimedOut,
    }
}
