//! Notices that this host has lost its links to all upstreams.
//!
//! The load that this answers: a host whose links to upstreams are cut still gets the requests of
//! its callers. Connections to upstreams hang, are refused or are reset, or those that are open work
//! while new ones fail. To each upstream's state that looks like a fault of this upstream, and to
//! requests like overload. Only all upstreams together show the fault.
//!
//! Failures raise a suspicion: new connections to several upstreams fail, or many requests wait and
//! no upstream answers anything. Since upstreams may fail by themselves, probes of upstreams in all
//! regions confirm it. A host that lost its upstreams relays its callers' requests through other
//! hosts (see [`relay`](crate::relay)) and goes on probing until an upstream answers.
//!
//! The host that a request is relayed to may have lost its upstreams too. What it sent on silent
//! links counts as an attempt, and must not be sent again if it may be the last one. So after a
//! while without any answer it first waits for the answer to a probe (see [`Reachability::hold`]).

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::{Steering, Upstream, rendezvous};

/// Number of upstreams that are probed at once. With one in each region, no fault of a zone or
/// region looks like a loss of all.
pub const PROBES_PER_ROUND: usize = 3;

/// Time between two rounds of probes.
pub const PROBE_INTERVAL: Millis = Millis(500);

/// Time since an upstream's last answer after which a host probes because others of its region lost
/// their upstreams. Without requests of its own it would not notice that it lost them too.
const UNCONFIRMED_AFTER: Millis = Millis(2_000);

/// How long a probe waits for the upstream's answer.
pub const PROBE_TIMEOUT: Millis = Millis(500);

/// Number of upstreams with failed connections from which the host suspects its own links.
const MIN_FAILED_UPSTREAMS: usize = 2;

/// How long a failed connection counts.
const FAILURE_LIFETIME: Millis = Millis(1_500);

/// Time without any answer to requests after which upstreams may be lost.
const SILENCE: Millis = Millis(1_200);

/// Time for which rounds of probes without any answer show that upstreams are lost: as for few waiting
/// requests, since upstreams that are overloaded answer neither in time.
const PROBE_SILENCE: Millis = Millis(2_400);

/// Longest time between two rounds of probes that count together.
const MAX_ROUND_GAP: Millis = Millis(2_000);

/// The share of a request's time without an answer from any upstream after which a host whose links may be
/// silent gives it up for another one. A quarter is longer than the work on most requests.
const REPEATABLE_PATIENCE_DIVISOR: u64 = 4;

/// The share of a relayed request's time for which it is held until an upstream answers a probe. It is
/// small, since several hosts in turn may hold a request.
const HOLD_DIVISOR: u64 = 8;

/// The share of its time after which a request that can't be repeated is ended if the host lost its
/// upstreams.
const LAST_PATIENCE_DIVISOR: u64 = 2;

/// How long a host has to have lost its upstreams before it ends a request that must not be repeated:
/// two more rounds of probes went unanswered.
const CONFIRMED_LOSS: Millis = Millis(1_000);

/// Number of waiting requests from which [`SILENCE`] is suspicious. Fewer may just be slow, and are
/// suspicious after twice the time.
const MIN_WAITING_REQUESTS: u32 = 3;

/// Whether this host reaches its upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    /// The latest failed connection to each upstream since the last new connection that worked.
    failures: BTreeMap<UpstreamId, Millis>,
    waiting_requests: u32,
    /// When the first request was sent or held that no answer has followed, from any upstream.
    silent_since: Option<Millis>,
    answered_at: Option<Millis>,
    probed_at: Option<Millis>,
    probe_rounds: u64,
    /// When the first of the rounds of probes began that no answer has followed.
    unanswered_since: Option<Millis>,
    /// When another host last relayed a request to this one.
    relayed_at: Option<Millis>,
    /// Until when relayed requests are held for an answer; see [`Reachability::hold`].
    held_until: Option<Millis>,
    lost_since: Option<Millis>,
}

/// Reasons to probe upstreams besides a suspicion.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeReasons {
    /// Other hosts of the region lost their upstreams.
    pub others_lost: bool,
    /// Connections broke under requests, and no answer has come since; see
    /// [`unconfirmed`](crate::unconfirmed).
    pub unconfirmed_strikes: bool,
}

/// The outcome of one probe of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream answered, with any status.
    Answered,
    /// The connection was accepted, and no answer came in time; the upstream may be busy.
    Unanswered,
    /// No connection was made, or it ended before an answer.
    Failed,
}

/// A request that waits for an upstream's answer.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// When it was sent to the upstream.
    pub sent_at: Millis,
    /// The time it had left then.
    pub time_left: Millis,
    /// Whether it may still be sent to another upstream.
    pub may_repeat: bool,
    /// Whether another host relayed it and takes it back.
    pub goes_back: bool,
}

/// Whether a request waits on for an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// It does. The decision may change after this time, and when the host loses its upstreams.
    Continue(Option<Millis>),
    /// It does not: the host's links are silent.
    GiveUp,
}

/// The host lost its upstreams or reaches them again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No upstream can be reached.
    Lost,
    /// An upstream answered again.
    Regained {
        /// How long they were lost.
        after: Millis,
    },
}

impl Reachability {
    /// Returns whether the host has lost its links to all upstreams.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Returns whether the links to all upstreams may be lost.
    pub fn is_suspected(&self, now: Millis) -> bool {
        self.is_lost() || self.failed_upstreams(now) >= MIN_FAILED_UPSTREAMS || self.is_silent(now)
    }

    /// Returns whether `req` waits on for its answer. As long as upstreams answer anything, it does.
    ///
    /// The load that this answers: requests under way on links that became silent. Those that may be
    /// repeated are served by another host, the sooner the more of their time is left. Those that must
    /// not are ended once the loss is certain, since no answer will come.
    pub fn wait(&self, req: &WaitingRequest, now: Millis) -> Wait {
        let quiet_since = self.answered_at.map_or(req.sent_at, |at| at.max(req.sent_at));
        let repeated_at = quiet_since + Millis(req.time_left.0 / REPEATABLE_PATIENCE_DIVISOR);
        let ended_at = quiet_since + Millis(req.time_left.0 / LAST_PATIENCE_DIVISOR);
        let lost = self.lost_since.map(|lost_since| match req.may_repeat {
            true => repeated_at,
            false => ended_at.max(lost_since + CONFIRMED_LOSS),
        });
        let relayed = (req.goes_back && req.may_repeat).then_some(repeated_at);
        match lost.into_iter().chain(relayed).min() {
            Some(end) if end <= now => Wait::GiveUp,
            end => Wait::Continue(end.map(|end| end.since(now))),
        }
    }

    /// Returns the number of upstreams with recently failed connections.
    pub fn failed_upstreams(&self, now: Millis) -> usize {
        let is_recent = |at: &&Millis| now.since(**at) <= FAILURE_LIFETIME;
        self.failures.values().filter(is_recent).count()
    }

    fn is_silent(&self, now: Millis) -> bool {
        let silence =
            if self.waiting_requests >= MIN_WAITING_REQUESTS { SILENCE } else { SILENCE * 2 };
        self.waiting_requests > 0 && self.silent_for(now) >= silence
    }

    /// Returns the time since the first request that no answer has followed.
    fn silent_for(&self, now: Millis) -> Millis {
        self.silent_since.map_or(Millis::ZERO, |since| now.since(since))
    }

    /// Records that a request is being sent to an upstream.
    pub fn record_sent(&mut self, now: Millis) {
        self.waiting_requests += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records that a request to an upstream has ended, with an answer if `answered`.
    pub fn record_ended(&mut self, answered: bool, now: Millis) {
        self.waiting_requests = self.waiting_requests.saturating_sub(1);
        if answered {
            self.record_answer(now);
        }
    }

    /// Returns how long a relayed request with `time_left` is held until an upstream answers a probe,
    /// or `None` if it is sent at once.
    ///
    /// The load that this answers: requests that hosts whose links became silent hand on to each other.
    /// Links that delivered an answer within the time after which such a request is given up count as
    /// working, so that a busy host sends at once, and an idle one after a round trip.
    pub fn hold(&mut self, time_left: Millis, now: Millis) -> Option<Millis> {
        let patience = Millis(time_left.0 / REPEATABLE_PATIENCE_DIVISOR).min(UNCONFIRMED_AFTER);
        if self.answered_at.is_some_and(|at| now.since(at) < patience) {
            return None;
        }
        let held_for = Millis(time_left.0 / HOLD_DIVISOR).min(PROBE_TIMEOUT);
        self.held_until = self.held_until.max(Some(now + held_for));
        // Sent, it would wait for an answer as well.
        self.silent_since.get_or_insert(now);
        Some(held_for)
    }

    /// Returns whether an upstream has answered since `since`.
    pub fn has_answered_since(&self, since: Millis) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }

    fn record_answer(&mut self, now: Millis) {
        self.answered_at = Some(now);
        self.unanswered_since = None;
        self.held_until = None;
        self.silent_since = (self.waiting_requests > 0).then_some(now);
    }

    /// Records that a new connection to an upstream delivered an answer.
    pub fn record_new_connection(&mut self) {
        self.failures.clear();
    }

    /// Records that no connection to `upstream` could be made, or that one broke.
    pub fn record_failure(&mut self, upstream: &UpstreamId, now: Millis) {
        self.failures.retain(|_, at| now.since(*at) <= FAILURE_LIFETIME);
        self.failures.insert(upstream.clone(), now);
    }

    /// Returns whether upstreams should be probed.
    pub fn needs_probes(&self, reasons: ProbeReasons, now: Millis) -> bool {
        let ProbeReasons { others_lost, unconfirmed_strikes } = reasons;
        let is_unconfirmed = self.answered_at.is_none_or(|at| now.since(at) >= UNCONFIRMED_AFTER);
        // A host that relays has lost its upstreams.
        let relayed = self.relayed_at.is_some_and(|at| now.since(at) <= UNCONFIRMED_AFTER);
        let others_lost = others_lost || relayed;
        self.is_suspected(now)
            || unconfirmed_strikes
            || (others_lost && is_unconfirmed)
            || self.holds_requests(now)
    }

    fn holds_requests(&self, now: Millis) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Records that another host relayed a request to this one.
    pub fn record_relayed(&mut self, now: Millis) {
        self.relayed_at = Some(now);
    }

    /// Records that other hosts of the region lost their upstreams before this one has had an answer: it
    /// counts as having lost them too, until an upstream answers. Returns whether that is new.
    pub fn presume_lost(&mut self, now: Millis) -> bool {
        let presumes = self.answered_at.is_none() && !self.is_lost();
        if presumes {
            self.lost_since = Some(now);
        }
        presumes
    }

    /// Begins a round of probes if one is due, and returns its number.
    pub fn begin_probes(&mut self, reasons: ProbeReasons, now: Millis) -> Option<u64> {
        // Requests that are held wait for no interval if the last round was answered.
        let is_wanted = self.holds_requests(now) && self.unanswered_since.is_none();
        let is_due = is_wanted || self.probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if !is_due || !self.needs_probes(reasons, now) {
            return None;
        }
        let is_first = self.probed_at.is_none_or(|at| now.since(at) > MAX_ROUND_GAP);
        if is_first || self.unanswered_since.is_none() {
            self.unanswered_since = Some(now);
        }
        self.probed_at = Some(now);
        self.probe_rounds += 1;
        Some(self.probe_rounds)
    }

    /// Records the outcomes of a round of probes.
    pub fn record_probes(&mut self, outcomes: &[ProbeOutcome], now: Millis) -> Option<Change> {
        if outcomes.contains(&ProbeOutcome::Answered) {
            self.failures.clear();
            self.record_answer(now);
            let lost_since = self.lost_since.take()?;
            return Some(Change::Regained { after: now.since(lost_since) });
        }
        let all_failed = outcomes.iter().all(|outcome| *outcome == ProbeOutcome::Failed);
        let unanswered_for = self.unanswered_since.map_or(Millis::ZERO, |since| now.since(since));
        let is_silent = self.silent_for(now) >= SILENCE || unanswered_for >= PROBE_SILENCE;
        let is_lost = !outcomes.is_empty() && (all_failed || is_silent);
        if !is_lost || self.is_lost() {
            return None;
        }
        self.lost_since = Some(now);
        Some(Change::Lost)
    }
}

impl Steering {
    /// Returns the upstreams to probe in round `round`: one in each region before a second one in
    /// any, and others in the next round. Leaves out those that are cold, name limits or asked for a
    /// pause, which take few requests or none, and those whose service the configuration does not
    /// list, since only it tells the path of their health checks.
    pub fn upstreams_to_probe(&self, round: u64, now: Millis) -> Vec<Upstream> {
        let is_listed =
            |up: &Upstream| self.cfg.as_ref().is_some_and(|cfg| cfg.service(&up.service).is_some());
        let can_probe = |state: &&crate::upstream_state::UpstreamState| {
            self.is_available(state)
                && is_listed(&state.up)
                && state.cold_until <= now
                && state.named_limit.limit().is_none()
                && state.notices.paused_until(now).is_none()
        };
        let mut ranked: Vec<(u64, &RegionId, &Upstream)> = self
            .upstreams
            .iter()
            .filter(can_probe)
            .map(|state| {
                (rendezvous::weight(round, state.up.id.as_str()), &state.region, &state.up)
            })
            .collect();
        ranked.sort_unstable_by_key(|(weight, ..)| std::cmp::Reverse(*weight));
        let mut per_region: BTreeMap<&RegionId, usize> = BTreeMap::new();
        let mut spread: Vec<(usize, &Upstream)> = Vec::new();
        for (_, region, up) in ranked {
            let rank = per_region.entry(region).or_default();
            if *rank < PROBES_PER_ROUND {
                spread.push((*rank, up));
            }
            *rank += 1;
        }
        spread.sort_by_key(|(rank, _)| *rank);
        spread.into_iter().take(PROBES_PER_ROUND).map(|(_, up)| up.clone()).collect()
    }
}
