//! Tracks the limits that upstreams name.
//!
//! An upstream in need names in its answers how many requests per second it takes from all hosts
//! together. Only the hosts that get such an answer learn of the limit by themselves, so hosts share
//! what they know in their digests.

use foxtail_macro::{id, value};
use foxtail_types::prelude::*;

use crate::Steering;

/// How long the end of a limit is shared with other hosts. A host that hears of the limit only
/// from others does not send to the upstream, and would keep the limit if it missed its end.
const END_SHARE_PERIOD: Millis = Millis::secs(60);

/// How long a change is part of the notices that are sent at once.
const NOTICE_PERIOD: Millis = Millis::secs(2);

/// Most limits in one digest, so that the digest fits into one datagram.
const MAX_SHARED_LIMITS: usize = 48;

/// A limit on the requests per second that an upstream takes from all hosts together.
#[id]
pub struct RateLimit {
    /// Thousandths of a request per second.
    milli_per_s: u32,
}

impl RateLimit {
    /// Returns the limit of `per_s` requests per second, or `None` if that is not a number or
    /// negative.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s >= 0.0).then_some(Self { milli_per_s: (per_s * 1_000.0) as u32 })
    }

    /// Returns the limit in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / 1_000.0
    }
}

/// What a host knows of an upstream's limit, as hosts share it.
#[value]
pub struct LimitReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The limit, or `None` if the upstream stopped naming one.
    pub limit: Option<RateLimit>,
    /// Time since the answer that the report is based on.
    pub age: Millis,
}

/// A change of what a host knows of an upstream's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The limit before the change.
    pub previous: Option<RateLimit>,
    /// The limit from now on, or `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// Time since the answer that the change is based on.
    pub age: Millis,
}

impl LimitChange {
    /// Returns whether the upstream began or stopped to name a limit.
    pub fn is_start_or_end(&self) -> bool {
        self.previous.is_some() != self.limit.is_some()
    }
}

/// The limit that an upstream names, as far as this host knows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NamedLimit {
    limit: Option<RateLimit>,
    /// Time up to which answers are accounted for, or `None` if the upstream never named a limit.
    as_of: Option<Millis>,
    /// When the upstream last began or stopped to name a limit.
    changed_at: Millis,
}

impl NamedLimit {
    /// Returns the limit in force.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records that the upstream named `limit`, or none, in its state at `as_of`. Returns the
    /// previous limit if it differs.
    fn record(
        &mut self,
        limit: Option<RateLimit>,
        as_of: Millis,
        now: Millis,
    ) -> Option<Option<RateLimit>> {
        if self.as_of.map_or(limit.is_none(), |known| as_of <= known) {
            return None;
        }
        self.as_of = Some(as_of);
        let previous = std::mem::replace(&mut self.limit, limit);
        if previous.is_some() != limit.is_some() {
            self.changed_at = now;
        }
        (previous != limit).then_some(previous)
    }
}

impl Steering {
    /// Returns the limit that an upstream names, if any.
    pub fn named_limit(&self, id: &UpstreamId) -> Option<RateLimit> {
        self.upstreams[*self.index_by_id.get(id)?].named_limit.limit()
    }

    /// Returns the number of upstreams that name a limit.
    pub fn named_limit_count(&self) -> usize {
        self.upstreams.iter().filter(|state| state.named_limit.limit().is_some()).count()
    }

    /// Records the limit in an answer to a request that was sent at `sent_at`, and returns the
    /// change.
    ///
    /// An answer without a limit ends one only if its request was sent after the last answer that
    /// named it: answers on different connections may overtake each other.
    pub fn record_limit(
        &mut self,
        id: &UpstreamId,
        limit: Option<RateLimit>,
        sent_at: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let as_of = if limit.is_some() { now } else { sent_at };
        self.update_limit(id, limit, as_of, now)
    }

    /// Merges the reports of another host, and returns the changes.
    pub fn merge_limits(&mut self, reports: &[LimitReport], now: Millis) -> Vec<LimitChange> {
        reports
            .iter()
            .filter_map(|report| {
                let as_of = Millis(now.0.saturating_sub(report.age.0));
                self.update_limit(&report.upstream, report.limit, as_of, now)
            })
            .collect()
    }

    fn update_limit(
        &mut self,
        id: &UpstreamId,
        limit: Option<RateLimit>,
        as_of: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let index = *self.index_by_id.get(id)?;
        let previous = self.upstreams[index].named_limit.record(limit, as_of, now)?;
        Some(LimitChange { upstream: id.clone(), previous, limit, age: now.since(as_of) })
    }

    /// Returns the next part of the known limits for a periodic digest; successive calls cover all
    /// of them.
    pub fn limits_to_share(&mut self, now: Millis) -> Vec<LimitReport> {
        let count = self.upstreams.len();
        let start = self.next_shared_limit % count.max(1);
        let mut reports = Vec::new();
        for offset in 0..count {
            let index = (start + offset) % count;
            if reports.len() == MAX_SHARED_LIMITS {
                self.next_shared_limit = index;
                break;
            }
            reports.extend(self.limit_report(index, END_SHARE_PERIOD, now));
        }
        reports
    }

    /// Returns the limits that recently began or ended, for a notice that is sent at once.
    pub fn changed_limits_to_share(&self, now: Millis) -> Vec<LimitReport> {
        let changed = |index: &usize| {
            let named = &self.upstreams[*index].named_limit;
            named.as_of.is_some() && now.since(named.changed_at) < NOTICE_PERIOD
        };
        (0..self.upstreams.len())
            .filter(changed)
            .filter_map(|index| self.limit_report(index, END_SHARE_PERIOD, now))
            .take(MAX_SHARED_LIMITS)
            .collect()
    }

    fn limit_report(&self, index: usize, end_period: Millis, now: Millis) -> Option<LimitReport> {
        let state = &self.upstreams[index];
        let NamedLimit { limit, as_of, changed_at } = state.named_limit;
        let ended_long_ago = limit.is_none() && now.since(changed_at) >= end_period;
        let as_of = as_of.filter(|_| !ended_long_ago)?;
        Some(LimitReport { upstream: state.up.id.clone(), limit, age: now.since(as_of) })
    }
}
