//! A caller's request, from its head to its answer.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use foxtail_net::http::Body;
use foxtail_steer::steering::{Estimate, Outcome, Placement, Request as Wanted};
use foxtail_steer::suspects::Fingerprint;
use foxtail_steer::{Config, Route, Upstream};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};

use crate::answer::Refusal;
use crate::attempt::{Forward, Tried, attempt, name};
use crate::cx::Cx;
use crate::gossip::STRIKES_TOLD_AT_ONCE;
use crate::ports::Call;

/// A caller that names no deadline waits this long.
const PATIENCE_DEFAULT: Millis = Millis::secs(30);

/// A request is not sent with less time left than this: no upstream could answer it.
const LEFT_LEAST: Millis = Millis(5);

/// Callers of a host that has no configuration yet are told to come back after this long.
const NOT_READY_AFTER: Millis = Millis(300);

/// Callers are told to come back after this long where no upstream may take their request.
const NO_UPSTREAM_AFTER: Millis = Millis(250);

/// Callers are told to come back after this long when an upstream refused their request.
const SHED_AFTER: Millis = Millis(100);

/// The most upstreams that a request is offered to, counting those that could not be reached.
const OFFERS_MOST: usize = 4;

/// The most bytes of request bodies that are held at a time.
const BODIES_MOST: u64 = 48 * 1024 * 1024;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// Headers of one connection that have no name in the library.
const HOP_BY_HOP_OTHER: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];

/// What is told of a request when it has ended.
struct Story<'a> {
    call: &'a Call,
    arrived: Millis,
    offers: usize,
    version: Version,
}

/// Answers `req`.
pub(crate) async fn handle(cx: Arc<Cx>, req: Request<Incoming>, caller: IpAddr) -> Response<Body> {
    let arrived = cx.now();
    cx.requests.fetch_add(1, Ordering::Relaxed);
    let mut response = match serve(&cx, req, caller, arrived).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    };
    if cx.life.leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(
    cx: &Arc<Cx>,
    req: Request<Incoming>,
    caller: IpAddr,
    arrived: Millis,
) -> Result<Response<Body>, Refusal> {
    let (mut head, body) = req.into_parts();
    let call = cx.dialect.call(&head.headers).map_err(|why| {
        tracing::info!(event = "request_rejected", %why, path = head.uri.path());
        Refusal::wrong(StatusCode::BAD_REQUEST, Reason::BadRequest)
    })?;
    let cfg = match cx.steering.lock().config().cloned() {
        Some(cfg) if cx.life.leaving() || cx.serving() => cfg,
        _ => {
            let refusal = Refusal::not_run(Reason::NotReady, NOT_READY_AFTER);
            let version = Version::default();
            let story = Story { call: &call, arrived, offers: 0, version };
            story.refused(cx, "-", &refusal, None);
            return Err(refusal);
        }
    };
    let mut story = Story { call: &call, arrived, offers: 0, version: cfg.version };
    let Some(route) = find(&cfg, &head) else {
        let refusal = Refusal::wrong(StatusCode::NOT_FOUND, Reason::UnknownService);
        story.refused(cx, "-", &refusal, None);
        return Err(refusal);
    };
    let patience = call.patience.unwrap_or(PATIENCE_DEFAULT);
    let until = arrived + patience.min(route.timeout);
    let body = collect(cx, body, cfg.limits.body_bytes, until).await;
    let body = body.inspect_err(|refusal| story.refused(cx, "-", refusal, None))?;
    strip(&mut head.headers);
    let held = Held::new(cx, body.len() as u64);
    let print = fingerprint(caller, &head, &body);
    if let Some(barred) = cx.suspects.lock().barred_for(print, arrived) {
        let refusal = Refusal::not_run(Reason::CrashedUpstreams, barred);
        tracing::info!(event = "barred", request = call.id, fingerprint = %print);
        story.refused(cx, "-", &refusal, None);
        return Err(refusal);
    }
    let result = forward(cx, &mut story, route, &head, (body, print), until).await;
    drop(held);
    result
}

/// The host name that the caller asks for, with a port if it names one.
fn host(head: &Parts) -> Option<&str> {
    let named = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host())
}

fn find<'c>(cfg: &'c Config, head: &Parts) -> Option<&'c Route> {
    let host = host(head)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    cfg.route(name, head.uri.path())
}

fn fingerprint(caller: IpAddr, head: &Parts, body: &[u8]) -> Fingerprint {
    let host = host(head).unwrap_or_default();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::new(&caller.to_string(), head.method.as_str(), host, path, body)
}

/// Reads a whole request body.
async fn collect(cx: &Cx, body: Incoming, most: usize, until: Millis) -> Result<Bytes, Refusal> {
    let declared = hyper::body::Body::size_hint(&body).lower();
    if cx.body_bytes.load(Ordering::Relaxed) + declared > BODIES_MOST {
        return Err(Refusal::not_run(Reason::Overloaded, SHED_AFTER));
    }
    let left = until.since(cx.now()).duration();
    match tokio::time::timeout(left, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::wrong(StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge))
        }
        Ok(Err(_)) => Err(Refusal::wrong(StatusCode::BAD_REQUEST, Reason::BadRequest)),
        Err(_) => Err(Refusal::not_run(Reason::DeadlinePassed, SHED_AFTER)),
    }
}

/// Removes the headers that concern only the caller's connection.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_OTHER {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

async fn forward(
    cx: &Arc<Cx>,
    story: &mut Story<'_>,
    route: &Route,
    head: &Parts,
    (body, print): (Bytes, Fingerprint),
    until: Millis,
) -> Result<Response<Body>, Refusal> {
    let hosts = cx.fleet.lock().host_count();
    let service = {
        let mut steering = cx.steering.lock();
        let service = steering.next_service(route).cloned();
        if let Some(service) = &service {
            steering.record_request(service, hosts, cx.now());
        }
        service
    };
    let Some(service) = service else {
        let refusal = Refusal::not_run(Reason::NoUpstream, NO_UPSTREAM_AFTER);
        story.refused(cx, &route.name, &refusal, None);
        return Err(refusal);
    };
    let fwd = Forward {
        id: &story.call.id,
        route,
        service: &service,
        object: story.call.object.filter(|_| route.affinity),
        method: &head.method,
        uri: &head.uri,
        headers: &head.headers,
        body,
        until,
    };
    let mut tries = Tries::default();
    let refusal = loop {
        let now = cx.now();
        if until.since(now) < LEFT_LEAST {
            break tries.out_of_time();
        }
        let wanted = Wanted {
            route,
            service: &service,
            object: fwd.object,
            age: now.since(story.arrived),
            tried: &tries.upstreams,
        };
        let placement = {
            let fleet = cx.fleet.lock();
            cx.steering.lock().place(&wanted, &fleet, now)
        };
        let (up, why) = match placement {
            Placement::Send { up, estimate } => (up, estimate),
            Placement::Overloaded { retry_after, best, estimate } => {
                let refusal = tries.give_up(Reason::Overloaded, retry_after);
                story.refused(cx, service.as_str(), &refusal, Some((&best, &estimate)));
                return Err(refusal);
            }
            Placement::NoUpstream => break tries.give_up(Reason::NoUpstream, NO_UPSTREAM_AFTER),
        };
        if tries.arrivals > 0 && !cx.steering.lock().try_take_retry(&service, hosts, now) {
            break tries.give_up(Reason::UpstreamUnavailable, SHED_AFTER);
        }
        story.placed(&up.id, &service, &why);
        story.offers += 1;
        tries.upstreams.push(up.id.clone());
        match attempt(cx, &up, &fwd, why.wait_ms).await {
            Tried::Answered(response) => {
                cx.suspects.lock().clear(print);
                story.answered(cx, &service, response.status());
                return Ok(answer_of(response));
            }
            Tried::NotRun(ended) => tries.note(ended, false),
            Tried::MayHaveRun(ended) => {
                tries.note(ended, true);
                if ended == Outcome::Broken && story.struck(cx, print, &up) {
                    break tries.give_up(Reason::CrashedUpstreams, SHED_AFTER);
                }
            }
        }
        if !tries.may_go_on(route) {
            break tries.give_up(Reason::UpstreamUnavailable, SHED_AFTER);
        }
    };
    story.refused(cx, service.as_str(), &refusal, None);
    Err(refusal)
}

fn answer_of(mut response: Response<Body>) -> Response<Body> {
    strip(response.headers_mut());
    response
}

/// What became of the sendings of a request so far.
#[derive(Default)]
struct Tries {
    upstreams: Vec<UpstreamId>,
    /// How many of them reached an upstream.
    arrivals: u32,
    may_have_run: bool,
    timed_out: bool,
}

impl Tries {
    fn note(&mut self, ended: Outcome, may_have_run: bool) {
        self.arrivals += u32::from(ended != Outcome::Unreachable);
        self.may_have_run |= may_have_run;
        self.timed_out |= ended == Outcome::TimedOut;
    }

    fn may_go_on(&self, route: &Route) -> bool {
        (route.idempotent || !self.may_have_run)
            && !self.timed_out
            && self.arrivals < route.max_attempts
            && self.upstreams.len() < OFFERS_MOST
    }

    /// The final answer where no more is tried.
    fn give_up(&self, reason: Reason, retry_after: Millis) -> Refusal {
        if self.timed_out {
            Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, Reason::AnswerLost)
        } else if self.may_have_run {
            Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::AnswerLost)
        } else {
            Refusal::not_run(reason, retry_after)
        }
    }

    fn out_of_time(&self) -> Refusal {
        self.give_up(Reason::DeadlinePassed, SHED_AFTER)
    }
}

impl Story<'_> {
    fn placed(&self, up: &UpstreamId, service: &ServiceId, why: &Estimate) {
        tracing::info!(
            event = "placed",
            request = self.call.id,
            %service,
            object = self.call.object.map(tracing::field::display),
            upstream = %up,
            expected_ms = why.expected_ms as u64,
            wait_ms = why.wait_ms as u64,
            load = format_args!("{:.1}", why.load),
            report_age_ms = why.report_age.map(|age| age.0),
            in_time = format_args!("{:.2}", why.in_time_probability),
            utility = format_args!("{:.2}", why.utility),
            candidates = why.candidates,
            last_resort = why.last_resort,
            version = %self.version,
        );
    }

    /// Notes that the connection to `up` broke under the request, and tells whether it is not to be
    /// sent any more.
    fn struck(&self, cx: &Cx, print: Fingerprint, up: &Upstream) -> bool {
        let now = cx.now();
        let mut suspects = cx.suspects.lock();
        if let Some(strikes) = suspects.record_strike(print, &up.id, up.started, now) {
            tracing::info!(event = "suspect", request = self.call.id, fingerprint = %print, strikes,
                upstream = %up.id);
            if strikes >= STRIKES_TOLD_AT_ONCE {
                cx.news.notify_one();
            }
        }
        suspects.barred_for(print, now).is_some()
    }

    fn answered(&self, cx: &Cx, service: &ServiceId, status: StatusCode) {
        let took = cx.now().since(self.arrived);
        cx.metrics.request(service.as_str(), "answered", took);
        tracing::info!(
            event = "request",
            request = self.call.id,
            outcome = name(Outcome::Answered),
            %service,
            status = status.as_u16(),
            offers = self.offers,
            took_ms = took.0,
            version = %self.version,
        );
    }

    fn refused(
        &self,
        cx: &Cx,
        service: &str,
        refusal: &Refusal,
        best: Option<(&UpstreamId, &Estimate)>,
    ) {
        let why = best.map(|(_, why)| why);
        let took = cx.now().since(self.arrived);
        cx.metrics.request(service, refusal.reason.as_str(), took);
        tracing::info!(
            event = "request",
            request = self.call.id,
            outcome = refusal.reason.as_str(),
            service,
            status = refusal.status.as_u16(),
            offers = self.offers,
            took_ms = took.0,
            retry_after_ms = refusal.retry_after.map(|after| after.0),
            upstream = best.map(|(id, _)| tracing::field::display(id)),
            load = why.map(|why| tracing::field::display(format!("{:.1}", why.load))),
            expected_ms = why.map(|why| why.expected_ms as u64),
            wait_ms = why.map(|why| why.wait_ms as u64),
            report_age_ms = why.and_then(|why| why.report_age).map(|age| age.0),
            utility = why.map(|why| tracing::field::display(format!("{:.2}", why.utility))),
            version = %self.version,
        );
    }
}

/// Bytes of a body that count as held while this lives.
struct Held<'a> {
    cx: &'a Cx,
    bytes: u64,
}

impl<'a> Held<'a> {
    fn new(cx: &'a Cx, bytes: u64) -> Self {
        cx.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        Self { cx, bytes }
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.cx.body_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
