//! Handlers for look-ups, health checks and metrics.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use arc_swap::ArcSwap;
use foxtail_net::http::{Body, full_body};
use foxtail_place::BlockMap;
use foxtail_steer::Fleet;
use foxtail_steer::fleet::HostRecord;
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::http::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;

use crate::context::HostContext;
use crate::ports::{Area, Lookup};
use crate::refusal::text_response;

/// How long the hosts for callers of a location are cached: hosts join and fail far less often than
/// callers look them up.
const CACHE_TTL: Millis = Millis(100);

/// Locates callers and caches the hosts that they are told to use.
pub(crate) struct Directory {
    blocks: ArcSwap<BlockMap>,
    cache: Mutex<HashMap<CallerLocation, CachedHosts>>,
}

/// A caller's region and zone.
type CallerLocation = (RegionId, ZoneId);

/// The hosts for callers of a location, and when the cache entry expires.
struct CachedHosts {
    expires: Millis,
    hosts: Arc<[SocketAddr]>,
}

impl Directory {
    pub(crate) fn new(blocks: BlockMap) -> Self {
        Self { blocks: ArcSwap::from_pointee(blocks), cache: Mutex::default() }
    }

    pub(crate) fn set_blocks(&self, blocks: BlockMap) {
        self.blocks.store(Arc::new(blocks));
    }

    /// Drops the cached hosts, so that a change applies to the next look-up.
    pub(crate) fn clear_cache(&self) {
        self.cache.lock().clear();
    }

    /// Returns the location of the caller at `from`: as given in `query`, or else by its address
    /// if `query` has no region, or else that of this host, `own`.
    fn locate(&self, query: &Lookup, from: IpAddr, own: &HostRecord) -> CallerLocation {
        let blocks = self.blocks.load();
        let found = blocks.find(from).filter(|_| query.region.is_none());
        let region = query.region.clone().or_else(|| found.map(|found| found.region.clone()));
        let zone = query.zone.clone().or_else(|| found.and_then(|found| found.zone.clone()));
        (region.unwrap_or_else(|| own.region.clone()), zone.unwrap_or_else(|| own.zone.clone()))
    }

    fn hosts(&self, location: CallerLocation, fleet: &Fleet, now: Millis) -> Arc<[SocketAddr]> {
        let mut cache = self.cache.lock();
        if let Some(CachedHosts { hosts, .. }) =
            cache.get(&location).filter(|cached| cached.expires > now)
        {
            return Arc::clone(hosts);
        }
        let found = fleet.entry_hosts(&location.0, &location.1, now);
        let hosts: Arc<[SocketAddr]> = found.iter().map(|record| record.caller).collect();
        // Callers may send any zone name; expired entries would accumulate.
        cache.retain(|_, cached| cached.expires > now);
        let expires = now + CACHE_TTL;
        cache.insert(location, CachedHosts { expires, hosts: Arc::clone(&hosts) });
        hosts
    }
}

/// Answers a look-up by the caller at `from`: the hosts to use.
pub(crate) fn lookup(cx: &HostContext, req: &Request<Incoming>, from: IpAddr) -> Response<Body> {
    let Some(query) = cx.protocol.parse_lookup(req.uri()) else {
        return text_response(StatusCode::NOT_FOUND, "unknown path");
    };
    let now = cx.now();
    let addrs = {
        let fleet = cx.fleet.lock();
        let location = cx.directory.locate(&query, from, fleet.own_record());
        cx.directory.hosts(location, &fleet, now)
    };
    cx.metrics.count_lookup();
    if addrs.is_empty() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no host is ready");
    }
    let ttl = cx.settings.lock().lookup_ttl();
    let mut response = Response::new(full_body(cx.protocol.lookup_body(&addrs, ttl)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers the platform's health check: whether the host is ready.
pub(crate) fn health(cx: &HostContext, req: &Request<Incoming>) -> Response<Body> {
    if !cx.protocol.is_health_check(req.uri()) {
        return text_response(StatusCode::NOT_FOUND, "unknown path");
    }
    match cx.is_serving() {
        true => text_response(StatusCode::OK, "ready"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// Answers with all metrics in text format.
pub(crate) fn metrics(cx: &HostContext, _req: &Request<Incoming>) -> Response<Body> {
    let now = cx.now();
    let hosts = cx.fleet.lock().alive_count(now);
    let strikes = cx.suspects.lock().strike_count();
    let (upstreams, named_limits, leaving, paused) = {
        let steering = cx.steering.lock();
        let (leaving, paused) = (steering.leaving_count(), steering.paused_count(now));
        (steering.upstream_count(), steering.named_limit_count(), leaving, paused)
    };
    cx.metrics.set_view_age("operators", cx.view_age(Area::Operators));
    cx.metrics.set_view_age("upstreams", cx.view_age(Area::Upstreams));
    cx.metrics.set_gauges(hosts, upstreams, strikes);
    cx.metrics.set_memory(cx.memory.usage());
    cx.metrics.set_named_limits(named_limits);
    cx.metrics.set_noticed(leaving, paused);
    cx.metrics.set_upstreams_lost(cx.reachability.lock().is_lost());
    text_response(StatusCode::OK, cx.metrics.page())
}
