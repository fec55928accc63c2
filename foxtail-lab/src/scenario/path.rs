//! The path of a request: plan, limits, upstream, retries.

use foxtail_config::Upstream;
use foxtail_limit::msg::{Ask, AskId, Note, Reply};
use foxtail_limit::owner::Event as Answer;
use foxtail_limit::{Load as Loaded, Refusal, Seen, Verdict};
use foxtail_retry::policy::{self, Attempt, Ended, Next};
use foxtail_route::plan::{Options, PoolView, Query, State, plan};
use foxtail_types::prelude::*;

use super::report::End;
use super::world::{Event, Granted, Request, Scenario};

/// A region that is not heard of for this long counts as silent.
const SILENT_AFTER: Millis = Millis::secs(3);
/// How long a host waits for an owner that does not answer.
const OWNER_TIMEOUT: Millis = Millis(250);
/// The part of its time that a request waits for headroom.
const PATIENCE_DIV: u64 = 4;
/// How often a request is asked about at most, so that question numbers stay distinct.
const ASKS_MAX: usize = 1_000;

impl Scenario {
    /// Makes the plan for one attempt.
    pub(super) fn attempt(&mut self, at: usize) {
        let views = self.views(at);
        let request = &self.requests[at];
        let query = Query {
            home: &self.sites[request.from].id,
            class: request.class,
            now: self.now,
            deadline: request.deadline,
            service_time: self.setup.service,
            link_bytes: request.answer_bytes,
            seed: at as u64,
            pools: &views,
        };
        let order = plan(&query, &Options::default()).order().collect();
        let request = &mut self.requests[at];
        request.order = order;
        request.refused = None;
        self.next_pool(at);
    }

    fn views(&self, at: usize) -> Vec<PoolView<'_>> {
        let from = self.requests[at].from;
        let mut views = Vec::new();
        for (region, site) in self.sites.iter().enumerate() {
            let drained = self.snapshot.drains_upstream(&self.upstreams(region)[0]);
            let silent = region != from && self.now.since(site.heard) > SILENT_AFTER;
            let state = match (drained, silent) {
                (true, _) => State::Draining,
                (false, true) => State::Silent,
                (false, false) => State::Open,
            };
            let delay = if region == from { Millis::ZERO } else { self.setup.delay };
            let (id, report) = (&site.id, site.report);
            views.push(PoolView { region: id, state, delay, report, link: None, shift: None });
        }
        views
    }

    fn upstreams(&self, region: usize) -> &[Upstream] {
        let upstreams = &self.snapshot.workspaces[0].services[0].upstreams;
        let each = self.setup.upstreams as usize;
        &upstreams[region * each..(region + 1) * each]
    }

    /// Asks for a slot of the next pool of the plan.
    pub(super) fn next_pool(&mut self, at: usize) {
        let request = &mut self.requests[at];
        if request.order.is_empty() {
            return self.no_pool_left(at);
        }
        let region = request.order.remove(0);
        let from = request.from;
        if region == from {
            return self.push(Millis::ZERO, Event::Ask { request: at, region });
        }
        match self.travel(at, from, region) {
            Ok(after) => {
                self.push(after + self.setup.delay, Event::Ask { request: at, region });
            }
            Err(refusal) => {
                self.requests[at].refused = Some(refusal);
                self.push(Millis::ZERO, Event::Next(at));
            }
        }
    }

    /// Books the bytes of an answer, and takes the request out of the shift budget, in the live
    /// limiter's order: shift first for interactive requests, link bytes first for archive.
    fn travel(&mut self, at: usize, from: usize, to: usize) -> Result<Millis, Refusal> {
        if self.sites[from].lost || self.sites[to].lost {
            return Err(Refusal::OwnerUnreachable);
        }
        let after = if self.requests[at].class == Class::Interactive {
            self.shift(from)?;
            let workspace = self.snapshot.workspaces[0].id.clone();
            let booked = self.book(at, from, to);
            booked.inspect_err(|_| self.tell(from, Note::Unshifted { workspace }))?
        } else {
            let after = self.book(at, from, to)?;
            let (class, reserved) = (self.requests[at].class, self.requests[at].answer_bytes);
            let unused = Note::Correct { link: self.way_back(from, to), class, reserved, sent: 0 };
            self.shift(from).inspect_err(|_| self.tell(to, unused))?;
            after
        };
        let bytes = self.requests[at].answer_bytes;
        self.shifted.push((from, self.now));
        self.carried.push(((to, from), self.now + after, bytes));
        Ok(after)
    }

    fn shift(&mut self, from: usize) -> Result<Millis, Refusal> {
        let workspace = self.snapshot.workspaces[0].id.clone();
        reserved(self.sites[from].owner.reserve_shift(self.now, &workspace))
    }

    fn book(&mut self, at: usize, from: usize, to: usize) -> Result<Millis, Refusal> {
        let Request { class, answer_bytes, deadline, .. } = self.requests[at];
        let (link, patience) = (self.way_back(from, to), deadline.since(self.now));
        let owner = &mut self.sites[to].owner;
        reserved(owner.reserve_link(self.now, &link, class, answer_bytes, patience))
    }

    fn way_back(&self, from: usize, to: usize) -> LinkId {
        LinkId { from: self.sites[to].id.clone(), to: self.sites[from].id.clone() }
    }

    fn tell(&mut self, region: usize, note: Note) {
        self.sites[region].owner.notes(self.now, Epoch(1), vec![note]);
    }

    /// No pool of the plan gave a slot: waits for headroom, or tells the caller.
    fn no_pool_left(&mut self, at: usize) {
        let request = &self.requests[at];
        let wait = match &request.refused {
            Some(Refusal::NoHeadroom { retry_after }) => *retry_after,
            Some(Refusal::OwnerUnreachable) => OWNER_TIMEOUT,
            _ => return self.give_up(at),
        };
        let patience = Millis(request.deadline.since(request.born).0 / PATIENCE_DIV);
        if self.now + wait >= request.born + patience {
            return self.give_up(at);
        }
        self.push(wait.max(Millis(1)), Event::Attempt(at));
    }

    fn give_up(&mut self, at: usize) {
        self.ended(at, false, false);
        self.finish(at, End::NotRun);
    }

    /// The question for a slot has come to the pool's owner.
    pub(super) fn ask(&mut self, at: usize, region: usize) {
        if self.sites[region].lost {
            self.requests[at].refused = Some(Refusal::OwnerUnreachable);
            return self.push(OWNER_TIMEOUT, Event::Next(at));
        }
        let request = &mut self.requests[at];
        request.attempts += 1;
        let host = HostId::new("entry").expect("a valid name");
        let no = at * ASKS_MAX + request.attempts as usize % ASKS_MAX;
        let ask = Ask {
            id: AskId { host, no: no as u64 },
            request: RequestId(uuid::Uuid::from_u128(at as u128)),
            pool: self.pool(region),
            class: self.requests[at].class,
            zone: self.snapshot.network.regions[region].zones[0].clone(),
            remaining: self.requests[at].deadline.since(self.now),
            avoid: self.requests[at].avoid.clone(),
            fence: Epoch(1),
        };
        self.sites[region].owner.acquire(self.now, ask);
        self.answers(region);
    }

    fn pool(&self, region: usize) -> PoolId {
        let workspace = &self.snapshot.workspaces[0];
        let service = workspace.services[0].id.clone();
        PoolId { workspace: workspace.id.clone(), service, region: self.sites[region].id.clone() }
    }

    /// Sends the owner's answers to those that asked.
    pub(super) fn answers(&mut self, region: usize) {
        for answer in self.sites[region].owner.take_events() {
            let (ask, refusal) = match answer {
                Answer::Granted { ask, grant, .. } => {
                    let request = ask.no as usize / ASKS_MAX;
                    let grant = Granted::new(&self.sites[region].servers, &grant);
                    self.push(Millis::ZERO, Event::Begin { request, region, grant });
                    continue;
                }
                Answer::Refused { ask, refusal, .. } => (ask, refusal),
                Answer::Moved { ask } => (ask, Refusal::OwnerUnreachable),
            };
            let request = ask.no as usize / ASKS_MAX;
            self.requests[request].refused = Some(refusal);
            self.push(Millis::ZERO, Event::Next(request));
        }
    }

    /// A slot was given: the request goes to the upstream.
    pub(super) fn begin(&mut self, at: usize, region: usize, grant: Granted) {
        let (now, slots) = (self.now, self.setup.slots);
        let server = &mut self.sites[region].servers[grant.server];
        let id = server.id.clone();
        let refused = match (now < server.down_until, server.leaving) {
            (true, _) => Some((Verdict::Unreachable, Ended::Unreachable)),
            (false, true) => Some((Verdict::Leaving, Ended::Leaving)),
            (false, false) => None,
        };
        self.requests[at].avoid.push(id);
        if let Some((verdict, ended)) = refused {
            self.release(region, &grant, verdict, Millis::ZERO);
            self.ended(at, false, false);
            return self.again(at, ended);
        }
        server.busy += 1;
        assert!(server.busy <= slots, "{} has more requests than slots", server.id);
        let crashes = server.crashes;
        let service = self.setup.service;
        self.push(service, Event::End { request: at, region, grant, crashes });
    }

    /// The upstream is done with the request, or was brought down.
    pub(super) fn end(&mut self, at: usize, region: usize, grant: Granted, crashes: u32) {
        self.sites[region].servers[grant.server].busy -= 1;
        let crashed = self.sites[region].servers[grant.server].crashes > crashes;
        if self.requests[at].poison && !crashed {
            self.crash(region, grant.server);
        }
        let broken = crashed || self.requests[at].poison;
        let verdict = if broken { Verdict::Broken } else { Verdict::Answered };
        self.release(region, &grant, verdict, self.setup.service);
        self.ended(at, broken, !broken);
        if broken {
            return self.again(at, Ended::Broken);
        }
        let workspace = &self.snapshot.workspaces[0];
        if let Some(budgets) = &self.watch.budgets {
            budgets.succeeded(&workspace.id, &workspace.services[0].id, self.now);
        }
        let home = region == self.requests[at].from;
        self.finish(at, if home { End::Home } else { End::Away });
    }

    fn release(&mut self, region: usize, grant: &Granted, verdict: Verdict, took: Millis) {
        let idle = self.faults.reports_idle;
        let server = &self.sites[region].servers[grant.server];
        let busy = if idle { 0 } else { server.busy };
        let load = Loaded { busy, queued: 0, leaving: server.leaving && !idle };
        let seen = Seen { verdict, took, answer_bytes: 0, load: Some(load) };
        let (pool, epoch, serial) = (self.pool(region), Epoch(1), grant.serial);
        if !self.sites[region].lost {
            let note = Note::Release { pool, epoch, serial, seen };
            self.sites[region].owner.notes(self.now, Epoch(1), vec![note]);
            self.answers(region);
        }
    }

    /// An attempt ended without an answer.
    fn again(&mut self, at: usize, ended: Ended) {
        let request = &self.requests[at];
        let attempt = Attempt {
            repeat: Repeat::Safe,
            ended,
            attempts: request.avoid.len() as u32,
            passed_on: false,
            overloaded: false,
            now: self.now,
            deadline: request.deadline,
            service_time: self.setup.service,
            seed: at as u64,
        };
        let next = policy::next(&attempt, &policy::Options::default());
        let workspace = &self.snapshot.workspaces[0];
        let service = &workspace.services[0].id;
        let budgets = self.watch.budgets.as_ref();
        let token = || budgets.is_some_and(|it| it.take(&workspace.id, service, self.now));
        let lost = if ended.proves_not_run() { End::NotRun } else { End::Lost };
        match next {
            Next::Retry { after, budgeted } if !budgeted || token() => {
                self.push(after, Event::Admit(at));
            }
            _ if request.poison => {
                // Its caller sends it again at once.
                self.requests[at].avoid.clear();
                self.push(Millis(1), Event::Admit(at));
            }
            _ => self.finish(at, lost),
        }
    }
}

fn reserved(reply: Reply) -> Result<Millis, Refusal> {
    match reply {
        Reply::Reserved { after } => Ok(after),
        Reply::Refused(refusal) => Err(refusal),
        _ => Err(Refusal::OwnerUnreachable),
    }
}
