//! Selects the hosts through which a host that lost its upstreams serves its callers.
//!
//! A request passes at most two hosts: the one that a relayed request reaches sends it to an
//! upstream or refuses it, and never relays it again. That host decides as for its own callers, with
//! its own view of drains, limits and cold upstreams, and continues what the first host began: the
//! attempts made, whether one may have run, and the time left.

use foxtail_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fleet::{HostRecord, UpstreamAccess};
use crate::{Fleet, Route, rendezvous};

/// Most hosts that a request is offered to in turn. Each may have lost its upstreams without others
/// knowing it yet: of hosts of which a third has, one in 243 requests meets only such ones.
pub const MAX_RELAY_OFFERS: usize = 5;

/// What the host that a request is relayed to has to know of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// The address of the caller.
    pub caller: std::net::IpAddr,
    /// The time left.
    pub time_left: Millis,
    /// The service that the first host selected for it, and in whose retry budget it counted it.
    pub service: ServiceId,
    /// The upstreams that got the request from the first host. They count as attempts and are not
    /// selected again.
    pub attempted: Vec<UpstreamId>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
    /// Whether the first host understands reports of notices in the response; those of earlier versions
    /// do not.
    #[serde(default)]
    pub wants_notices: bool,
    /// Whether the first host takes the request back although upstreams may have got it, with a
    /// [`HandedBack`]: it knows another host to offer it to. Hosts of earlier versions do not.
    #[serde(default)]
    pub takes_back: bool,
}

/// What a host did with a relayed request that it handed back to the first host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedBack {
    /// The upstreams that got the request, including those that had got it before.
    pub attempted: Vec<UpstreamId>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
}

impl RelayedRequest {
    /// Records what a host did that handed the request back.
    pub fn record_handed_back(&mut self, handed_back: HandedBack) {
        self.attempted = handed_back.attempted;
        self.may_have_run |= handed_back.may_have_run;
    }
}

impl Fleet {
    /// Returns the host that a request of `route` is relayed to, or `None` if there is none: a host
    /// that serves, reaches its upstreams and is not in `tried`, of this region before others, and of
    /// these one that tells of notices of upstreams before those of earlier versions. Hosts of other
    /// regions that were not heard lately come last.
    ///
    /// A request with homes goes only to hosts of its homes, since its body must not enter other
    /// regions. `key` spreads requests over the hosts.
    pub fn relay_target(
        &self,
        route: &Route,
        key: u64,
        tried: &[HostId],
        now: Millis,
    ) -> Option<&HostRecord> {
        let own = self.own_record();
        let is_candidate = |record: &&HostRecord| {
            record.id != own.id
                && !tried.contains(&record.id)
                && (route.homes.is_empty() || route.homes.contains(&record.region))
        };
        let rank = |record: &&HostRecord| {
            let in_own_region = record.region == own.region;
            let knows_notices = self.knows_notices(&record.id);
            (in_own_region, knows_notices, rendezvous::weight(key, record.id.as_str()))
        };
        let alive = self.serving_hosts(UpstreamAccess::Available, now);
        alive
            .filter(is_candidate)
            .max_by_key(rank)
            .or_else(|| self.remote_hosts_heard_earlier(now).filter(is_candidate).max_by_key(rank))
    }
}
