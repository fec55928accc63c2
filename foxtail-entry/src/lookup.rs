//! Look-ups, health checks and the page of metrics.

use std::net::SocketAddr;

use foxtail_net::http::{Body, body_of};
use hyper::body::Incoming;
use hyper::http::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::answer::text;
use crate::cx::Cx;

/// Answers a caller that asks which hosts to use.
pub(crate) fn lookup(cx: &Cx, req: &Request<Incoming>) -> Response<Body> {
    let Some(wanted) = cx.dialect.lookup(req.uri()) else {
        return text(StatusCode::NOT_FOUND, "unknown path");
    };
    let now = cx.now();
    let addrs: Vec<SocketAddr> = {
        let fleet = cx.fleet.lock();
        let entries = fleet.entries(&wanted.region, &wanted.zone, now);
        entries.iter().map(|record| record.caller).collect()
    };
    cx.metrics.lookup();
    if addrs.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no host is ready");
    }
    let ttl = cx.settings.lock().lookup_ttl();
    let mut response = Response::new(body_of(cx.dialect.entries(&addrs, ttl)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers the platform's question whether the host is ready.
pub(crate) fn health(cx: &Cx, req: &Request<Incoming>) -> Response<Body> {
    if !cx.dialect.is_health_check(req.uri()) {
        return text(StatusCode::NOT_FOUND, "unknown path");
    }
    match cx.serving() {
        true => text(StatusCode::OK, "ready"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// Answers with all metrics as text.
pub(crate) fn metrics(cx: &Cx, _req: &Request<Incoming>) -> Response<Body> {
    let now = cx.now();
    let hosts = cx.fleet.lock().alive(now);
    let strikes = cx.suspects.lock().strikes();
    cx.metrics.sizes(hosts, cx.steering.lock().upstreams(), strikes);
    text(StatusCode::OK, cx.metrics.page())
}
