//! Watches whether this host reaches its upstreams, and probes them when it may not.

use std::sync::Arc;

use foxtail_steer::Upstream;
use foxtail_steer::reachability::{
    Change, PROBE_INTERVAL, PROBE_TIMEOUT, ProbeOutcome, ProbeReasons,
};
use foxtail_steer::steering::Outcome;
use foxtail_types::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Request;
use hyper::http::header::HOST;

use crate::attempt::connect;
use crate::context::HostContext;
use crate::ports::DispatchInfo;
use crate::request_body::SentBody;
use crate::response_body::{ResponseBody, read_body};

/// Probes upstreams while the host may have lost them, until the host ends.
pub(crate) async fn watch_upstreams(cx: Arc<HostContext>) {
    let watching = async {
        loop {
            if cx.reachability.lock().is_lost() {
                tokio::time::sleep(PROBE_INTERVAL.duration()).await;
            } else {
                cx.probe_upstreams.notified().await;
            }
            probe_upstreams(&cx).await;
        }
    };
    cx.lifecycle.ended.clone().run_until_cancelled(watching).await;
}

/// Probes some upstreams if a round of probes is due, and records whether any is reached.
async fn probe_upstreams(cx: &Arc<HostContext>) {
    let began = cx.now();
    let reasons = cx.probe_reasons(began);
    let Some(round) = cx.reachability.lock().begin_probes(reasons, began) else { return };
    let ups = cx.steering.lock().upstreams_to_probe(round, began);
    let outcomes = outcomes_until_answered(cx, ups).await;
    if outcomes.contains(&ProbeOutcome::Answered) {
        cx.confirm_strikes(began);
    }
    let (change, failed) = {
        let mut reachability = cx.reachability.lock();
        let now = cx.now();
        let failed = reachability.failed_upstreams(now);
        (reachability.record_probes(&outcomes, now), failed)
    };
    match change {
        Some(Change::Lost) => {
            let discarded_strikes = cx.unconfirmed_strikes.lock().discard();
            tracing::warn!(event = "upstreams_lost", failed, discarded_strikes,
                probes = ?outcomes);
            cx.set_upstreams_lost(true);
        }
        Some(Change::Regained { after }) => {
            tracing::info!(event = "upstreams_regained", lost_ms = after.0, probes = ?outcomes);
            cx.set_upstreams_lost(false);
        }
        None => tracing::debug!(event = "upstreams_probed", failed, probes = ?outcomes),
    }
    if outcomes.contains(&ProbeOutcome::Answered) {
        cx.upstream_answered.notify_waiters();
    }
    // A round without an answer is followed by the next one at once.
    cx.check_reachability(cx.now());
}

/// Probes `ups` and returns the outcomes, those up to the first answer if there is one: it shows all,
/// and the next round must not wait for an upstream that is down.
async fn outcomes_until_answered(cx: &Arc<HostContext>, ups: Vec<Upstream>) -> Vec<ProbeOutcome> {
    let probe = |up: Upstream| {
        let (cx, ended) = (Arc::clone(cx), cx.lifecycle.ended.clone());
        async move { ended.run_until_cancelled(probe(&cx, &up)).await }
    };
    // The tasks of the other probes go on, so that their connections are kept for requests.
    let mut probes: FuturesUnordered<_> =
        ups.into_iter().map(|up| cx.tasks.spawn(probe(up))).collect();
    let mut outcomes = Vec::new();
    while let Some(probed) = probes.next().await {
        // A probe that was ended says nothing of the links.
        outcomes.push(probed.ok().flatten().unwrap_or(ProbeOutcome::Unanswered));
        if outcomes.last() == Some(&ProbeOutcome::Answered) {
            break;
        }
    }
    outcomes
}

/// Requests the health of an upstream. Any answer shows that it is reached.
async fn probe(cx: &HostContext, up: &Upstream) -> ProbeOutcome {
    let cfg = cx.steering.lock().config().cloned();
    let service = cfg.as_ref().and_then(|cfg| cfg.service(&up.service));
    let Some(path) = service.map(|service| service.health_path.clone()) else {
        return ProbeOutcome::Unanswered;
    };
    let outcome = tokio::time::timeout(PROBE_TIMEOUT.duration(), request_health(cx, up, &path));
    let outcome = outcome.await.unwrap_or(ProbeOutcome::Unanswered);
    cx.metrics.count_probe(match outcome {
        ProbeOutcome::Answered => "answered",
        ProbeOutcome::Unanswered => "unanswered",
        ProbeOutcome::Failed => "failed",
    });
    outcome
}

async fn request_health(cx: &HostContext, up: &Upstream, path: &str) -> ProbeOutcome {
    let mut conn = match connect(cx, up).await {
        Ok(conn) => conn,
        Err(e) => {
            tracing::debug!(event = "probe_failed", upstream = %up.id, error = %e);
            return ProbeOutcome::Failed;
        }
    };
    let req = Request::get(path).header(HOST, up.addr.to_string()).body(SentBody::default());
    let Ok(mut req) = req else { return ProbeOutcome::Unanswered };
    let dispatch = DispatchInfo { upstream: &up.id, time_left: PROBE_TIMEOUT };
    cx.protocol.write_dispatch(req.headers_mut(), &dispatch);
    let response = match conn.send(req).await {
        Ok(response) => response,
        Err(e) => {
            tracing::debug!(event = "probe_failed", upstream = %up.id, error = %e.error());
            return ProbeOutcome::Failed;
        }
    };
    let info = cx.protocol.parse_response(response.status(), response.headers());
    cx.record_notice(up, &info, "probe");
    if info.moved {
        return ProbeOutcome::Answered;
    }
    if let Ok(ResponseBody::Complete(_)) = read_body(&cx.memory, response.into_body()).await {
        conn.is_new = false;
        conn.idle_timeout = info.idle_timeout;
        cx.pool.put(&up.id, conn, cx.now());
    }
    ProbeOutcome::Answered
}

impl HostContext {
    /// Records what the outcome of an attempt at `up` that began at `started` says of this host's
    /// links to upstreams.
    pub(crate) fn record_reachability(
        &self,
        up: &UpstreamId,
        outcome: Outcome,
        (started, new_connection): (Millis, bool),
        now: Millis,
    ) {
        let answered =
            matches!(outcome, Outcome::Answered | Outcome::Shed | Outcome::WrongInstance);
        let failed = matches!(outcome, Outcome::Unreachable | Outcome::Broken | Outcome::Silent);
        let suspected = {
            let mut reachability = self.reachability.lock();
            reachability.record_ended(answered, now);
            if new_connection && answered {
                reachability.record_new_connection();
            } else if new_connection && failed {
                reachability.record_failure(up, now);
            }
            reachability.is_suspected(now)
        };
        if answered {
            self.confirm_strikes(started);
            self.upstream_answered.notify_waiters();
        }
        if suspected {
            self.probe_upstreams.notify_one();
        }
    }

    /// Holds a relayed request that has to end by `deadline` while this host's links may be silent, until
    /// an upstream answers. Returns `false` if none did in time, so that the request should be handed
    /// back.
    pub(crate) async fn confirm_links(&self, deadline: Millis) -> bool {
        let now = self.now();
        let Some(held_for) = self.reachability.lock().hold(deadline.since(now), now) else {
            return true;
        };
        if self.steering.lock().upstreams_to_probe(0, now).is_empty() {
            // No answer could come.
            return true;
        }
        self.check_reachability(now);
        let answered = async {
            loop {
                let answered = self.upstream_answered.notified();
                let lost = self.upstreams_lost.notified();
                {
                    let reachability = self.reachability.lock();
                    if reachability.is_lost() || reachability.has_answered_since(now) {
                        return !reachability.is_lost();
                    }
                }
                tokio::select! {
                    () = answered => {}
                    () = lost => {}
                }
            }
        };
        tokio::time::timeout(held_for.duration(), answered).await.unwrap_or(false)
    }

    fn probe_reasons(&self, now: Millis) -> ProbeReasons {
        ProbeReasons {
            others_lost: self.fleet.lock().others_lost_upstreams(now),
            unconfirmed_strikes: !self.unconfirmed_strikes.lock().is_empty(),
        }
    }

    /// Wakes the task that probes upstreams if it has a reason to.
    pub(crate) fn check_reachability(&self, now: Millis) {
        let reasons = self.probe_reasons(now);
        if self.reachability.lock().needs_probes(reasons, now) {
            self.probe_upstreams.notify_one();
        }
    }

    /// Counts the upstreams as lost if this host has just started and others of its region lost theirs,
    /// until an upstream answers.
    pub(crate) fn presume_upstreams_lost(&self, now: Millis) {
        if self.fleet.lock().others_lost_upstreams(now)
            && self.reachability.lock().presume_lost(now)
        {
            tracing::warn!(event = "upstreams_lost", presumed = true);
            self.set_upstreams_lost(true);
        }
        self.check_reachability(now);
    }

    /// Tells other hosts whether this host lost its upstreams.
    fn set_upstreams_lost(&self, lost: bool) {
        self.fleet.lock().set_upstreams_lost(lost);
        self.directory.clear_cache();
        self.notify_peers.notify_one();
        if lost {
            // What is left of these connections may be silent for long.
            self.pool.retain(|_| false);
            self.upstreams_lost.notify_waiters();
        }
    }
}
