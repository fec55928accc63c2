//! What an owner knows of one upstream: slots in use, warm-up, refusals and failures.

use foxtail_config::Upstream;
use foxtail_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Load, Seen, Verdict};

/// How long an upstream that said it leaves gets no new work.
pub const LEAVING_MEMORY: Millis = Millis(60_000);
/// How long an upstream that shed gets no more work than it had.
const SHED_PAUSE: Millis = Millis(200);
/// Failures in a row after which an upstream is ejected.
const EJECT_AFTER: u32 = 3;
/// The first ejection; each further one in a row doubles it.
const EJECT_MIN: Millis = Millis(500);
/// The longest ejection.
const EJECT_MAX: Millis = Millis(30_000);
/// Answers after which a warming upstream opens one more slot.
const WARM_ANSWERS: u32 = 2;

/// The state of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    /// The upstream.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its slots.
    pub slots: u32,
    /// Whether the operator drains it or has removed it.
    pub drained: bool,
    /// Tickets that are out, of this and former epochs.
    pub used: u32,
    /// Those of them that were given out of the reserve.
    pub used_reserve: u32,
    /// Slots for which a former owner's tickets may be out, unknown to this owner.
    pub withheld: u32,
    open: u32,
    warm_answers: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    shed_until: Millis,
    leaving_until: Millis,
    report: Option<(Load, Millis)>,
}

impl Health {
    /// An upstream that may use all its slots at once if `warm`, else one to begin with; `withhold`
    /// its slots for unknown tickets of a former owner.
    pub fn new(upstream: &Upstream, drained: bool, warm: bool, withhold: bool) -> Self {
        Self {
            id: upstream.id.clone(),
            zone: upstream.zone.clone(),
            slots: upstream.slots,
            drained,
            used: 0,
            used_reserve: 0,
            withheld: if withhold { upstream.slots } else { 0 },
            open: if warm { u32::MAX } else { 1 },
            warm_answers: 0,
            failures: 0,
            ejections: 0,
            ejected_until: Millis::ZERO,
            shed_until: Millis::ZERO,
            leaving_until: Millis::ZERO,
            report: None,
        }
    }

    /// Takes over the configuration. Tickets that are out beyond lowered slots run to their end.
    pub fn reconfigure(&mut self, upstream: &Upstream, drained: bool, withhold: bool) {
        if self.drained && !drained {
            self.cool();
        }
        if withhold {
            self.withheld += upstream.slots.saturating_sub(self.slots);
        }
        self.zone = upstream.zone.clone();
        self.slots = upstream.slots;
        self.drained = drained;
    }

    /// How many slots an owner without a lease may use, and a new owner leaves to the former one.
    ///
    /// It depends on the upstream alone, so that owners with different configurations agree.
    pub fn reserve(&self) -> u32 {
        u32::from(self.slots > 1 && xxh3_64(self.id.as_str().as_bytes()).is_multiple_of(2))
    }

    /// Whether it may take new work at all: not drained and not leaving.
    pub fn stays(&self, now: Millis) -> bool {
        !self.drained && now >= self.leaving_until
    }

    /// Whether it is ejected for its failures.
    pub fn ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Slots that may be used at present, free or not.
    pub fn usable(&self) -> u32 {
        self.slots.saturating_sub(self.withheld).min(self.open)
    }

    /// Slots that may be given now.
    pub fn free(&self, now: Millis) -> u32 {
        if now < self.shed_until {
            return 0;
        }
        let room = self.slots.saturating_sub(self.used + self.withheld);
        room.min(self.open.saturating_sub(self.used))
    }

    /// Slots of the reserve that may be given now: none while a former owner may use it.
    pub fn free_reserve(&self, now: Millis) -> u32 {
        let taken = self.used_reserve + self.withheld;
        self.free(now).min(self.reserve().saturating_sub(taken))
    }

    /// The last own report and its age.
    pub fn report(&self, now: Millis) -> Option<(Load, Millis)> {
        self.report.map(|(load, at)| (load, now.since(at)))
    }

    /// One more ticket of a former owner is known, and one fewer unknown.
    pub fn adopt(&mut self) {
        let unknown = self.withheld.saturating_sub(1);
        self.withheld = unknown.max(self.withheld.min(self.reserve()));
        self.used += 1;
    }

    /// Takes in what a host saw of the upstream.
    pub fn observe(&mut self, now: Millis, seen: &Seen) {
        if let Some(load) = seen.load {
            self.report = Some((load, now));
        }
        let leaving = seen.load.is_some_and(|load| load.leaving);
        if leaving || seen.verdict == Verdict::Leaving {
            self.leave(now);
        }
        match seen.verdict {
            Verdict::Answered => self.answered(),
            Verdict::Shed => self.shed_until = now + SHED_PAUSE,
            Verdict::Unreachable => self.failed(now, EJECT_AFTER),
            Verdict::Broken | Verdict::TimedOut | Verdict::ServerError => self.failed(now, 1),
            Verdict::Leaving | Verdict::Cancelled => {}
        }
    }

    fn leave(&mut self, now: Millis) {
        self.leaving_until = now + LEAVING_MEMORY;
        self.cool();
    }

    fn answered(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        if self.open >= self.slots {
            return;
        }
        self.warm_answers += 1;
        if self.warm_answers >= WARM_ANSWERS {
            self.warm_answers = 0;
            self.open += 1;
        }
    }

    fn failed(&mut self, now: Millis, weight: u32) {
        self.failures += weight;
        if self.failures < EJECT_AFTER || self.ejected(now) {
            return;
        }
        let doubled = EJECT_MIN * (1 << self.ejections.min(16));
        self.ejected_until = now + doubled.min(EJECT_MAX);
        self.ejections += 1;
        self.failures = 0;
        self.cool();
    }

    fn cool(&mut self) {
        self.open = 1;
        self.warm_answers = 0;
    }
}
