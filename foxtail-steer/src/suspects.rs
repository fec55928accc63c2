//! Requests that crash the upstreams which run them.
//!
//! The load it answers: one broken request, sent again and again by its caller to any host, takes
//! down one upstream each time, also those of everybody else. A connection that breaks before the
//! answer is a strike against the request; three strikes by different upstreams without a single
//! answer between them, and no host sends it any more. One answer clears a request: what breaks
//! connections under a healthy request are faults of upstreams and links.
//!
//! Hosts tell each other of strikes in their digests. A host that hears nothing still stops after
//! three strikes of its own, so that the sum is bounded by three for each host that is cut off.

use std::collections::HashMap;
use std::fmt;

use foxtail_macro::{id, value};
use foxtail_types::prelude::*;

use crate::rendezvous;

/// Strikes after which a request is not sent any more.
pub const MAX_STRIKES: usize = 3;

/// How long a strike counts: a caller with a broken request tries it for minutes, not for hours.
const STRIKE_LIFETIME: Millis = Millis::secs(600);

/// How long other hosts are told of a strike: several rounds of digests through all regions.
const STRIKE_SHARE_PERIOD: Millis = Millis::secs(10);

/// The most strikes in one digest, so that it stays within one datagram.
const MAX_SHARED_STRIKES: usize = 16;

/// The most requests that are remembered; the ones struck longest ago are forgotten first.
const MAX_SUSPECT_REQUESTS: usize = 1_024;

/// A stable number for a request: its caller, method, path and body.
#[id]
pub struct Fingerprint(u64);

/// One strike, as hosts tell it.
#[value]
pub struct Strike {
    /// The request.
    pub request: Fingerprint,
    /// A stable number for the upstream's incarnation.
    pub upstream: u64,
    /// How long ago it was.
    pub age: Millis,
}

/// The requests that broke connections, and how often.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: HashMap<Fingerprint, Vec<StoredStrike>>,
}

/// A strike as it is kept.
#[derive(Clone, Copy, Debug)]
struct StoredStrike {
    upstream: u64,
    at: Millis,
}

impl Fingerprint {
    /// The fingerprint of a request of `caller`.
    pub fn new(caller: &str, method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let head = format!("{caller}\n{method}\n{host}\n{path}\n");
        Self(rendezvous::weight(rendezvous::hash_bytes(body), &head))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Suspects {
    /// Notes that the connection to `upstream`, which was started at `started`, broke under
    /// `request`. Tells how many strikes there are now, or nothing if this one is known.
    pub fn record_strike(
        &mut self,
        request: Fingerprint,
        upstream: &UpstreamId,
        started: Option<Millis>,
        now: Millis,
    ) -> Option<usize> {
        let started = started.unwrap_or_default().0;
        let upstream = rendezvous::weight(started, upstream.as_str());
        self.insert(request, StoredStrike { upstream, at: now }, now)
    }

    /// Takes in what another host told. Tells how many strikes there are now, or nothing if this
    /// one is known.
    pub fn add_shared_strike(&mut self, strike: &Strike, now: Millis) -> Option<usize> {
        let at = Millis(now.0.saturating_sub(strike.age.0));
        self.insert(strike.request, StoredStrike { upstream: strike.upstream, at }, now)
    }

    /// Whether nothing is held against `request`.
    pub fn has_no_strikes(&self, request: Fingerprint) -> bool {
        !self.requests.contains_key(&request)
    }

    /// How many strikes are kept, over all requests.
    pub fn strike_count(&self) -> usize {
        self.requests.values().map(Vec::len).sum()
    }

    /// Clears `request`: an upstream answered it.
    pub fn clear(&mut self, request: Fingerprint) {
        self.requests.remove(&request);
    }

    /// For how long `request` is not to be sent, if it isn't.
    pub fn barred_for(&self, request: Fingerprint, now: Millis) -> Option<Millis> {
        let strikes = self.requests.get(&request)?;
        let mut expiries: Vec<Millis> =
            strikes.iter().map(|strike| strike.at + STRIKE_LIFETIME).collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        expiries
            .get(MAX_STRIKES - 1)
            .filter(|expiry| **expiry > now)
            .map(|expiry| expiry.since(now))
    }

    /// The strikes that other hosts are told of, the newest first.
    pub fn strikes_to_share(&self, now: Millis) -> Vec<Strike> {
        let all = self.requests.iter().flat_map(|(request, strikes)| {
            strikes.iter().map(|strike| Strike {
                request: *request,
                upstream: strike.upstream,
                age: now.since(strike.at),
            })
        });
        let mut found: Vec<Strike> =
            all.filter(|strike| strike.age <= STRIKE_SHARE_PERIOD).collect();
        found.sort_by_key(|strike| strike.age);
        found.truncate(MAX_SHARED_STRIKES);
        found
    }

    fn insert(&mut self, request: Fingerprint, strike: StoredStrike, now: Millis) -> Option<usize> {
        if !is_current(&strike, now) {
            return None;
        }
        if !self.requests.contains_key(&request) && self.requests.len() == MAX_SUSPECT_REQUESTS {
            self.evict_oldest(now);
        }
        let strikes = self.requests.entry(request).or_default();
        strikes.retain(|known| is_current(known, now));
        if strikes.iter().any(|known| known.upstream == strike.upstream) {
            return None;
        }
        strikes.push(strike);
        Some(strikes.len())
    }

    fn evict_oldest(&mut self, now: Millis) {
        self.requests.retain(|_, strikes| strikes.iter().any(|strike| is_current(strike, now)));
        let newest = |strikes: &[StoredStrike]| strikes.iter().map(|strike| strike.at).max();
        let oldest = self.requests.iter().min_by_key(|(_, strikes)| newest(strikes));
        if let Some(request) = oldest.map(|(request, _)| *request)
            && self.requests.len() == MAX_SUSPECT_REQUESTS
        {
            self.requests.remove(&request);
        }
    }
}

fn is_current(strike: &StoredStrike, now: Millis) -> bool {
    now.since(strike.at) <= STRIKE_LIFETIME
}
