//! Serves callers through another host while this one reaches no upstream.
//!
//! A relayed request goes to the other host's address for callers, with a header that describes it.
//! The header counts only in requests from the addresses of hosts, and reaches no upstream.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use foxtail_net::http::{Body, full_body};
use foxtail_steer::Route;
use foxtail_steer::notice::NoticeReport;
use foxtail_steer::relay::{HandedBack, MAX_RELAY_OFFERS, RelayedRequest};
use foxtail_steer::rendezvous;
use foxtail_steer::steering::Outcome;
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use hyper::body::Incoming;
use hyper::http::header::RETRY_AFTER;
use hyper::http::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use parking_lot::Mutex;

use crate::attempt::{ForwardedRequest, outcome_name};
use crate::context::HostContext;
use crate::liveness::{Silent, while_alive};
use crate::pool::Conn;
use crate::refusal::Refusal;
use crate::request_body::SentBody;
use crate::response_body::{ResponseBody, chain_body, read_body};

/// Describes a relayed request as [`RelayedRequest`] in JSON. In responses to it, the value is the name
/// of a [`Disposition`] and, if upstreams said something of themselves and the first host wants to know,
/// a space and the [`NoticeReport`]s in JSON.
const RELAY: HeaderName = HeaderName::from_static("foxtail-relay");

/// In responses to relayed requests that are handed back although upstreams got them: the [`HandedBack`]
/// in JSON.
const HANDED_BACK: HeaderName = HeaderName::from_static("foxtail-relay-attempts");

/// What the host that relayed a request has to know of how it was served.
#[derive(Default)]
pub(crate) struct RelayFeedback {
    /// What the upstreams that answered said of themselves.
    pub(crate) notices: Mutex<Vec<NoticeReport>>,
    /// What was done with the request, if it is handed back although upstreams got it.
    pub(crate) handed_back: Mutex<Option<HandedBack>>,
}

/// What the host that a request was relayed to did with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disposition {
    /// An upstream answered it.
    Answered,
    /// The host refused it for its caller.
    Refused,
    /// The host did nothing with it, and another one may serve it.
    NotTaken,
    /// As [`NotTaken`](Self::NotTaken); the host reaches no upstream.
    UpstreamsLost,
}

impl Disposition {
    const ALL: [Self; 4] = [Self::Answered, Self::Refused, Self::NotTaken, Self::UpstreamsLost];

    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::NotTaken => "not-taken",
            Self::UpstreamsLost => "upstreams-lost",
        }
    }
}

/// The outcome of relaying a request.
pub(crate) enum RelayOutcome {
    /// The response of another host for the caller.
    Response(Response<Body>),
    /// No other host took the request. When the first of them may take it, if any said so.
    NotTaken {
        /// The time to come back.
        retry_after: Option<Millis>,
    },
    /// A host took the request, and may have passed it on. How the call to that host ended.
    MayHaveRun(Outcome),
}

/// How the call to one host ended.
enum Offer {
    Done(Disposition, Response<Body>),
    /// The host handed the request back.
    HandedBack {
        disposition: Disposition,
        by: HandedBack,
    },
    /// The host did not get the request.
    NotSent(std::io::Error),
    MayHaveRun(Outcome),
}

/// Removes the description of a relayed request from `headers`. Returns it if the request came from
/// a host at `from`.
pub(crate) fn take_relayed(
    cx: &HostContext,
    headers: &mut HeaderMap,
    from: IpAddr,
) -> Option<RelayedRequest> {
    let value = headers.remove(RELAY)?;
    if !cx.fleet.lock().is_host_address(from) {
        tracing::info!(event = "relay_ignored", %from);
        return None;
    }
    let relayed = serde_json::from_slice(value.as_bytes());
    relayed.inspect_err(|e| tracing::warn!(event = "relay_unreadable", %from, error = %e)).ok()
}

/// Marks the response to `relayed` with what this host did with it, and with what upstreams said of
/// themselves meanwhile.
pub(crate) fn mark_response(
    cx: &HostContext,
    response: Result<Response<Body>, Refusal>,
    relayed: &RelayedRequest,
    feedback: RelayFeedback,
) -> Response<Body> {
    let disposition = match &response {
        Ok(_) => Disposition::Answered,
        Err(refusal) => match refusal.reason {
            // Another host may have a newer configuration or more memory, or was not asked for a pause.
            Reason::NotReady
            | Reason::UnknownService
            | Reason::UpstreamsPaused
            | Reason::OutOfMemory => Disposition::NotTaken,
            Reason::UpstreamsLost if cx.reachability.lock().is_lost() => Disposition::UpstreamsLost,
            Reason::UpstreamsLost => Disposition::NotTaken,
            _ => Disposition::Refused,
        },
    };
    cx.metrics.count_relay(match disposition {
        Disposition::Answered => "served-answered",
        Disposition::Refused => "served-refused",
        Disposition::NotTaken | Disposition::UpstreamsLost => "served-not-taken",
    });
    let mut response = response.unwrap_or_else(|refusal| refusal.response());
    strip_mark(&mut response);
    let notices = if relayed.wants_notices { feedback.notices.into_inner() } else { Vec::new() };
    response.headers_mut().insert(RELAY, response_value(disposition, &notices));
    if let Some(handed_back) = feedback.handed_back.into_inner() {
        let value = serde_json::to_vec(&handed_back).map_err(anyhow::Error::from);
        match value.and_then(|json| Ok(HeaderValue::from_bytes(&json)?)) {
            Ok(value) => {
                response.headers_mut().insert(HANDED_BACK, value);
            }
            Err(e) => tracing::warn!(event = "attempts_not_encoded", error = %e),
        }
    }
    response
}

/// Removes the marks of a host from a response that is not from one. An upstream may have set it, and the
/// caller may be a host that takes this one for one of a version that relays.
pub(crate) fn strip_mark(response: &mut Response<Body>) {
    response.headers_mut().remove(RELAY);
    response.headers_mut().remove(HANDED_BACK);
}

fn response_value(disposition: Disposition, notices: &[NoticeReport]) -> HeaderValue {
    let name = disposition.as_str();
    if notices.is_empty() {
        return HeaderValue::from_static(name);
    }
    let notices = serde_json::to_string(notices).map_err(anyhow::Error::from);
    let value = notices.and_then(|json| Ok(HeaderValue::from_str(&format!("{name} {json}"))?));
    value.unwrap_or_else(|e| {
        tracing::warn!(event = "notices_not_encoded", error = %e);
        HeaderValue::from_static(name)
    })
}

/// Reads the value of [`RELAY`] in a response; `None` if no host has set it.
fn parse_response_value(value: &HeaderValue) -> Option<(Disposition, Vec<NoticeReport>)> {
    let value = value.to_str().ok()?;
    let (name, notices) = value.split_once(' ').unwrap_or((value, "[]"));
    let disposition = Disposition::ALL.into_iter().find(|known| known.as_str() == name)?;
    let notices = serde_json::from_str(notices).unwrap_or_else(|e| {
        tracing::warn!(event = "notices_unreadable", error = %e);
        Vec::new()
    });
    Some((disposition, notices))
}

/// Offers the request to other hosts until one takes it.
pub(crate) async fn relay(
    cx: &Arc<HostContext>,
    fwd: &ForwardedRequest<'_>,
    relayed: &mut RelayedRequest,
) -> RelayOutcome {
    let key = rendezvous::hash(fwd.id);
    let mut tried = Vec::new();
    let mut retry_after: Option<Millis> = None;
    while tried.len() < MAX_RELAY_OFFERS {
        let now = cx.now();
        if now >= fwd.deadline {
            break;
        }
        let Some((host, addr)) = select_host(cx, fwd.route, key, &tried) else { break };
        let mut tried_then = tried.clone();
        tried_then.push(host.clone());
        relayed.takes_back = tried_then.len() < MAX_RELAY_OFFERS
            && select_host(cx, fwd.route, key, &tried_then).is_some();
        let offer = offer(cx, fwd, relayed, &host, addr).await;
        let outcome = match &offer {
            Offer::Done(disposition, _) => disposition.as_str(),
            Offer::HandedBack { .. } => "handed-back",
            Offer::NotSent(_) => "unreachable",
            Offer::MayHaveRun(outcome) => outcome_name(*outcome),
        };
        cx.metrics.count_relay(outcome);
        tracing::info!(
            event = "relayed",
            request = fwd.id,
            to = %host,
            outcome,
            took_ms = cx.now().since(now).0,
            attempted = relayed.attempted.len(),
            error = match &offer {
                Offer::NotSent(e) => Some(tracing::field::display(e)),
                _ => None,
            },
        );
        match offer {
            Offer::HandedBack { disposition, by } => {
                if disposition == Disposition::UpstreamsLost {
                    cx.fleet.lock().record_upstreams_lost(&host);
                }
                relayed.record_handed_back(by);
                tried.push(host);
            }
            Offer::Done(Disposition::UpstreamsLost, _) => {
                cx.fleet.lock().record_upstreams_lost(&host);
                tried.push(host);
            }
            Offer::Done(Disposition::NotTaken, response) => {
                let later = retry_after_of(&response);
                retry_after = retry_after.into_iter().chain(later).min();
                tried.push(host);
            }
            Offer::NotSent(_) => tried.push(host),
            Offer::Done(_, response) => return RelayOutcome::Response(response),
            Offer::MayHaveRun(outcome) => return RelayOutcome::MayHaveRun(outcome),
        }
    }
    RelayOutcome::NotTaken { retry_after }
}

/// Selects the next host to offer a request of `route` to.
fn select_host(
    cx: &HostContext,
    route: &Route,
    key: u64,
    tried: &[HostId],
) -> Option<(HostId, SocketAddr)> {
    let fleet = cx.fleet.lock();
    let host = fleet.relay_target(route, key, tried, cx.now())?;
    Some((host.id.clone(), host.caller))
}

/// Returns when the host that refused a request takes it, if it says so.
fn retry_after_of(response: &Response<Body>) -> Option<Millis> {
    let secs: f64 = response.headers().get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    (secs > 0.0).then(|| Millis((secs * 1_000.0).ceil() as u64))
}

/// Sends the request to one host and reads its response, until the deadline.
async fn offer(
    cx: &HostContext,
    fwd: &ForwardedRequest<'_>,
    relayed: &mut RelayedRequest,
    host: &HostId,
    addr: SocketAddr,
) -> Offer {
    let left = fwd.deadline.since(cx.now()).duration();
    let conn = match tokio::time::timeout(left, connect(cx, fwd, host, addr)).await {
        Ok(Ok(conn)) => conn,
        Ok(Err(e)) => return Offer::NotSent(e),
        Err(_) => return Offer::NotSent(std::io::ErrorKind::TimedOut.into()),
    };
    relayed.time_left = fwd.deadline.since(cx.now());
    let req = match relay_request(fwd, relayed) {
        Ok(req) => req,
        Err(e) => return Offer::NotSent(std::io::Error::other(e)),
    };
    let left = relayed.time_left.duration();
    let silence_timeout = conn.prepare_for_body(fwd.body.len());
    let exchange = exchange(cx, fwd, host, conn, req);
    let exchange = while_alive(cx, addr, silence_timeout, exchange);
    match tokio::time::timeout(left, exchange).await {
        Ok(Ok(offer)) => offer,
        Ok(Err(Silent)) => Offer::MayHaveRun(Outcome::Silent),
        Err(_) => Offer::MayHaveRun(Outcome::TimedOut),
    }
}

async fn exchange(
    cx: &HostContext,
    fwd: &ForwardedRequest<'_>,
    host: &HostId,
    mut conn: Conn,
    req: Request<SentBody>,
) -> Offer {
    let response = match conn.send(req).await {
        Ok(response) => response,
        // The library returns the request only if no byte of it was written.
        Err(mut e) => match e.take_message() {
            Some(_) => return Offer::NotSent(std::io::Error::other(e.into_error())),
            None => return Offer::MayHaveRun(Outcome::Broken),
        },
    };
    read_response(cx, fwd, host, conn, response).await
}

async fn connect(
    cx: &HostContext,
    fwd: &ForwardedRequest<'_>,
    host: &HostId,
    addr: SocketAddr,
) -> std::io::Result<Conn> {
    let now = cx.now();
    match cx.relay_pool.take(host, fwd.route.idempotent, now) {
        Some(conn) => Ok(conn),
        None => cx.relay_pool.connect(addr, now).await,
    }
}

fn relay_request(
    fwd: &ForwardedRequest<'_>,
    relayed: &RelayedRequest,
) -> anyhow::Result<Request<SentBody>> {
    let mut req = fwd.to_request();
    let value = HeaderValue::from_bytes(&serde_json::to_vec(relayed)?)?;
    req.headers_mut().insert(RELAY, value);
    Ok(req)
}

async fn read_response(
    cx: &HostContext,
    fwd: &ForwardedRequest<'_>,
    host: &HostId,
    mut conn: Conn,
    response: Response<Incoming>,
) -> Offer {
    let (mut head, body) = response.into_parts();
    let marked = head.headers.remove(RELAY).as_ref().and_then(parse_response_value);
    let handed_back = head.headers.remove(HANDED_BACK);
    let Some((disposition, notices)) = marked else {
        // A host that does not know this one has served the request as a caller's own.
        return Offer::MayHaveRun(Outcome::Broken);
    };
    for report in &notices {
        cx.record_notice_report(report, host.as_str());
    }
    match read_body(&cx.memory, body).await {
        Ok(ResponseBody::Complete(bytes)) => {
            let limits = cx.steering.lock().config().map(|cfg| cfg.limits).unwrap_or_default();
            conn.idle_timeout = Some(limits.idle_timeout);
            cx.relay_pool.put(host, conn, cx.now());
            match handed_back.map(|value| serde_json::from_slice::<HandedBack>(value.as_bytes())) {
                None => Offer::Done(disposition, Response::from_parts(head, full_body(bytes))),
                Some(Ok(by)) => Offer::HandedBack { disposition, by },
                Some(Err(e)) => {
                    tracing::warn!(event = "attempts_unreadable", %host, error = %e);
                    Offer::MayHaveRun(Outcome::Broken)
                }
            }
        }
        Ok(ResponseBody::Partial(body)) => {
            let left = fwd.deadline.since(cx.now());
            let body = chain_body(body, left, fwd.id);
            Offer::Done(disposition, Response::from_parts(head, body))
        }
        Err(e) => {
            tracing::info!(event = "answer_broke_off", request = fwd.id, %host, error = %e);
            Offer::MayHaveRun(Outcome::Broken)
        }
    }
}
