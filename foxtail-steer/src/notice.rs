//! What upstreams say of themselves in their answers.
//!
//! An upstream that leaves says so in all its answers, also where its registration does not say it or
//! can't be written. It gets nothing more. Hosts share whom they know to leave in their digests.
//!
//! An upstream that refuses a request may ask the host to send it nothing for a while. Until then the
//! host neither sends it requests nor probes it; if no other upstream may take a request, its caller
//! is told when the first pause ends.
//!
//! What an upstream says holds for its incarnation, whatever becomes of its registration, and however
//! the answer came: to a request or probe of this host, or to a request that another host served for
//! it.

use std::collections::VecDeque;

use foxtail_macro::value;
use foxtail_types::prelude::*;

use crate::named_limit::NamedLimit;
use crate::steering::Steering;
use crate::{Route, Upstream};

/// Longest pause that an upstream can ask for; longer ones are taken for faults.
const MAX_PAUSE: Millis = Millis::secs(24 * 3_600);

/// How long the limit of an upstream is kept after its registration was removed. A live upstream
/// whose registration lapsed during a store outage registers again.
const LIMIT_KEEP_PERIOD: Millis = Millis::secs(60);

/// How long it is kept that an upstream without a registration leaves. It is longer than upstreams take
/// to leave; afterwards its identifier belongs to another incarnation, if to any.
const LEAVING_KEEP_PERIOD: Millis = Millis::secs(600);

/// Most leaving upstreams in one digest, so that the digest fits into one datagram. Successive digests
/// cover all of them.
const MAX_SHARED_LEAVING: usize = 24;

/// Most upstreams without a registration whose notices and limits are kept.
const MAX_KEPT: usize = 1_024;

/// What an upstream says of itself in one answer.
#[value]
#[derive(Copy, Default)]
pub struct Notice {
    /// Whether it leaves.
    pub leaving: bool,
    /// For how long it wants no requests of this host.
    pub pause: Option<Millis>,
}

/// What an incarnation of an upstream said of itself.
#[value]
pub struct NoticeReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the incarnation started, as in [`Upstream::started`].
    pub started: Option<Millis>,
    /// What it said.
    pub notice: Notice,
}

/// An incarnation of an upstream that leaves, as hosts share it.
#[value]
pub struct LeavingUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the incarnation started, as in [`Upstream::started`].
    pub started: Option<Millis>,
}

/// What is known from an incarnation's notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notices {
    /// Whether the upstream leaves.
    pub(crate) leaving: bool,
    /// When the upstream takes requests of this host again.
    paused_until: Millis,
}

/// What upstreams without a registration said of themselves, the oldest first: those whose
/// registration was removed, and those whose registration this host does not know yet.
#[derive(Debug, Default)]
pub(crate) struct UnregisteredUpstreams(VecDeque<UnregisteredUpstream>);

#[derive(Debug)]
struct UnregisteredUpstream {
    upstream: UpstreamId,
    started: Option<Millis>,
    named_limit: NamedLimit,
    notices: Notices,
    since: Millis,
}

impl Notice {
    /// Returns whether it says anything.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Notices {
    /// Returns when the upstream takes requests of this host again, if it does not yet.
    pub(crate) fn paused_until(&self, now: Millis) -> Option<Millis> {
        Some(self.paused_until).filter(|until| *until > now)
    }

    /// Adds a notice, and returns whether that changed anything.
    fn record(&mut self, notice: &Notice, now: Millis) -> bool {
        let before = *self;
        self.leaving |= notice.leaving;
        if let Some(pause) = notice.pause {
            // Answers on different connections may overtake each other.
            self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        }
        *self != before
    }

    /// Returns whether the notices of an incarnation that has been without a registration since `since`
    /// have an effect.
    fn is_current(&self, since: Millis, now: Millis) -> bool {
        self.paused_until > now || (self.leaving && now.since(since) <= LEAVING_KEEP_PERIOD)
    }
}

impl UnregisteredUpstreams {
    /// Keeps what an upstream said whose registration is removed.
    pub(crate) fn keep(
        &mut self,
        up: &Upstream,
        named_limit: NamedLimit,
        notices: Notices,
        now: Millis,
    ) {
        self.prune(now);
        if named_limit.limit().is_none() && !notices.is_current(now, now) {
            return;
        }
        let kept = self.entry(&up.id, up.started, now);
        kept.named_limit = named_limit;
        kept.notices = notices;
    }

    /// Records a notice of an incarnation that is not registered, and returns whether it is news.
    fn record(&mut self, report: &NoticeReport, now: Millis) -> bool {
        self.prune(now);
        self.entry(&report.upstream, report.started, now).notices.record(&report.notice, now)
    }

    /// Removes and returns what this incarnation of an upstream said before it was registered.
    pub(crate) fn take(&mut self, up: &Upstream, now: Millis) -> (NamedLimit, Notices) {
        self.prune(now);
        let Some(index) = self.position(&up.id, up.started) else { return Default::default() };
        let kept = self.0.remove(index).expect("the index was found");
        let has_limit = now.since(kept.since) <= LIMIT_KEEP_PERIOD;
        (if has_limit { kept.named_limit } else { NamedLimit::default() }, kept.notices)
    }

    fn position(&self, id: &UpstreamId, started: Option<Millis>) -> Option<usize> {
        self.0.iter().position(|kept| kept.upstream == *id && kept.started == started)
    }

    fn entry(
        &mut self,
        id: &UpstreamId,
        started: Option<Millis>,
        now: Millis,
    ) -> &mut UnregisteredUpstream {
        let index = self.position(id, started).unwrap_or_else(|| {
            if self.0.len() == MAX_KEPT {
                self.0.pop_front();
            }
            self.0.push_back(UnregisteredUpstream {
                upstream: id.clone(),
                started,
                named_limit: NamedLimit::default(),
                notices: Notices::default(),
                since: now,
            });
            self.0.len() - 1
        });
        &mut self.0[index]
    }

    fn prune(&mut self, now: Millis) {
        self.0.retain(|kept| {
            now.since(kept.since) <= LIMIT_KEEP_PERIOD || kept.notices.is_current(kept.since, now)
        });
    }
}

impl Steering {
    /// Records what an incarnation of an upstream says of itself, and returns whether that is news.
    pub fn record_notice(&mut self, report: &NoticeReport, now: Millis) -> bool {
        if report.notice.is_empty() {
            return false;
        }
        let registered = self.index_by_id.get(&report.upstream);
        match registered.map(|&index| &mut self.upstreams[index]) {
            Some(state) if state.up.started == report.started => {
                state.notices.record(&report.notice, now)
            }
            // An answer of an earlier incarnation.
            Some(state) if report.started < state.up.started => false,
            _ => self.unregistered.record(report, now),
        }
    }

    /// Returns the next of the upstreams to share with other hosts that leave although their
    /// registrations do not say so; successive calls cover all of them.
    pub fn leaving_to_share(&mut self) -> Vec<LeavingUpstream> {
        let count = self.upstreams.len();
        let start = self.next_shared_leaving % count.max(1);
        let mut shared = Vec::new();
        for offset in 0..count {
            let index = (start + offset) % count;
            if shared.len() == MAX_SHARED_LEAVING {
                self.next_shared_leaving = index;
                break;
            }
            let state = &self.upstreams[index];
            if state.notices.leaving && !state.up.draining && !state.removed {
                let (upstream, started) = (state.up.id.clone(), state.up.started);
                shared.push(LeavingUpstream { upstream, started });
            }
        }
        shared
    }

    /// Returns the number of registered upstreams that said that they leave.
    pub fn leaving_count(&self) -> usize {
        self.upstreams.iter().filter(|state| state.notices.leaving && !state.removed).count()
    }

    /// Returns the number of registered upstreams that asked for a pause which has not ended.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.upstreams.iter().filter(|state| state.notices.paused_until(now).is_some()).count()
    }

    /// Returns the time until an upstream may take a request of `route` for `service`, if all that
    /// could asked for a pause.
    pub fn time_until_unpaused(
        &self,
        service: &ServiceId,
        route: &Route,
        now: Millis,
    ) -> Option<Millis> {
        let indices = self.indices_by_service.get(service).into_iter().flatten();
        let pauses = indices
            .filter(|index| self.can_serve(**index, route))
            .map(|index| self.upstreams[*index].notices.paused_until(now));
        // `None`, an upstream without a pause, is the least.
        pauses.min().flatten().map(|until| until.since(now))
    }
}
