//! Handles callers' requests: reads and checks a request, forwards it to upstreams with retries,
//! and returns the response or a refusal.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtail_net::http::Body;
use foxtail_steer::relay::{HandedBack, RelayedRequest};
use foxtail_steer::steering::{Outcome, Placement, Request as PlacementRequest};
use foxtail_steer::suspects::Fingerprints;
use foxtail_steer::{Config, Route};
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use hyper::body::Incoming;
use hyper::http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};

use crate::attempt::{AttemptOutcome, ForwardedRequest, attempt};
use crate::context::HostContext;
use crate::memory::{OutOfMemory, REQUEST_BYTES};
use crate::past_attempts::{PastAttempts, SHED_RETRY_AFTER};
use crate::refusal::Refusal;
use crate::relay::{self, RelayFeedback, RelayOutcome};
use crate::request_body::{Error, RequestBody, discard};
use crate::request_log::RequestLog;
use crate::response_body::record_delivery;

/// The timeout of a request whose caller sends none.
const DEFAULT_TIMEOUT: Millis = Millis::secs(30);

/// The least time left for which a request is still sent: no upstream could answer it in less.
const MIN_TIME_LEFT: Millis = Millis(5);

/// `Retry-After` of a host that has not read its configuration and the upstreams yet.
const NOT_READY_RETRY_AFTER: Millis = Millis(300);

/// `Retry-After` of a host that stops before it could finish a request. Other hosts take it at once.
const STOPPING_RETRY_AFTER: Millis = Millis(10);

/// `Retry-After` when no upstream may take the request.
const NO_UPSTREAM_RETRY_AFTER: Millis = Millis(250);

/// The longest time for which the rest of a refused request's body is read, so that the caller gets the
/// refusal.
const MAX_DISCARD_TIME: Millis = Millis::secs(10);

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] =
    [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// Hop-by-hop headers for which the HTTP library has no constant.
const OTHER_HOP_BY_HOP_HEADERS: [&str; 3] =
    ["keep-alive", "proxy-connection", "proxy-authenticate"];

/// A request that was read and may be forwarded.
struct IncomingRequest<'a> {
    head: &'a Parts,
    body: &'a RequestBody,
    /// The caller's address.
    caller: IpAddr,
    fingerprints: Fingerprints,
    /// What another host has done with the request, if that host relayed it.
    relayed: Option<&'a RelayedRequest>,
    /// What a host that relayed the request has to know.
    feedback: &'a RelayFeedback,
}

/// Where a request came from, and the service that it is for.
struct Origin<'a> {
    caller: IpAddr,
    service: &'a ServiceId,
    /// What another host has done with the request, if that host relayed it.
    relayed: Option<&'a RelayedRequest>,
}

/// Returns whether a request may be handled before those in front of it on its connection are answered.
pub(crate) fn may_run_ahead(cx: &HostContext, head: &Request<()>) -> bool {
    let cfg = cx.steering.lock().config().cloned();
    let route = cfg.as_ref().and_then(|cfg| find_route(cfg, head.headers(), head.uri()));
    cx.is_serving() && route.is_some_and(|route| route.idempotent)
}

/// Handles a request from `from`, a caller or another host, and returns the response.
pub(crate) async fn handle(
    cx: Arc<HostContext>,
    mut head: Parts,
    mut body: Option<Incoming>,
    from: IpAddr,
) -> Response<Body> {
    let arrived = cx.now();
    let relayed = relay::take_relayed(&cx, &mut head.headers, from);
    let feedback = RelayFeedback::default();
    let caller = match &relayed {
        Some(relayed) => {
            cx.reachability.lock().record_relayed(arrived);
            cx.check_reachability(arrived);
            relayed.caller
        }
        None => {
            cx.requests.fetch_add(1, Ordering::Relaxed);
            from
        }
    };
    let request = (&mut head, &mut body);
    let served = serve(&cx, request, (caller, relayed.as_ref()), &feedback, arrived).await;
    discard_rest(&cx, &served, (&head, body), arrived);
    match &relayed {
        Some(relayed) => relay::mark_response(&cx, served, relayed, feedback),
        None => {
            let mut response = served.unwrap_or_else(|refusal| refusal.response());
            relay::strip_mark(&mut response);
            response
        }
    }
}

async fn serve(
    cx: &Arc<HostContext>,
    (head, body): (&mut Parts, &mut Option<Incoming>),
    (caller, relayed): (IpAddr, Option<&RelayedRequest>),
    feedback: &RelayFeedback,
    arrived: Millis,
) -> Result<Response<Body>, Refusal> {
    let info = cx.protocol.parse_request(&head.headers).map_err(|why| {
        tracing::info!(event = "request_rejected", %why, path = head.uri.path());
        Refusal::invalid(StatusCode::BAD_REQUEST, Reason::BadRequest)
    })?;
    let cfg = match cx.steering.lock().config().cloned() {
        Some(cfg) if cx.lifecycle.is_leaving() || cx.is_serving() => cfg,
        _ => {
            let refusal = Refusal::not_run(Reason::NotReady, NOT_READY_RETRY_AFTER);
            let version = Version::default();
            let request_log = RequestLog { info: &info, arrived, attempts: 0, version };
            request_log.record_refusal(cx, "-", &refusal, None);
            return Err(refusal);
        }
    };
    let mut request_log = RequestLog { info: &info, arrived, attempts: 0, version: cfg.version };
    let Some(route) = find_route(&cfg, &head.headers, &head.uri) else {
        let refusal = Refusal::invalid(StatusCode::NOT_FOUND, Reason::UnknownService);
        request_log.record_refusal(cx, "-", &refusal, None);
        return Err(refusal);
    };
    let timeout = info.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = relayed.map_or(timeout, |relayed| relayed.time_left);
    let deadline = arrived + timeout.min(route.timeout);
    let deadline = cx.lifecycle.stop.get().map_or(deadline, |stop| deadline.min(stop.cut_off_at));
    let body = read_body(cx, body.as_mut(), cfg.limits.body_bytes, deadline).await;
    let body = body.inspect_err(|refusal| request_log.record_refusal(cx, "-", refusal, None))?;
    let reservation = cx.memory.try_reserve(REQUEST_BYTES).map_err(|e| out_of_memory(cx, e));
    let reservation =
        reservation.inspect_err(|refusal| request_log.record_refusal(cx, "-", refusal, None))?;
    strip_connection_headers(&mut head.headers);
    let fingerprints = fingerprints_of(caller, head, &body);
    if let Some((fingerprint, retry_after)) = cx.barred_for(fingerprints, arrived)
        && !cx.begin_trial(&info.id, fingerprints, arrived)
    {
        let refusal = Refusal::not_run(Reason::CrashedUpstreams, retry_after);
        let any_caller = fingerprint == fingerprints.of_any_caller;
        tracing::info!(event = "barred", request = info.id, %fingerprint, any_caller);
        request_log.record_refusal(cx, "-", &refusal, None);
        return Err(refusal);
    }
    let incoming = IncomingRequest { head, body: &body, caller, fingerprints, relayed, feedback };
    let response = forward(cx, &mut request_log, route, incoming, deadline).await?;
    Ok(record_delivery(cx, response, (&route.name, caller), reservation))
}

/// Reads on in the body of a request that was refused, in the background and until its deadline.
fn discard_rest(
    cx: &Arc<HostContext>,
    served: &Result<Response<Body>, Refusal>,
    (head, body): (&Parts, Option<Incoming>),
    arrived: Millis,
) {
    let Some(body) = body.filter(|body| !hyper::body::Body::is_end_stream(body)) else { return };
    if served.is_ok() {
        return;
    }
    let timeout = cx.protocol.parse_request(&head.headers).ok().and_then(|info| info.timeout);
    let left = (arrived + timeout.unwrap_or(DEFAULT_TIMEOUT)).since(cx.now());
    let left = left.min(MAX_DISCARD_TIME);
    let ended = cx.lifecycle.ended.clone();
    cx.tasks.spawn(async move {
        let discarding = tokio::time::timeout(left.duration(), discard(body));
        if let Some(Err(_)) = ended.run_until_cancelled(discarding).await {
            tracing::debug!(event = "body_not_discarded");
        }
    });
}

/// Returns the requested host name, including the port if there is one.
fn host_name<'r>(headers: &'r HeaderMap, uri: &'r Uri) -> Option<&'r str> {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| uri.host())
}

fn find_route<'c>(cfg: &'c Config, headers: &HeaderMap, uri: &Uri) -> Option<&'c Route> {
    let host = host_name(headers, uri)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    cfg.route(name, uri.path())
}

fn fingerprints_of(caller: IpAddr, head: &Parts, body: &RequestBody) -> Fingerprints {
    let host = host_name(&head.headers, &head.uri).unwrap_or_default();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprints::new(&caller.to_string(), head.method.as_str(), host, path, body.parts())
}

/// Reads the request body, up to `max_bytes` and until `deadline`.
async fn read_body(
    cx: &HostContext,
    body: Option<&mut Incoming>,
    max_bytes: usize,
    deadline: Millis,
) -> Result<RequestBody, Refusal> {
    let Some(body) = body else { return Ok(RequestBody::default()) };
    let left = deadline.since(cx.now());
    let reading = RequestBody::read(&cx.memory, body, max_bytes, left);
    match tokio::time::timeout(left.duration(), reading).await {
        Ok(Ok(body)) => {
            if body.waited_for_memory() {
                cx.metrics.count_memory_wait();
            }
            Ok(body)
        }
        Ok(Err(Error::TooLarge)) => {
            Err(Refusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge))
        }
        Ok(Err(Error::OutOfMemory(e))) => Err(out_of_memory(cx, e)),
        Ok(Err(Error::BrokenOff(_))) => {
            Err(Refusal::invalid(StatusCode::BAD_REQUEST, Reason::BadRequest))
        }
        Err(_) => Err(Refusal::not_run(Reason::DeadlinePassed, SHED_RETRY_AFTER)),
    }
}

fn out_of_memory(cx: &HostContext, e: OutOfMemory) -> Refusal {
    cx.metrics.count_memory_refusal();
    cx.memory.log_shortage(e);
    Refusal::not_run(Reason::OutOfMemory, e.retry_after.max(SHED_RETRY_AFTER))
}

/// Removes hop-by-hop headers, those that `Connection` lists, and `Content-Length`.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

async fn forward(
    cx: &Arc<HostContext>,
    request_log: &mut RequestLog<'_>,
    route: &Route,
    incoming: IncomingRequest<'_>,
    deadline: Millis,
) -> Result<Response<Body>, Refusal> {
    let IncomingRequest { head, body, caller, fingerprints, relayed, feedback } = incoming;
    let mut attempts = relayed.map(PastAttempts::of_relayed).unwrap_or_default();
    let fwd = ForwardedRequest {
        id: &request_log.info.id,
        route,
        object: request_log.info.object.filter(|_| route.affinity),
        method: &head.method,
        uri: &head.uri,
        headers: &head.headers,
        body,
        deadline,
        goes_back: relayed.is_some_and(|relayed| relayed.takes_back),
        feedback,
    };
    let hosts = cx.fleet.lock().hosts_sharing_budgets();
    let Some(service) = select_service(cx, route, relayed, hosts) else {
        let refusal = Refusal::not_run(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER);
        request_log.record_refusal(cx, &route.name, &refusal, None);
        return Err(refusal);
    };
    let origin = Origin { caller, service: &service, relayed };
    if cx.reachability.lock().is_lost() {
        let served = serve_elsewhere(cx, request_log, &fwd, &mut attempts, &origin).await;
        return served.unwrap_or_else(|| {
            let retry_after = attempts.others_retry_after.unwrap_or(NO_UPSTREAM_RETRY_AFTER);
            let refusal = attempts.final_refusal(Reason::UpstreamsLost, retry_after);
            request_log.record_refusal(cx, service.as_str(), &refusal, None);
            Err(refusal)
        });
    }
    // What was sent on silent links can't be handed back as not run.
    if fwd.goes_back
        && !cx.confirm_links(deadline).await
        && let Some(handed_back) =
            serve_elsewhere(cx, request_log, &fwd, &mut attempts, &origin).await
    {
        return handed_back;
    }
    let refusal = loop {
        let now = cx.now();
        if deadline.since(now) < MIN_TIME_LEFT {
            break attempts.deadline_passed();
        }
        let placement_request = PlacementRequest {
            route,
            service: &service,
            object: fwd.object,
            age: now.since(request_log.arrived),
            tried: &attempts.upstreams,
        };
        let placement = {
            let fleet = cx.fleet.lock();
            cx.steering.lock().place(&placement_request, &fleet, now)
        };
        let (up, estimate) = match placement {
            Placement::Send { up, estimate } => (up, estimate),
            Placement::Overloaded { retry_after, best, estimate } => {
                // Upstreams to which connections fail look like busy ones.
                if cx.reachability.lock().is_suspected(now)
                    && let Some(served) =
                        serve_elsewhere(cx, request_log, &fwd, &mut attempts, &origin).await
                {
                    return served;
                }
                let refusal = attempts.final_refusal(Reason::Overloaded, retry_after);
                request_log.record_refusal(
                    cx,
                    service.as_str(),
                    &refusal,
                    Some((&best, &estimate)),
                );
                return Err(refusal);
            }
            Placement::Limited { retry_after, upstreams } => {
                tracing::info!(event = "limited", request = fwd.id, %service, upstreams);
                break attempts.final_refusal(Reason::UpstreamLimited, retry_after);
            }
            Placement::Paused { mut retry_after, upstreams } => {
                tracing::info!(event = "paused", request = fwd.id, %service, upstreams);
                if attempts.reached.len() > relayed.map_or(0, |relayed| relayed.attempted.len()) {
                    // An upstream that was tried here may be free sooner.
                    retry_after = cx.retry_after_refusals(&service, route, SHED_RETRY_AFTER);
                    break attempts.final_refusal(Reason::UpstreamUnavailable, retry_after);
                }
                break attempts.final_refusal(Reason::UpstreamsPaused, retry_after);
            }
            Placement::NoUpstream => {
                break attempts.final_refusal(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER);
            }
        };
        if let Some(stop) = cx.lifecycle.stop.get()
            && !stop.can_finish(&estimate, cx.expected_delivery(route, caller, now), now)
        {
            break attempts.final_refusal(Reason::Stopping, STOPPING_RETRY_AFTER);
        }
        if !attempts.reached.is_empty() && !cx.steering.lock().try_take_retry(&service, hosts, now)
        {
            let retry_after = cx.retry_after_refusals(&service, route, SHED_RETRY_AFTER);
            break attempts.final_refusal(Reason::UpstreamUnavailable, retry_after);
        }
        request_log.record_placement(&up.id, &service, &estimate);
        request_log.attempts += 1;
        attempts.upstreams.push(up.id.clone());
        let sent_at = cx.now();
        let may_repeat = attempts.may_repeat_next(route);
        match attempt(cx, &up, &fwd, estimate.wait_ms, may_repeat).await {
            AttemptOutcome::Answered(response) => {
                // An upstream that fails may do so before it runs what crashes others.
                if !response.status().is_server_error() {
                    cx.clear_strikes(fingerprints);
                }
                request_log.record_response(cx, &service, response.status());
                return Ok(strip_response(response));
            }
            AttemptOutcome::NotRun(outcome) => attempts.record(outcome, false),
            AttemptOutcome::MayHaveRun(outcome) => {
                attempts.record(outcome, true);
                if outcome == Outcome::Broken
                    && cx.record_strike(fwd.id, fingerprints, &up, sent_at)
                {
                    break attempts.final_refusal(Reason::CrashedUpstreams, SHED_RETRY_AFTER);
                }
            }
            AttemptOutcome::GivenUp => {
                attempts.record(Outcome::Cancelled, true);
                if may_repeat
                    && !cx.lifecycle.cut_off.is_cancelled()
                    && let Some(served) =
                        serve_elsewhere(cx, request_log, &fwd, &mut attempts, &origin).await
                {
                    return served;
                }
                break attempts.final_refusal(Reason::AnswerLost, SHED_RETRY_AFTER);
            }
        }
        if !attempts.may_retry(route) {
            let retry_after = cx.retry_after_refusals(&service, route, SHED_RETRY_AFTER);
            break attempts.final_refusal(Reason::UpstreamUnavailable, retry_after);
        }
        let may_be_cut_off = relayed.is_some() || cx.reachability.lock().is_suspected(cx.now());
        if attempts.last_unreachable
            && may_be_cut_off
            && let Some(served) =
                serve_elsewhere(cx, request_log, &fwd, &mut attempts, &origin).await
        {
            return served;
        }
    };
    request_log.record_refusal(cx, service.as_str(), &refusal, None);
    Err(refusal)
}

impl HostContext {
    /// Returns how long passing on the response to a request of `caller` may take.
    fn expected_delivery(&self, route: &Route, caller: IpAddr, now: Millis) -> Millis {
        self.deliveries.lock().expected(&route.name, caller, now)
    }
}

/// Selects the service for a request and counts the request in the service's retry budget, unless
/// the host that relayed the request has done so.
fn select_service(
    cx: &HostContext,
    route: &Route,
    relayed: Option<&RelayedRequest>,
    hosts: usize,
) -> Option<ServiceId> {
    let mut steering = cx.steering.lock();
    let Some(relayed) = relayed else {
        let service = steering.next_service(route).cloned()?;
        steering.record_request(&service, hosts, cx.now());
        return Some(service);
    };
    // The configuration of this host may be newer.
    let is_part = route.parts.iter().any(|part| part.service == relayed.service);
    if is_part { Some(relayed.service.clone()) } else { steering.next_service(route).cloned() }
}

/// Lets another host serve a request while this one may have lost its upstreams: relays it, or hands
/// it back to the host that relayed it. Returns `None` if that is not possible.
async fn serve_elsewhere(
    cx: &Arc<HostContext>,
    request_log: &RequestLog<'_>,
    fwd: &ForwardedRequest<'_>,
    attempts: &mut PastAttempts,
    origin: &Origin<'_>,
) -> Option<Result<Response<Body>, Refusal>> {
    if let Some(relayed) = origin.relayed {
        let mut refusal = Refusal::not_run(Reason::UpstreamsLost, NO_UPSTREAM_RETRY_AFTER);
        if attempts.reached.len() > relayed.attempted.len() {
            // The first host has to know of the upstreams that got the request here.
            if !fwd.route.idempotent || !relayed.takes_back {
                return None;
            }
            if attempts.may_have_run {
                refusal = Refusal::may_have_run(StatusCode::BAD_GATEWAY, Reason::UpstreamsLost);
            }
            *fwd.feedback.handed_back.lock() = Some(HandedBack {
                attempted: attempts.reached.clone(),
                may_have_run: attempts.may_have_run,
            });
        }
        request_log.record_refusal(cx, origin.service.as_str(), &refusal, None);
        return Some(Err(refusal));
    }
    let mut relayed = RelayedRequest {
        caller: origin.caller,
        time_left: Millis::ZERO,
        service: origin.service.clone(),
        attempted: attempts.reached.clone(),
        may_have_run: attempts.may_have_run,
        wants_notices: true,
        takes_back: false,
    };
    let outcome = relay::relay(cx, fwd, &mut relayed).await;
    attempts.record_handed_back(relayed);
    match outcome {
        RelayOutcome::Response(response) => {
            request_log.record_relayed(cx, origin.service, response.status());
            Some(Ok(strip_response(response)))
        }
        RelayOutcome::NotTaken { retry_after } => {
            attempts.others_retry_after = retry_after;
            None
        }
        RelayOutcome::MayHaveRun(outcome) => {
            attempts.record(outcome, true);
            let refusal = attempts.final_refusal(Reason::AnswerLost, SHED_RETRY_AFTER);
            request_log.record_refusal(cx, origin.service.as_str(), &refusal, None);
            Some(Err(refusal))
        }
    }
}

fn strip_response(mut response: Response<Body>) -> Response<Body> {
    strip_connection_headers(response.headers_mut());
    response
}
