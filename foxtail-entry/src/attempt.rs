//! Sends a request to one upstream and reads its response.

use std::sync::Arc;

use foxtail_net::http::{Body, full_body};
use foxtail_steer::reachability::{Wait, WaitingRequest};
use foxtail_steer::steering::{AttemptReport, Outcome};
use foxtail_steer::{Route, Upstream};
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::http::header::CONTENT_LENGTH;
use hyper::http::{HeaderMap, Method, Uri};
use hyper::{Request, Response, Version as HttpVersion};

use crate::context::HostContext;
use crate::liveness::{Silent, is_silence, while_alive};
use crate::pool::Conn;
use crate::ports::{DispatchInfo, ResponseInfo};
use crate::relay::RelayFeedback;
use crate::request_body::{RequestBody, SentBody};
use crate::response_body::{ResponseBody, chain_body, read_body};

/// How long the body of a refusal is awaited so that its connection can be reused. It normally comes
/// with the head.
const REFUSAL_BODY_TIMEOUT: Millis = Millis(20);

/// A request to be forwarded.
pub(crate) struct ForwardedRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) route: &'a Route,
    pub(crate) object: Option<u64>,
    pub(crate) method: &'a Method,
    pub(crate) uri: &'a Uri,
    pub(crate) headers: &'a HeaderMap,
    pub(crate) body: &'a RequestBody,
    /// When the attempt is abandoned.
    pub(crate) deadline: Millis,
    /// Whether another host relayed the request and takes it back.
    pub(crate) goes_back: bool,
    /// What a host that relayed the request has to know.
    pub(crate) feedback: &'a RelayFeedback,
}

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The upstream responded.
    Answered(Response<Body>),
    /// The upstream provably did not run the request.
    NotRun(Outcome),
    /// The upstream may have run the request.
    MayHaveRun(Outcome),
    /// The request was given up, since no upstream answers this host or since it stops; the upstream may
    /// have run it.
    GivenUp,
}

/// Reports the outcome of an attempt to steering, metrics and log. Reports a cancellation if it is
/// dropped first, as happens when the caller disconnects.
struct AttemptGuard<'a> {
    cx: &'a HostContext,
    up: &'a Upstream,
    fwd: &'a ForwardedRequest<'a>,
    started: Millis,
    wait_ms: f64,
    /// Whether a part of the request may have been written to a connection.
    sent: bool,
    /// Whether the attempt uses a new connection.
    new_connection: bool,
    reported: bool,
}

impl AttemptGuard<'_> {
    fn report(&mut self, outcome: Outcome, info: Option<&ResponseInfo>) {
        self.reported = true;
        let now = self.cx.now();
        let took = now.since(self.started);
        let report = AttemptReport {
            id: &self.up.id,
            service: &self.up.service,
            objective: self.fwd.route.objective,
            object: self.fwd.object,
            outcome,
            took,
            wait_ms: self.wait_ms,
            load: info.and_then(|info| info.load),
        };
        self.cx.steering.lock().record_outcome(&report, now);
        let attempt = (self.started, self.new_connection);
        self.cx.record_reachability(&self.up.id, outcome, attempt, now);
        self.cx.metrics.record_attempt(&self.up.service, outcome_name(outcome), took);
        let load = info.and_then(|info| info.load);
        tracing::info!(
            event = "attempt",
            request = self.fwd.id,
            upstream = %self.up.id,
            outcome = outcome_name(outcome),
            took_ms = took.0,
            running = load.map(|load| load.running),
            waiting = load.map(|load| load.waiting),
        );
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.reported {
            self.report(Outcome::Cancelled, None);
        }
    }
}

/// Returns the name of `outcome` in log lines and metrics.
pub(crate) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Shed => "shed",
        Outcome::WrongInstance => "moved",
        Outcome::Unreachable => "unreachable",
        Outcome::Withdrawn => "withdrawn",
        Outcome::Broken => "broken",
        Outcome::Silent => "silent",
        Outcome::TimedOut => "timed-out",
        Outcome::Cancelled => "cancelled",
    }
}

/// Sends the request to `up` and waits for the response until the deadline.
///
/// `wait_ms` is the expected queueing time at the upstream, in milliseconds. `may_repeat` says whether the
/// request may still be sent to another upstream.
pub(crate) async fn attempt(
    cx: &Arc<HostContext>,
    up: &Upstream,
    fwd: &ForwardedRequest<'_>,
    wait_ms: f64,
    may_repeat: bool,
) -> AttemptOutcome {
    let started = cx.now();
    let limited = {
        let mut steering = cx.steering.lock();
        steering.record_sent(&up.id, started);
        steering.named_limit(&up.id).is_some()
    };
    cx.reachability.lock().record_sent(started);
    if limited {
        cx.metrics.count_limited_attempt(&up.service);
    }
    let mut guard = AttemptGuard {
        cx,
        up,
        fwd,
        started,
        wait_ms,
        sent: false,
        new_connection: false,
        reported: false,
    };
    let left = fwd.deadline.since(started).duration();
    let ended =
        tokio::time::timeout(left, send_while_answered(cx, up, fwd, may_repeat, &mut guard)).await;
    match ended {
        Ok(Some(outcome)) => outcome,
        Ok(None) if guard.sent => {
            guard.report(Outcome::Cancelled, None);
            AttemptOutcome::GivenUp
        }
        Ok(None) | Err(_) if !guard.sent => {
            guard.report(Outcome::Unreachable, None);
            AttemptOutcome::NotRun(Outcome::Unreachable)
        }
        _ => {
            guard.report(Outcome::TimedOut, None);
            AttemptOutcome::MayHaveRun(Outcome::TimedOut)
        }
    }
}

/// As [`send`]; returns `None` if the request is given up because no upstream answers this host, or
/// because it stops.
async fn send_while_answered(
    cx: &HostContext,
    up: &Upstream,
    fwd: &ForwardedRequest<'_>,
    may_repeat: bool,
    guard: &mut AttemptGuard<'_>,
) -> Option<AttemptOutcome> {
    let waiting = WaitingRequest {
        sent_at: guard.started,
        time_left: fwd.deadline.since(guard.started),
        may_repeat,
        goes_back: fwd.goes_back,
    };
    let mut sending = std::pin::pin!(send(cx, up, fwd, guard));
    loop {
        let lost = cx.upstreams_lost.notified();
        let Wait::Continue(end) = cx.reachability.lock().wait(&waiting, cx.now()) else {
            return None;
        };
        tokio::select! {
            outcome = sending.as_mut() => return Some(outcome),
            () = lost => {}
            () = cx.lifecycle.cut_off.cancelled() => return None,
            () = tokio::time::sleep(end.unwrap_or_default().duration()), if end.is_some() => {}
        }
    }
}

async fn send(
    cx: &HostContext,
    up: &Upstream,
    fwd: &ForwardedRequest<'_>,
    guard: &mut AttemptGuard<'_>,
) -> AttemptOutcome {
    let conn = match cx.pool.take(&up.id, fwd.route.idempotent, cx.now()) {
        Some(conn) => conn,
        None => match connect_for(guard).await {
            Ok(conn) => conn,
            Err(e) => {
                tracing::info!(event = "connect_failed", upstream = %up.id, addr = %up.addr,
                    request = fwd.id, error = %e);
                guard.report(Outcome::Unreachable, None);
                return AttemptOutcome::NotRun(Outcome::Unreachable);
            }
        },
    };
    cx.hold_for_view().await;
    let now = cx.now();
    if fwd.deadline <= now || !cx.steering.lock().may_still_send(&up.id, now) {
        // The connection took long, or the process was paused.
        guard.report(Outcome::Withdrawn, None);
        cx.pool.put(&up.id, conn, now);
        return AttemptOutcome::NotRun(Outcome::Withdrawn);
    }
    exchange(cx, conn, up, fwd, guard).await
}

/// Opens a new connection for an attempt.
async fn connect_for(guard: &mut AttemptGuard<'_>) -> std::io::Result<Conn> {
    guard.new_connection = true;
    connect(guard.cx, guard.up).await
}

/// Opens a new connection to `up`.
pub(crate) async fn connect(cx: &HostContext, up: &Upstream) -> std::io::Result<Conn> {
    let started = std::time::Instant::now();
    let connected = cx.pool.connect(up.addr, cx.now()).await;
    cx.metrics.record_connect(if connected.is_ok() { "connected" } else { "failed" });
    if connected.is_ok() {
        cx.steering.lock().record_connect_time(&up.zone, started.elapsed().as_secs_f64() * 1_000.0);
    }
    connected
}

async fn exchange(
    cx: &HostContext,
    mut conn: Conn,
    up: &Upstream,
    fwd: &ForwardedRequest<'_>,
    guard: &mut AttemptGuard<'_>,
) -> AttemptOutcome {
    guard.sent = true;
    let silence_timeout = conn.prepare_for_body(fwd.body.len());
    let sending = conn.send(build_request(cx, up, fwd));
    let response = match while_alive(cx, up.addr, silence_timeout, sending).await {
        Ok(Ok(response)) => response,
        Err(Silent) => {
            guard.report(Outcome::Silent, None);
            return AttemptOutcome::MayHaveRun(Outcome::Silent);
        }
        Ok(Err(mut e)) => {
            // The library returns the request only if no byte of it was written.
            let unsent = e.take_message().is_some();
            let outcome = if unsent { Outcome::Unreachable } else { broken_outcome(e.error()) };
            guard.report(outcome, None);
            return if unsent {
                AttemptOutcome::NotRun(outcome)
            } else {
                AttemptOutcome::MayHaveRun(outcome)
            };
        }
    };
    let info = cx.protocol.parse_response(response.status(), response.headers());
    // The present owner of an address that was reassigned may answer without an identifier, but not on
    // a connection on which the upstream itself has answered.
    let is_foreign = match &info.id {
        Some(id) => id != fwd.id,
        None => !(info.moved && conn.is_new),
    };
    conn.is_new = false;
    if is_foreign {
        // A surplus response to an earlier request: the state of this connection is unknown.
        tracing::warn!(event = "foreign_answer", request = fwd.id, upstream = %up.id,
            answers = info.id.as_deref().unwrap_or("-"));
        guard.report(Outcome::Broken, None);
        return AttemptOutcome::MayHaveRun(Outcome::Broken);
    }
    cx.record_limit(up, response.status(), &info, guard.started);
    if let Some(report) = cx.record_notice(up, &info, "answer") {
        fwd.feedback.notices.lock().push(report);
    }
    if info.moved || info.not_run {
        let outcome = if info.moved { Outcome::WrongInstance } else { Outcome::Shed };
        guard.report(outcome, Some(&info));
        return_to_pool(cx, conn, up, &info, response.into_body()).await;
        return AttemptOutcome::NotRun(outcome);
    }
    let (head, body) = response.into_parts();
    match read_body(&cx.memory, body).await {
        Ok(ResponseBody::Complete(bytes)) => {
            guard.report(Outcome::Answered, Some(&info));
            conn.idle_timeout = info.idle_timeout;
            cx.pool.put(&up.id, conn, cx.now());
            AttemptOutcome::Answered(Response::from_parts(head, full_body(bytes)))
        }
        Ok(ResponseBody::Partial(body)) => {
            guard.report(Outcome::Answered, Some(&info));
            let left = fwd.deadline.since(cx.now());
            let body = chain_body(body, left, fwd.id);
            AttemptOutcome::Answered(Response::from_parts(head, body))
        }
        Err(e) => {
            tracing::info!(event = "answer_broke_off", request = fwd.id, upstream = %up.id,
                error = %e);
            let outcome = broken_outcome(&e);
            guard.report(outcome, None);
            AttemptOutcome::MayHaveRun(outcome)
        }
    }
}

/// Returns the outcome of an attempt whose connection ended with `e`.
fn broken_outcome(e: &hyper::Error) -> Outcome {
    if is_silence(e) { Outcome::Silent } else { Outcome::Broken }
}

/// Returns the connection to the pool after a response which proves that the request did not run,
/// if its body is short and complete within [`REFUSAL_BODY_TIMEOUT`], and
/// the address still belongs to this upstream.
async fn return_to_pool(
    cx: &HostContext,
    mut conn: Conn,
    up: &Upstream,
    info: &ResponseInfo,
    body: Incoming,
) {
    let read =
        tokio::time::timeout(REFUSAL_BODY_TIMEOUT.duration(), read_body(&cx.memory, body)).await;
    if let Ok(Ok(ResponseBody::Complete(_))) = read
        && !info.moved
    {
        conn.idle_timeout = info.idle_timeout;
        cx.pool.put(&up.id, conn, cx.now());
    }
}

fn build_request(cx: &HostContext, up: &Upstream, fwd: &ForwardedRequest<'_>) -> Request<SentBody> {
    let mut req = fwd.to_request();
    let time_left = fwd.deadline.since(cx.now());
    cx.protocol.write_dispatch(req.headers_mut(), &DispatchInfo { upstream: &up.id, time_left });
    req
}

impl ForwardedRequest<'_> {
    /// Returns the request as the caller sent it, but for headers of its connection.
    pub(crate) fn to_request(&self) -> Request<SentBody> {
        let mut req = Request::new(self.body.to_sent());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.version_mut() = HttpVersion::HTTP_11;
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        let bodiless = matches!(*self.method, Method::GET | Method::HEAD | Method::DELETE);
        if !self.body.is_empty() || !bodiless {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        req
    }
}
