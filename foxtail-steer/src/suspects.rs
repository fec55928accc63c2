//! Tracks requests that crash the upstreams which run them, so that hosts stop sending them.
//!
//! A caller that retries one faulty request at any host takes down one upstream each time,
//! including upstreams that serve everybody else. A connection that breaks before the answer counts
//! as a strike against the request. After three strikes by different upstreams without an answer in
//! between, no host sends the request any more. One answer other than a failure of the upstream
//! clears the request on all hosts: connections that break under a healthy request are faults of
//! upstreams and links.
//!
//! Hosts share strikes in their digests, those against barred requests for as long as they count:
//! hosts that start later have to learn of them. A host that receives no digests still stops after
//! three strikes of its own, so that a request causes at most three crashes for each isolated host.

use std::collections::HashMap;
use std::fmt;

use foxtail_macro::{id, value};
use foxtail_types::prelude::*;

use crate::rendezvous;

/// Number of strikes from which a request is not sent any more.
pub const MAX_STRIKES: usize = 3;

/// How long after its newest strike a barred request may be tried once if its strikes came at the same
/// moment, as they do when the links of several hosts break under a popular request.
pub const TRIAL_INTERVAL: Millis = Millis::secs(2);

/// How long each region in turn may try such a request. By the end, the other regions have heard of a
/// strike against a trial.
const TRIAL_TURN: Millis = Millis(600);

/// Strikes against a request of any caller that are at most this far apart count as one: when links of
/// several hosts break at once, each of them has requests of a popular kind under way.
const SIMULTANEOUS: Millis = Millis(100);

/// How long a strike counts. A caller with a faulty request retries it for minutes, not for hours.
const STRIKE_LIFETIME: Millis = Millis::secs(600);

/// How long a strike against a request that is not barred is shared with other hosts. It spans
/// several rounds of digests through all regions.
const STRIKE_SHARE_PERIOD: Millis = Millis::secs(10);

/// Age from which a strike is more likely the fault of the request: the next attempt at a healthy one
/// would have been answered by then.
const LASTING_STRIKE_AGE: Millis = Millis(1_000);

/// Most strikes in one digest, so that the digest fits into one datagram.
const MAX_SHARED_STRIKES: usize = 16;

/// Most barred requests in one digest, which leaves room for other strikes. Successive digests cover
/// all of them.
const MAX_SHARED_BARS: usize = 2;

/// Most answers in one digest, so that the digest fits into one datagram.
const MAX_SHARED_ANSWERS: usize = 16;

/// Most fingerprints whose last answer is kept.
const MAX_ANSWERED_REQUESTS: usize = 4_096;

/// Most fingerprints that are tracked; one with few strikes is evicted first.
const MAX_SUSPECT_REQUESTS: usize = 2_048;

/// A stable hash of a request.
#[id]
pub struct Fingerprint(u64);

/// The fingerprints under which strikes against a request count.
///
/// A faulty request crashes upstreams whichever caller sends it. Strikes also count for each caller
/// alone: an answer to one caller does not clear what only the request of another one does, and hosts
/// of earlier versions share only these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// Of the caller, method, host, path and body.
    pub of_caller: Fingerprint,
    /// Of the method, host, path and body.
    pub of_any_caller: Fingerprint,
}

/// The turn of a host among those that may try a barred request, one of each region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialTurn {
    /// Its place among them, from 0.
    pub index: usize,
    /// How many regions there are.
    pub regions: usize,
}

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

/// An answer that cleared a request, as hosts share it.
#[value]
pub struct ClearingAnswer {
    /// The request.
    pub request: Fingerprint,
    /// Time since the answer.
    pub age: Millis,
}

/// The requests that broke connections, with their strikes.
#[derive(Debug, Default)]
pub struct Suspects {
    /// The strikes against each request, the oldest first.
    requests: HashMap<Fingerprint, Vec<StoredStrike>>,
    /// The last barred request in the previous digest.
    last_shared_bar: Option<Fingerprint>,
    /// The last answers to requests. Strikes before them do not count.
    answers: HashMap<Fingerprint, Answer>,
    /// When each barred request was last tried, if less than [`TRIAL_INTERVAL`] ago.
    trials: HashMap<Fingerprint, Millis>,
}

/// The last answer to a request.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Millis,
    /// Until when the answer is shared with other hosts, since it cleared strikes.
    share_until: Millis,
}

/// A strike as this host stores it.
#[derive(Clone, Copy, Debug)]
struct StoredStrike {
    upstream: u64,
    at: Millis,
    /// Whether this host recorded it, which then also knows whether a later attempt was answered.
    own: bool,
}

impl Fingerprints {
    /// Computes the fingerprints of a request of `caller`. Its body comes in parts, which do not matter
    /// for the fingerprints.
    pub fn new<'a>(
        caller: &str,
        method: &str,
        host: &str,
        path: &str,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let body = rendezvous::hash_parts(body);
        let of = |caller: &str| {
            Fingerprint(rendezvous::weight(body, &format!("{caller}\n{method}\n{host}\n{path}\n")))
        };
        Self { of_caller: of(caller), of_any_caller: of("") }
    }

    /// Returns both fingerprints.
    pub fn both(self) -> [Fingerprint; 2] {
        [self.of_any_caller, self.of_caller]
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
        self.insert(
            request,
            StoredStrike { upstream: incarnation(upstream, started), at: now, own: true },
            now,
        )
    }

    /// Records a strike that another host shared. Returns the request's number of strikes, or
    /// `None` if the strike is known or has expired.
    pub fn add_shared_strike(&mut self, strike: &Strike, now: Millis) -> Option<usize> {
        let at = Millis(now.0.saturating_sub(strike.age.0));
        if let Some(answer) = self.answers.get_mut(&strike.request)
            && at <= answer.at
        {
            // The other host does not know of the answer.
            answer.share_until = now + STRIKE_SHARE_PERIOD;
            return None;
        }
        self.insert(strike.request, StoredStrike { upstream: strike.upstream, at, own: false }, now)
    }

    /// Returns whether an incarnation of an upstream has a current strike against `request`.
    pub fn has_strike(
        &self,
        request: Fingerprint,
        upstream: &UpstreamId,
        started: Option<Millis>,
        now: Millis,
    ) -> bool {
        let upstream = incarnation(upstream, started);
        let mut strikes = self.requests.get(&request).into_iter().flatten();
        strikes.any(|strike| strike.upstream == upstream && is_current(strike, now))
    }

    /// Returns the number of current strikes against `request`.
    pub fn strikes_against(&self, request: Fingerprint, now: Millis) -> usize {
        let strikes = self.requests.get(&request).into_iter().flatten();
        strikes.filter(|strike| is_current(strike, now)).count()
    }

    /// Returns whether this host stores no strikes against `request`.
    pub fn has_no_strikes(&self, request: Fingerprint) -> bool {
        !self.requests.contains_key(&request)
    }

    /// Returns the number of stored strikes over all requests.
    pub fn strike_count(&self) -> usize {
        self.requests.values().map(Vec::len).sum()
    }

    /// Clears the strikes against `request` after an upstream answered it without a failure of its
    /// own.
    pub fn clear(&mut self, request: Fingerprint, now: Millis) {
        let had_strikes = self.requests.remove(&request).is_some();
        let share_until = if had_strikes { now + STRIKE_SHARE_PERIOD } else { Millis::ZERO };
        self.record_answer(request, Answer { at: now, share_until });
    }

    /// Clears the strikes that came before an answer at another host.
    pub fn add_shared_answer(&mut self, answer: &ClearingAnswer, now: Millis) {
        let at = Millis(now.0.saturating_sub(answer.age.0));
        if self.answers.get(&answer.request).is_some_and(|known| known.at >= at) {
            return;
        }
        if let Some(strikes) = self.requests.get_mut(&answer.request) {
            strikes.retain(|strike| strike.at > at);
            if strikes.is_empty() {
                self.requests.remove(&answer.request);
            }
        }
        let share_until = now + STRIKE_SHARE_PERIOD;
        self.record_answer(answer.request, Answer { at, share_until });
    }

    fn record_answer(&mut self, request: Fingerprint, mut answer: Answer) {
        if let Some(previous) = self.answers.get(&request) {
            answer.share_until = answer.share_until.max(previous.share_until);
        }
        if self.answers.len() >= MAX_ANSWERED_REQUESTS && !self.answers.contains_key(&request) {
            // Dropping the older half at once costs little for each answer.
            let mut times: Vec<Millis> = self.answers.values().map(|answer| answer.at).collect();
            let (_, median, _) = times.select_nth_unstable(MAX_ANSWERED_REQUESTS / 2);
            let median = *median;
            self.answers.retain(|_, answer| answer.at > median);
        }
        self.answers.insert(request, answer);
    }

    /// Returns the answers that cleared requests to share with other hosts, the newest first.
    pub fn answers_to_share(&self, now: Millis) -> Vec<ClearingAnswer> {
        let shared = self.answers.iter().filter(|(_, answer)| now <= answer.share_until);
        let mut answers: Vec<ClearingAnswer> = shared
            .map(|(request, answer)| ClearingAnswer {
                request: *request,
                age: now.since(answer.at),
            })
            .collect();
        answers.sort_by_key(|answer| answer.age);
        answers.truncate(MAX_SHARED_ANSWERS);
        answers
    }

    /// Returns how long `request` must not be sent, or `None` if it may be sent.
    pub fn barred_for(&self, request: Fingerprint, now: Millis) -> Option<Millis> {
        let decisive = decisive_strike(self.requests.get(&request)?)?;
        let expiry = decisive.at + STRIKE_LIFETIME;
        (expiry > now).then(|| expiry.since(now))
    }

    /// Returns whether `request`, which is barred by strikes at the same moment, may be sent once to see
    /// whether an upstream answers it, and records that it is. `turn` is that of this host, from
    /// [`Fleet::trial_turn`](crate::Fleet::trial_turn).
    ///
    /// Hosts take turns, so that trials follow each other and a request which crashes upstreams has
    /// enough strikes apart after two of them.
    pub fn begin_trial(&mut self, request: Fingerprint, turn: TrialTurn, now: Millis) -> bool {
        self.trials.retain(|_, at| now.since(*at) < TRIAL_INTERVAL);
        let strikes = self.requests.get(&request).filter(|strikes| is_barred(strikes, now));
        let Some(newest) = strikes.and_then(|strikes| strikes.last()) else { return false };
        let since_newest = now.since(newest.at);
        let turns = since_newest.since(TRIAL_INTERVAL).0 / TRIAL_TURN.0;
        let is_due = since_newest >= TRIAL_INTERVAL
            && turns % turn.regions.max(1) as u64 == turn.index as u64
            && !self.trials.contains_key(&request);
        if !is_due || self.barred_for_any_caller(request, now).is_some() {
            return false;
        }
        self.trials.insert(request, now);
        true
    }

    /// Returns how long a request must not be sent whichever caller it is from, as
    /// [`barred_for`](Self::barred_for). Strikes at the same moment count as one.
    pub fn barred_for_any_caller(&self, request: Fingerprint, now: Millis) -> Option<Millis> {
        let decisive = strikes_apart(self.requests.get(&request)?).nth(MAX_STRIKES - 1)?;
        let expiry = decisive.at + STRIKE_LIFETIME;
        (expiry > now).then(|| expiry.since(now))
    }

    /// Returns the strikes to share with other hosts: those against the next barred requests, and
    /// recent ones against others, first against requests with several strikes. Half of the latter are
    /// strikes of this host that no answer has cleared for a while, so that many connections which break
    /// at once do not crowd them out.
    pub fn strikes_to_share(&mut self, now: Millis) -> Vec<Strike> {
        let (barred, others): (Vec<_>, Vec<_>) =
            self.requests.iter().partition(|(_, strikes)| is_barred(strikes, now));
        let barred = next_requests(barred, self.last_shared_bar);
        let last_shared_bar = barred.last().map(|(request, _)| **request);
        let to_share = |request: &Fingerprint, strike: &StoredStrike| Strike {
            request: *request,
            upstream: strike.upstream,
            age: now.since(strike.at),
        };
        let mut shared: Vec<Strike> = Vec::new();
        for (request, strikes) in barred {
            // What bars the request of one caller, and what bars that of any.
            let mut decisive: Vec<&StoredStrike> = strikes.iter().rev().take(MAX_STRIKES).collect();
            for strike in strikes_apart(strikes).take(MAX_STRIKES) {
                if !decisive.iter().any(|known| known.upstream == strike.upstream) {
                    decisive.push(strike);
                }
            }
            shared.extend(decisive.into_iter().map(|strike| to_share(request, strike)));
        }
        let recent = others.into_iter().flat_map(|(request, strikes)| {
            strikes.iter().map(move |strike| (strikes.len(), strike.own, to_share(request, strike)))
        });
        let (mut lasting, mut fresh): (Vec<_>, Vec<_>) = recent
            .filter(|(_, _, strike)| strike.age <= STRIKE_SHARE_PERIOD)
            .partition(|(_, own, strike)| *own && strike.age >= LASTING_STRIKE_AGE);
        for strikes in [&mut lasting, &mut fresh] {
            strikes.sort_by_key(|(count, _, strike)| (std::cmp::Reverse(*count), strike.age));
        }
        let left = MAX_SHARED_STRIKES - shared.len();
        let rest = lasting.split_off(lasting.len().min(left / 2));
        let recent = lasting.into_iter().chain(fresh).chain(rest);
        shared.extend(recent.take(left).map(|(.., strike)| strike));
        self.last_shared_bar = last_shared_bar;
        shared
    }

    fn insert(&mut self, request: Fingerprint, strike: StoredStrike, now: Millis) -> Option<usize> {
        if !is_current(&strike, now) {
            return None;
        }
        if !self.requests.contains_key(&request) && self.requests.len() == MAX_SUSPECT_REQUESTS {
            self.evict_one(now);
        }
        let strikes = self.requests.entry(request).or_default();
        strikes.retain(|known| is_current(known, now));
        if strikes.iter().any(|known| known.upstream == strike.upstream) {
            return None;
        }
        let index = strikes.partition_point(|known| known.at <= strike.at);
        strikes.insert(index, strike);
        Some(strikes.len())
    }

    /// Makes room for one more request. Drops the one with the fewest strikes, since a bar must
    /// outlast strikes against requests that connections break under by chance; of several, the one
    /// whose latest strike is the oldest.
    fn evict_one(&mut self, now: Millis) {
        self.requests.retain(|_, strikes| strikes.iter().any(|strike| is_current(strike, now)));
        if self.requests.len() < MAX_SUSPECT_REQUESTS {
            return;
        }
        let rank = |strikes: &[StoredStrike]| {
            (strikes.len().min(MAX_STRIKES), strikes.last().map(|strike| strike.at))
        };
        let least = self.requests.iter().min_by_key(|(_, strikes)| rank(strikes));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }
}

/// Returns a stable hash of an upstream's incarnation.
fn incarnation(upstream: &UpstreamId, started: Option<Millis>) -> u64 {
    rendezvous::weight(started.unwrap_or_default().0, upstream.as_str())
}

fn is_current(strike: &StoredStrike, now: Millis) -> bool {
    now.since(strike.at) <= STRIKE_LIFETIME
}

/// Returns the oldest of the [`MAX_STRIKES`] newest strikes, with whose expiry a bar ends.
fn decisive_strike(strikes: &[StoredStrike]) -> Option<&StoredStrike> {
    strikes.iter().rev().nth(MAX_STRIKES - 1)
}

/// Returns the strikes that count against a request of any caller, the newest first: none within
/// [`SIMULTANEOUS`] of a later one that counts.
fn strikes_apart(strikes: &[StoredStrike]) -> impl Iterator<Item = &StoredStrike> {
    let mut counted: Option<Millis> = None;
    strikes.iter().rev().filter(move |strike| {
        let is_apart = counted.is_none_or(|later| later.since(strike.at) > SIMULTANEOUS);
        if is_apart {
            counted = Some(strike.at);
        }
        is_apart
    })
}

fn is_barred(strikes: &[StoredStrike], now: Millis) -> bool {
    decisive_strike(strikes).is_some_and(|strike| is_current(strike, now))
}

/// Returns up to [`MAX_SHARED_BARS`] of `requests`, beginning with the one that follows `last`.
fn next_requests<'s>(
    mut requests: Vec<(&'s Fingerprint, &'s Vec<StoredStrike>)>,
    last: Option<Fingerprint>,
) -> Vec<(&'s Fingerprint, &'s Vec<StoredStrike>)> {
    requests.sort_unstable_by_key(|(request, _)| **request);
    let covered = requests.partition_point(|(request, _)| Some(**request) <= last);
    requests.rotate_left(covered);
    requests.truncate(MAX_SHARED_BARS);
    requests
}
