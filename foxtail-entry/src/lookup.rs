//! Look-ups, health checks and the page of metrics.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use arc_swap::ArcSwap;
use foxtail_net::http::{Body, full_body};
use foxtail_place::BlockMap;
use foxtail_steer::Fleet;
use foxtail_steer::fleet::Record;
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::http::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;

use crate::answer::text;
use crate::cx::Cx;
use crate::ports::Lookup;

/// How long the hosts for callers of a zone are remembered: hosts die and come far less often than
/// callers ask.
const REMEMBER: Millis = Millis(100);

/// Where callers are, and which hosts they are told to use.
pub(crate) struct Directory {
    blocks: ArcSwap<BlockMap>,
    remembered: Mutex<HashMap<Place, Remembered>>,
}

/// Where a caller is.
type Place = (RegionId, ZoneId);

/// The hosts for callers of a place, and until when they are remembered.
struct Remembered {
    until: Millis,
    hosts: Arc<[SocketAddr]>,
}

impl Directory {
    pub(crate) fn new(blocks: BlockMap) -> Self {
        Self { blocks: ArcSwap::from_pointee(blocks), remembered: Mutex::default() }
    }

    pub(crate) fn set_blocks(&self, blocks: BlockMap) {
        self.blocks.store(Arc::new(blocks));
    }

    /// The region and zone of a caller at `from` that says `wanted` of itself; the host's own if
    /// nothing is known.
    fn place(&self, wanted: &Lookup, from: IpAddr, own: &Record) -> Place {
        let blocks = self.blocks.load();
        let site = blocks.find(from).filter(|_| wanted.region.is_none());
        let region = wanted.region.clone().or_else(|| site.map(|site| site.region.clone()));
        let zone = wanted.zone.clone().or_else(|| site.and_then(|site| site.zone.clone()));
        (region.unwrap_or_else(|| own.region.clone()), zone.unwrap_or_else(|| own.zone.clone()))
    }

    fn entries(&self, place: Place, fleet: &Fleet, now: Millis) -> Arc<[SocketAddr]> {
        let mut remembered = self.remembered.lock();
        if let Some(Remembered { hosts, .. }) = remembered.get(&place).filter(|it| it.until > now) {
            return Arc::clone(hosts);
        }
        let found = fleet.entries(&place.0, &place.1, now);
        let hosts: Arc<[SocketAddr]> = found.iter().map(|record| record.caller).collect();
        // Callers may name zones that do not exist.
        remembered.retain(|_, it| it.until > now);
        let until = now + REMEMBER;
        remembered.insert(place, Remembered { until, hosts: Arc::clone(&hosts) });
        hosts
    }
}

/// Answers a caller at `from` that asks which hosts to use.
pub(crate) fn lookup(cx: &Cx, req: &Request<Incoming>, from: IpAddr) -> Response<Body> {
    let Some(wanted) = cx.dialect.lookup(req.uri()) else {
        return text(StatusCode::NOT_FOUND, "unknown path");
    };
    let now = cx.now();
    let addrs = {
        let fleet = cx.fleet.lock();
        let place = cx.directory.place(&wanted, from, fleet.me());
        cx.directory.entries(place, &fleet, now)
    };
    cx.metrics.lookup();
    if addrs.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no host is ready");
    }
    let ttl = cx.settings.lock().lookup_ttl();
    let mut response = Response::new(full_body(cx.dialect.entries(&addrs, ttl)));
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
