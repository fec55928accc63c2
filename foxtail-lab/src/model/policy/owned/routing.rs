//! From a request at its entry host to an attempt, in the own region or another.

use foxtail_limit::msg::{Grant, Note};
use foxtail_limit::{Seen, Verdict};
use foxtail_route::plan::{Options as PlanOptions, PoolView, Query, State, plan};
use foxtail_types::prelude::*;

use super::owners::{PoolAt, clock};
use super::{Message, Owned, Remote};
use crate::model::{Attempt, World};
use crate::shape::REGIONS;

impl Owned {
    /// Decides in which order the regions are tried.
    pub(super) fn plan(&mut self, world: &World<'_, Message>, req: usize) {
        let request = world.requests[req];
        let spec = &world.shape.services[request.arrival.service];
        let home = world.hosts[request.host].region;
        let view = |region: usize| {
            let pool = PoolAt { service: request.arrival.service, region };
            let delay = if region == home { Millis::ZERO } else { world.region_delay().into() };
            let open = world.servers_in(pool.service, region).next().is_some();
            PoolView {
                region: world.shape.region(region),
                state: if open { State::Open } else { State::Empty },
                delay,
                report: self.reports.get(home, pool),
                link: None,
                shift: None,
            }
        };
        let pools: [PoolView<'_>; REGIONS] = std::array::from_fn(view);
        let query = Query {
            home: world.shape.region(home),
            class: request.class,
            now: clock(world.now),
            deadline: clock(request.deadline),
            service_time: spec.mean,
            link_bytes: spec.answer_bytes,
            seed: req as u64,
            pools: &pools,
        };
        let plan = plan(&query, &PlanOptions::default());
        let journey = &mut self.journeys[req];
        journey.regions = plan.order().collect();
        journey.regions.reverse();
        journey.sender = request.host;
    }

    /// Tries the next region of the plan.
    pub(super) fn try_next(&mut self, world: &mut World<'_, Message>, req: usize) {
        let request = world.requests[req];
        let home = world.hosts[request.host].region;
        self.journeys[req].sender = request.host;
        let Some(region) = self.journeys[req].regions.pop() else {
            return world.not_run(req);
        };
        self.journeys[req].region = region;
        if region == home {
            return self.ask(world, req);
        }
        self.leave(world, req);
    }

    /// Asks the owner of the pool for a slot.
    pub(super) fn ask(&mut self, world: &mut World<'_, Message>, req: usize) {
        let delay = self.to_owner(world, req);
        self.journeys[req].asked = world.now;
        world.send(delay, Message::Asked(req));
    }

    pub(super) fn asked(&mut self, world: &mut World<'_, Message>, req: usize) {
        let request = world.requests[req];
        let sender = self.journeys[req].sender;
        let pool = self.pool(world, req);
        let remaining = request.deadline.since(self.journeys[req].asked);
        self.owners.ask(world.now, &pool, req, sender, request.class, remaining);
    }

    pub(super) fn granted(&mut self, world: &mut World<'_, Message>, req: usize, grant: Grant) {
        let server = self.owners.server(&grant.upstream);
        let journey = &mut self.journeys[req];
        journey.ticket = Some((grant.epoch, grant.serial));
        let sender = journey.sender;
        let expires = journey.asked + grant.life.into();
        let request = &mut world.requests[req];
        request.deadline = request.deadline.min(expires);
        world.dispatch_from(req, sender, server);
    }

    pub(super) fn refused(&mut self, world: &mut World<'_, Message>, req: usize) {
        let entry = world.requests[req].host;
        let sender = self.journeys[req].sender;
        if sender == entry {
            return self.try_next(world, req);
        }
        let delay = world.delay(world.hosts[sender], world.hosts[entry]);
        world.send(delay, Message::Returned(req, false));
    }

    /// Gives the ticket back and tells what was seen.
    pub(super) fn release(&mut self, world: &mut World<'_, Message>, req: usize, attempt: Attempt) {
        let (epoch, serial) = self.journeys[req].ticket.take().expect("an attempt has a ticket");
        let pool = self.pool(world, req);
        let verdict = match attempt {
            Attempt::Answered(_) => Verdict::Answered,
            Attempt::Shed(_) => Verdict::Shed,
            Attempt::TimedOut(_) => Verdict::TimedOut,
        };
        let seen = Seen { verdict, took: Millis::ZERO, answer_bytes: 0, load: None };
        let note = Note::Release { pool: self.owners.pool_id(&pool), epoch, serial, seen };
        let delay = self.to_owner(world, req);
        world.send(delay, Message::Noted(pool, note));
    }

    /// Passes the end of an attempt on to the caller, through the entry host.
    pub(super) fn finish(&mut self, world: &mut World<'_, Message>, req: usize, attempt: Attempt) {
        let answered = matches!(attempt, Attempt::Answered(_));
        if self.options.remote == Remote::Forward
            && self.journeys[req].sender != world.requests[req].host
        {
            return self.send_back(world, req, answered);
        }
        match answered {
            true => world.answer(req),
            false => world.not_run(req),
        }
    }

    pub(super) fn pool(&self, world: &World<'_, Message>, req: usize) -> PoolAt {
        let service = world.requests[req].arrival.service;
        PoolAt { service, region: self.journeys[req].region }
    }

    fn to_owner(&self, world: &World<'_, Message>, req: usize) -> crate::model::Micros {
        let sender = self.journeys[req].sender;
        let owner = self.owners.host_of(&self.pool(world, req));
        world.host_delay(owner, sender)
    }
}
