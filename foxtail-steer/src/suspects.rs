//! Tracks requests that crash the upstreams which run them, so that hosts stop sending them.
//!
//! A caller that retries one faulty request at any host takes down one upstream each time,
//! including upstreams that serve everybody else. A connection that breaks before the answer counts
//! as a strike against the request. After three strikes by different upstreams without an answer in
//! between, no host sends the request any more. One answer clears the request: connections that
//! break under a healthy request are faults of upstreams and links.
//!
//! Hosts share strikes in their digests. A host that receives no digests still stops after three
//! strikes of its own, so that a request causes at most three crashes for each isolated host.

use std::collections::HashMap;
use std::fmt;

use foxtail_macro::{id, value};
use foxtail_types::prelude::*;

use crate::rendezvous;

/// Number of strikes from which a request is not sent any more.
pub const MAX_STRIKES: usize = 3;

/// How long a strike counts. A caller with a faulty request retries it for minutes, not for hours.
const STRIKE_LIFETIME: Millis = Millis::secs(600);

/// How long a strike is shared with other hosts. It spans several rounds of digests through all
/// regions.
const STRIKE_SHARE_PERIOD: Millis = Millis::secs(10);

/// Most strikes in one digest, so that the digest fits into one datagram.
const MAX_SHARED_STRIKES: usize = 16;

/// Most requests that are tracked. The request whose latest strike is the oldest is evicted first.
const MAX_SUSPECT_REQUESTS: usize = 1_024;

/// A stable hash of a request: its caller, method, host, path and body.
#[id]
pub struct Fingerprint(u64);

/// A strike as hosts share it.
#[value]
pub struct Strike {
    /// The request.
    pub request: Fingerprint,
    /// A stable hash of the upstream's incarnation.
    pub upstream: u64,
    /// Time since the strike.
    pub age: Millis,
}

/// The requests that broke connections, with their strikes.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: HashMap<Fingerprint, Vec<StoredStrike>>,
}

/// A strike as this host stores it.
#[derive(Clone, Copy, Debug)]
struct StoredStrike {
    upstream: u64,
    at: Millis,
}

impl Fingerprint {
    /// Computes the fingerprint of a request of `caller`.
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
    /// Records that the connection to `upstream` broke while the upstream ran `request`. `started`
    /// is the start of the upstream's incarnation, as in
    /// [`Upstream::started`](crate::Upstream::started). Returns the request's number of strikes, or
    /// `None` if this incarnation already has a strike against it.
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

    /// Records a strike that another host shared. Returns the request's number of strikes, or
    /// `None` if the strike is known or has expired.
    pub fn add_shared_strike(&mut self, strike: &Strike, now: Millis) -> Option<usize> {
        let at = Millis(now.0.saturating_sub(strike.age.0));
        self.insert(strike.request, StoredStrike { upstream: strike.upstream, at }, now)
    }

    /// Returns whether this host stores no strikes against `request`.
    pub fn has_no_strikes(&self, request: Fingerprint) -> bool {
        !self.requests.contains_key(&request)
    }

    /// Returns the number of stored strikes over all requests.
    pub fn strike_count(&self) -> usize {
        self.requests.values().map(Vec::len).sum()
    }

    /// Clears the strikes against `request` after an upstream answered it.
    pub fn clear(&mut self, request: Fingerprint) {
        self.requests.remove(&request);
    }

    /// Returns how long `request` must not be sent, or `None` if it may be sent.
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

    /// Returns the strikes to share with other hosts, the newest first.
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
