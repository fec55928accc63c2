//! The health of a pool's upstreams, as the pool's owner sees it.
//!
//! Own observations come first. An upstream's report of its load is a hint that ages out, except
//! for its word that it is leaving, which holds until a newer word or [`Options::leaving_hold`].

use foxtail_types::prelude::*;

use crate::warm::{self, Warmth};

/// Bounds of the judgement.
#[id]
pub struct Options {
    /// So many failure points without an answer in between eject an upstream.
    pub strikes: u32,
    /// How long the first ejection lasts; each further one twice as long.
    pub eject: Millis,
    /// The longest ejection.
    pub eject_max: Millis,
    /// An upstream is slow if it takes more than this many times its peers' median.
    pub slow_times: u32,
    /// An upstream is slow only if it takes this much longer than its peers' median.
    pub slow_by: Millis,
    /// Answers needed before an upstream's times are judged.
    pub slow_answers: u32,
    /// How long a load report is a hint.
    pub report_max_age: Millis,
    /// How long the word that an upstream is leaving holds without a newer one.
    pub leaving_hold: Millis,
    /// The slow start.
    pub warm: warm::Options,
}

/// How an upstream stands. Smaller is better.
#[id]
pub enum Standing {
    /// As good as any.
    Healthy,
    /// Much slower than its peers, or failing now and then: used when the others are full.
    Suspect,
    /// Back from an ejection: gets one request at a time until it answers one.
    Probing,
    /// Gets no work for a while.
    Ejected,
    /// Leaving: gets no new work.
    Leaving,
}

/// How an attempt ended, as far as the upstream's health goes.
#[id]
pub enum Sample {
    /// A whole answer after this long.
    Answered(Millis),
    /// A whole answer that says that the upstream failed.
    ServerError,
    /// It refused the work before running it.
    Shed,
    /// It said that it is leaving.
    Leaving,
    /// No connection.
    Unreachable,
    /// The connection broke in the middle.
    Broken,
    /// No whole answer before the deadline.
    TimedOut,
}

/// An upstream's report of its own load.
#[id]
pub struct Report {
    /// Slots in use.
    pub busy: u32,
    /// Requests waiting inside it.
    pub queued: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The health of the upstreams of one pool.
#[derive(Clone, Debug)]
pub struct Board {
    options: Options,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    id: UpstreamId,
    strikes: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    leaving_since: Option<Millis>,
    times: Times,
    warmth: Warmth,
    report: Option<(Report, Millis)>,
}

/// A moving average of the time of an answer, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    mean_us: u64,
    answers: u32,
}

/// The weight of a new time in the moving average, as a shift: one eighth.
const MEAN_SHIFT: u32 = 3;
/// Points for a connection that could not be made.
const POINTS_UNREACHABLE: u32 = 3;
/// Points for any other failure.
const POINTS_FAILURE: u32 = 1;
/// The most doublings of an ejection.
const DOUBLINGS_MAX: u32 = 16;

impl Default for Options {
    fn default() -> Self {
        Self {
            strikes: 3,
            eject: Millis::secs(1),
            eject_max: Millis::secs(30),
            slow_times: 3,
            slow_by: Millis(50),
            slow_answers: 8,
            report_max_age: Millis::secs(1),
            leaving_hold: Millis::secs(600),
            warm: warm::Options::default(),
        }
    }
}

impl Standing {
    /// Whether an upstream that stands so may get new work.
    pub const fn takes_work(self) -> bool {
        matches!(self, Standing::Healthy | Standing::Suspect | Standing::Probing)
    }
}

impl Board {
    /// A board without upstreams.
    pub fn new(options: Options) -> Self {
        Self { options, entries: Vec::new() }
    }

    /// Takes `upstreams` as the pool's servers: gone ones are forgotten, new ones start cold.
    ///
    /// Those of the first call count as warm: a new owner takes over servers that are in use, and
    /// must not cut their capacity.
    pub fn sync<'a>(&mut self, upstreams: impl Iterator<Item = &'a UpstreamId>) {
        let mut old = std::mem::take(&mut self.entries);
        let taken_over = old.is_empty();
        for id in upstreams {
            let kept = old.iter().position(|entry| entry.id == *id).map(|at| old.swap_remove(at));
            let new = || match taken_over {
                true => Entry { warmth: Warmth::warm(), ..Entry::cold(id.clone()) },
                false => Entry::cold(id.clone()),
            };
            self.entries.push(kept.unwrap_or_else(new));
        }
    }

    /// Takes note of how an attempt at `id` ended.
    pub fn observe(&mut self, id: &UpstreamId, sample: Sample, now: Millis) {
        let Some(at) = self.position(id) else { return };
        match sample {
            Sample::Answered(took) => self.entries[at].answered(took, now),
            Sample::Shed => {}
            Sample::Leaving => self.entries[at].leave(now),
            Sample::Unreachable => self.strike(at, POINTS_UNREACHABLE, now),
            Sample::ServerError | Sample::Broken | Sample::TimedOut => {
                self.strike(at, POINTS_FAILURE, now);
            }
        }
    }

    /// Takes note of a load report that `id` made at `at`.
    pub fn report(&mut self, id: &UpstreamId, report: Report, at: Millis) {
        let Some(position) = self.position(id) else { return };
        let entry = &mut self.entries[position];
        if entry.report.is_some_and(|(_, known)| known > at) {
            return;
        }
        entry.report = Some((report, at));
        match (report.leaving, entry.leaving_since) {
            (true, _) => entry.leave(at),
            (false, Some(since)) if at > since => entry.start_over(),
            (false, _) => {}
        }
    }

    /// How `id` stands at `now`. An upstream that is not on the board is leaving.
    pub fn standing(&self, id: &UpstreamId, now: Millis) -> Standing {
        let Some(at) = self.position(id) else { return Standing::Leaving };
        let entry = &self.entries[at];
        if entry.is_leaving(&self.options, now) {
            return Standing::Leaving;
        }
        match entry.ejected_until {
            Some(until) if now < until => Standing::Ejected,
            Some(_) => Standing::Probing,
            None if entry.strikes > 0 || self.is_slow(at) => Standing::Suspect,
            None => Standing::Healthy,
        }
    }

    /// How many of the `slots` of `id` may be in use at `now`.
    pub fn slots(&self, id: &UpstreamId, slots: u32, now: Millis) -> u32 {
        match self.standing(id, now) {
            Standing::Leaving | Standing::Ejected => 0,
            Standing::Probing => slots.min(1),
            Standing::Healthy | Standing::Suspect => {
                let warmth = self.position(id).map(|at| self.entries[at].warmth);
                warmth.unwrap_or_default().slots(&self.options.warm, slots, now)
            }
        }
    }

    /// Whether `id` is warm at `now`.
    pub fn is_warm(&self, id: &UpstreamId, now: Millis) -> bool {
        self.position(id).is_some_and(|at| self.entries[at].warmth.is_warm(&self.options.warm, now))
    }

    /// The last report of `id` if it is fresh at `now`.
    pub fn hint(&self, id: &UpstreamId, now: Millis) -> Option<Report> {
        let (report, at) = self.entries[self.position(id)?].report?;
        (now.since(at) <= self.options.report_max_age).then_some(report)
    }

    /// The upstreams that get no work at `now` and should be asked for their load.
    pub fn probes(&self, now: Millis) -> impl Iterator<Item = &UpstreamId> {
        self.entries.iter().filter_map(move |entry| {
            let ejected = entry.ejected_until.is_some();
            (ejected || entry.is_leaving(&self.options, now)).then_some(&entry.id)
        })
    }

    fn position(&self, id: &UpstreamId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.id == *id)
    }

    fn strike(&mut self, at: usize, points: u32, now: Millis) {
        let entry = &mut self.entries[at];
        entry.strikes += points;
        if entry.strikes < self.options.strikes {
            return;
        }
        let back = entry.ejected_until.is_some();
        if back || self.may_eject(now) {
            let options = self.options;
            self.entries[at].eject(&options, now);
        }
    }

    /// Whether one more upstream may be ejected: at most half of the pool ever is.
    fn may_eject(&self, now: Millis) -> bool {
        let out =
            |entry: &&Entry| entry.ejected_until.is_some() || entry.is_leaving(&self.options, now);
        (self.entries.iter().filter(out).count() + 1) * 2 <= self.entries.len()
    }

    /// Whether the upstream at `at` is much slower than its peers' median.
    fn is_slow(&self, at: usize) -> bool {
        let judged = |times: &Times| times.answers >= self.options.slow_answers;
        let own = self.entries[at].times;
        if !judged(&own) {
            return false;
        }
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != at);
        let mut peers = 0;
        let mut faster = 0;
        for (_, peer) in others.filter(|(_, peer)| judged(&peer.times)) {
            peers += 1;
            let times = own.mean_us > peer.times.mean_us * u64::from(self.options.slow_times);
            let by = own.mean_us > peer.times.mean_us + self.options.slow_by.0 * 1_000;
            faster += usize::from(times && by);
        }
        faster * 2 > peers
    }
}

impl Entry {
    fn cold(id: UpstreamId) -> Self {
        Self {
            id,
            strikes: 0,
            ejections: 0,
            ejected_until: None,
            leaving_since: None,
            times: Times::default(),
            warmth: Warmth::default(),
            report: None,
        }
    }

    fn answered(&mut self, took: Millis, now: Millis) {
        if self.ejected_until.take().is_some() {
            self.warmth = Warmth::default();
        } else if self.strikes == 0 {
            self.ejections = 0;
        }
        self.strikes = 0;
        self.warmth.answered(now);
        self.times.add(took);
    }

    fn leave(&mut self, at: Millis) {
        self.leaving_since = Some(self.leaving_since.map_or(at, |since| since.max(at)));
    }

    /// The upstream was started anew.
    fn start_over(&mut self) {
        let report = self.report;
        *self = Entry { report, ..Entry::cold(self.id.clone()) };
    }

    fn eject(&mut self, options: &Options, now: Millis) {
        let span = options.eject * (1 << self.ejections.min(DOUBLINGS_MAX));
        self.ejections += 1;
        self.strikes = 0;
        self.ejected_until = Some(now + span.min(options.eject_max));
    }

    fn is_leaving(&self, options: &Options, now: Millis) -> bool {
        self.leaving_since.is_some_and(|since| now.since(since) < options.leaving_hold)
    }
}

impl Times {
    fn add(&mut self, took: Millis) {
        let took_us = took.0.saturating_mul(1_000);
        self.answers = self.answers.saturating_add(1);
        if self.answers == 1 {
            self.mean_us = took_us;
            return;
        }
        let kept = self.mean_us - (self.mean_us >> MEAN_SHIFT);
        self.mean_us = kept.saturating_add(took_us >> MEAN_SHIFT);
    }
}
