//! One pool: its upstreams' slots, the tickets that are out, and the queue for more.

use std::collections::{BTreeMap, HashSet};

use foxtail_config::{Service, Upstream};
use foxtail_types::prelude::*;

use super::health::Health;
use super::hold::HoldTimes;
use super::pick::{Candidate, Context, Pick};
use super::queue::{Place, Queue, Waiter};
use super::{Authority, Event, TICKET_LIFE, TICKET_LIFE_MAX, Terms};
use crate::drift::covering;
use crate::msg::{AskId, Grant, Held};
use crate::{Refusal, Seen, Verdict};

/// How many waiters are looked at when those before them avoid all upstreams with free slots.
const SCAN_MAX: usize = 32;
/// When to come back to a pool none of whose upstreams takes new work.
const RETRY_AFTER_MIN: Millis = Millis(50);

/// The state of one pool.
#[derive(Debug)]
pub struct Pool {
    id: PoolId,
    upstreams: Vec<Health>,
    out: BTreeMap<(Epoch, u64), Out>,
    /// Adopted tickets that have ended: a late report must not count them twice.
    ended: HashSet<(Epoch, u64)>,
    queue: Queue,
    queue_max: usize,
    life_wanted: Millis,
    life: Millis,
    holds: HoldTimes,
    turn: u64,
}

/// A ticket that is out.
#[derive(Clone, Debug)]
struct Out {
    upstream: UpstreamId,
    granted: Millis,
    expires: Millis,
    reserve: bool,
    ask: Option<AskId>,
}

/// Numbers a pool's figures for logs and reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots of the upstreams that may take work.
    pub slots: u32,
    /// Tickets that are out.
    pub used: u32,
    /// Slots withheld for tickets of a former owner.
    pub withheld: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// The expected wait of one more request.
    pub wait: Millis,
}

impl Pool {
    /// An empty pool.
    pub fn new(id: PoolId) -> Self {
        Self {
            id,
            upstreams: Vec::new(),
            out: BTreeMap::new(),
            ended: HashSet::new(),
            queue: Queue::default(),
            queue_max: 0,
            life_wanted: TICKET_LIFE,
            life: TICKET_LIFE,
            holds: HoldTimes::default(),
            turn: 0,
        }
    }

    /// Takes over the configuration. Upstreams that come later begin with one slot; `withhold` all
    /// new slots for unknown tickets of a former owner.
    pub fn configure(
        &mut self,
        service: &Service,
        drained: &dyn Fn(&Upstream) -> bool,
        withhold: bool,
    ) {
        let warm = self.upstreams.is_empty();
        self.queue_max = service.queue_max as usize;
        let wanted = service.deadline_max.min(TICKET_LIFE_MAX);
        self.life_wanted = self.life_wanted.max(wanted);
        for health in &mut self.upstreams {
            health.drained = true;
        }
        for upstream in service.upstreams_in(&self.id.region) {
            let drains = drained(upstream);
            match self.upstreams.iter_mut().find(|health| health.id == upstream.id) {
                Some(health) => health.reconfigure(upstream, drains, withhold),
                None => self.upstreams.push(Health::new(upstream, drains, warm, withhold)),
            }
        }
        self.upstreams.retain(|health| !health.drained || health.used + health.withheld > 0);
    }

    /// The service is gone: no upstream takes new work, and tickets that are out run to their end.
    pub(crate) fn retire(&mut self) {
        self.upstreams.iter_mut().for_each(|health| health.drained = true);
    }

    /// Whether no ticket is out or may be, and nobody waits.
    pub(crate) fn is_empty(&self) -> bool {
        let idle = |health: &Health| health.used + health.withheld == 0;
        self.queue.is_empty() && self.upstreams.iter().all(idle)
    }

    /// The longest life of a ticket that the service's deadlines call for, or have in this term.
    pub(crate) fn life_wanted(&self) -> Millis {
        self.life_wanted
    }

    /// The longest life of a ticket.
    pub(crate) fn life(&self) -> Millis {
        self.life
    }

    /// Lets tickets live for up to `life`, as a successor would know.
    pub(crate) fn set_life(&mut self, life: Millis) {
        self.life = life;
    }

    /// The unknown tickets have expired; `gone` if the former owner can't give out its reserve.
    pub fn unwithhold(&mut self, gone: bool) {
        self.ended.clear();
        for health in &mut self.upstreams {
            let rest = if gone { 0 } else { health.reserve() };
            health.withheld = health.withheld.min(rest);
        }
    }

    /// Takes a ticket of a former owner into the books.
    ///
    /// The former owner's reserve stays withheld: the former owner forgets this ticket when it
    /// expires, and may then give the slot out again, within its reserve.
    ///
    /// Returns whether the upstream is known.
    pub fn adopt(&mut self, now: Millis, held: &Held) -> bool {
        let Some(health) = self.upstreams.iter_mut().find(|health| health.id == held.upstream)
        else {
            return false;
        };
        let again = self.out.contains_key(&held.key()) || self.ended.contains(&held.key());
        if again || held.remaining == Millis::ZERO {
            return true;
        }
        health.adopt();
        let out = Out {
            upstream: held.upstream.clone(),
            granted: now,
            expires: now + covering(held.remaining),
            reserve: false,
            ask: None,
        };
        self.out.insert(held.key(), out);
        true
    }

    /// All tickets that are out.
    pub fn held(&self, now: Millis) -> impl Iterator<Item = Held> + '_ {
        self.out.iter().map(move |((epoch, serial), out)| Held {
            pool: self.id.clone(),
            upstream: out.upstream.clone(),
            epoch: *epoch,
            serial: *serial,
            remaining: out.expires - now,
        })
    }

    /// Queues `waiter`, then grants what can be granted.
    pub fn acquire(&mut self, terms: &mut Terms<'_>, waiter: Waiter) {
        if !self.has_room_for(terms.now, &waiter) {
            return terms.refuse(waiter, Refusal::NoUpstream);
        }
        let ahead = self.queue.ahead(waiter.class, waiter.deadline);
        let id = waiter.id.clone();
        let class = waiter.class;
        let remaining = waiter.deadline - terms.now;
        self.queue.push(waiter);
        self.pump(terms);
        let wait = self.wait(ahead);
        if wait + self.holds.short() > remaining {
            self.refuse(terms, &id, wait);
        }
        if self.queue.len() > self.queue_max {
            self.evict(terms, &id, class, wait);
        }
    }

    /// Ends a ticket.
    pub fn release(&mut self, terms: &mut Terms<'_>, key: (Epoch, u64), seen: &Seen) {
        let Some(out) = self.end(key) else { return };
        let held = terms.now - out.granted;
        if out.ask.is_some() {
            self.holds.add(held, seen.verdict == Verdict::Answered);
        }
        if let Some(health) = self.free(&out) {
            health.observe(terms.now, seen);
        }
        self.pump(terms);
    }

    /// Forgets a question, or the ticket given for it.
    pub fn withdraw(&mut self, terms: &mut Terms<'_>, ask: &AskId) {
        if self.queue.withdraw(ask).is_some() {
            return;
        }
        let key = self.out.iter().find(|(_, out)| out.ask.as_ref() == Some(ask)).map(|(k, _)| *k);
        if let Some(out) = key.and_then(|key| self.end(key)) {
            self.free(&out);
            self.pump(terms);
        }
    }

    /// Ends the tickets that have expired, refuses the hopeless, grants what can be granted.
    pub fn tick(&mut self, terms: &mut Terms<'_>) {
        let now = terms.now;
        let late = self.out.iter().filter(|(_, out)| out.expires < now).map(|(key, _)| *key);
        for key in late.collect::<Vec<_>>() {
            if let Some(out) = self.end(key) {
                self.free(&out);
            }
        }
        self.pump(terms);
    }

    /// Takes all waiters out of the queue.
    pub fn disband(&mut self) -> Vec<Waiter> {
        self.queue.drain()
    }

    /// The pool's figures.
    pub fn usage(&self, now: Millis) -> Usage {
        let staying = || self.upstreams.iter().filter(|health| health.stays(now));
        Usage {
            slots: staying().map(|health| health.slots).sum(),
            used: self.upstreams.iter().map(|health| health.used).sum(),
            withheld: staying().map(|health| health.withheld).sum(),
            waiting: self.queue.len() as u32,
            wait: self.wait(self.queue.len()),
        }
    }

    fn end(&mut self, key: (Epoch, u64)) -> Option<Out> {
        let out = self.out.remove(&key)?;
        if out.ask.is_none() {
            self.ended.insert(key);
        }
        Some(out)
    }

    fn free(&mut self, out: &Out) -> Option<&mut Health> {
        let health = self.upstreams.iter_mut().find(|health| health.id == out.upstream)?;
        assert!(health.used > 0, "a ticket was freed twice");
        health.used -= 1;
        health.used_reserve -= u32::from(out.reserve);
        Some(health)
    }

    fn has_room_for(&self, now: Millis, waiter: &Waiter) -> bool {
        let usable = |health: &Health| health.slots > 0 && health.stays(now);
        self.upstreams.iter().any(|health| usable(health) && !waiter.avoid.contains(&health.id))
    }

    fn wait(&self, ahead: usize) -> Millis {
        self.holds.wait(ahead, self.upstreams.iter().map(Health::usable).sum())
    }

    fn refuse(&mut self, terms: &mut Terms<'_>, id: &AskId, wait: Millis) {
        if let Some(waiter) = self.queue.withdraw(id) {
            let retry_after = wait.max(RETRY_AFTER_MIN);
            terms.refuse(waiter, Refusal::Overloaded { retry_after });
        }
    }

    /// Makes room in a full queue: an archive request goes before an interactive one.
    fn evict(&mut self, terms: &mut Terms<'_>, id: &AskId, class: Class, wait: Millis) {
        let last = match class {
            Class::Interactive => self.queue.last_archive(),
            Class::Archive => None,
        };
        let victim = last.unwrap_or_else(|| id.clone());
        self.refuse(terms, &victim, wait);
    }

    fn pump(&mut self, terms: &mut Terms<'_>) {
        let soonest = terms.now + self.holds.short();
        while let Some(waiter) = self.queue.pop_before(soonest) {
            let retry_after = self.wait(self.queue.len()).max(RETRY_AFTER_MIN);
            terms.refuse(waiter, Refusal::Overloaded { retry_after });
        }
        while !self.queue.is_empty() {
            let Some((class, place, at)) = self.next(terms) else { return };
            let Some(waiter) = self.queue.take(class, place) else { return };
            self.grant(terms, waiter, at);
        }
    }

    /// The next waiter for which there is an upstream with a free slot.
    fn next(&self, terms: &Terms<'_>) -> Option<(Class, Place, usize)> {
        let now = terms.now;
        let calm = |health: &Health| health.slots > 0 && health.stays(now) && !health.ejected(now);
        let any_calm = self.upstreams.iter().any(calm);
        let may = |health: &Health| if any_calm { calm(health) } else { health.stays(now) };
        let free: Vec<(usize, Candidate<'_>)> = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, health)| may(health))
            .map(|(at, health)| (at, candidate(health, terms)))
            .filter(|(_, candidate)| candidate.free > 0)
            .collect();
        if free.is_empty() {
            return None;
        }
        self.queue.in_order(self.turn).take(SCAN_MAX).find_map(|(place, waiter)| {
            let at = choose(&free, waiter, self.turn, terms.pick)?;
            Some((waiter.class, place, at))
        })
    }

    fn grant(&mut self, terms: &mut Terms<'_>, waiter: Waiter, at: usize) {
        self.turn += 1;
        let health = &mut self.upstreams[at];
        let reserve = terms.authority == Authority::Reserve;
        health.used += 1;
        health.used_reserve += u32::from(reserve);
        assert!(
            health.used + health.withheld <= health.slots,
            "granted more tickets of an upstream than it has slots"
        );
        let grant = terms.mint(health.id.clone(), waiter.life);
        let out = Out {
            upstream: health.id.clone(),
            granted: terms.now,
            expires: waiter.deadline,
            reserve,
            ask: Some(waiter.id.clone()),
        };
        self.out.insert((grant.epoch, grant.serial), out);
        terms.grant(waiter, grant);
    }
}

fn candidate<'a>(health: &'a Health, terms: &Terms<'_>) -> Candidate<'a> {
    let free = match terms.authority {
        Authority::Full => health.free(terms.now),
        Authority::Reserve => health.free_reserve(terms.now),
        Authority::None => 0,
    };
    Candidate {
        upstream: &health.id,
        zone: &health.zone,
        slots: health.slots,
        free,
        report: health.report(terms.now),
    }
}

fn choose(
    free: &[(usize, Candidate<'_>)],
    waiter: &Waiter,
    turn: u64,
    pick: &dyn Pick,
) -> Option<usize> {
    let fits = |(_, candidate): &&(usize, Candidate<'_>)| {
        !waiter.avoid.iter().any(|avoid| avoid == candidate.upstream)
    };
    let (at, candidates): (Vec<usize>, Vec<Candidate<'_>>) =
        free.iter().filter(fits).copied().unzip();
    if candidates.is_empty() {
        return None;
    }
    let picked = pick.pick(&candidates, &Context { zone: &waiter.zone, turn });
    at.get(picked).copied()
}

impl Terms<'_> {
    fn mint(&mut self, upstream: UpstreamId, life: Millis) -> Grant {
        *self.serial += 1;
        Grant { upstream, epoch: self.epoch, serial: *self.serial, life }
    }

    fn grant(&mut self, waiter: Waiter, grant: Grant) {
        self.events.push(Event::Granted { ask: waiter.id, request: waiter.request, grant });
    }

    fn refuse(&mut self, waiter: Waiter, refusal: Refusal) {
        self.events.push(Event::Refused { ask: waiter.id, request: waiter.request, refusal });
    }
}
