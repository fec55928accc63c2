//! The first baseline: every host owns its share of the slots of its region for good.

use std::convert::Infallible;

use super::queue::Queue;
use crate::model::{Attempt, Policy, World};
use crate::shape::{REGIONS, SLOTS_PER_UPSTREAM};

/// Capacity divided by the hosts there are, and a queue at each host.
#[derive(Clone, Debug)]
pub struct StaticShares {
    services: usize,
    /// By host and service.
    shares: Vec<Share>,
}

#[derive(Clone, Debug, Default)]
struct Share {
    slots: usize,
    free: Vec<usize>,
    queue: Queue,
}

impl StaticShares {
    /// Deals the slots of each region out to its hosts in turn.
    pub fn new<M>(world: &World<'_, M>) -> Self {
        let services = world.shape.services.len();
        let mut shares = vec![Share::default(); world.hosts.len() * services];
        for region in 0..REGIONS {
            let here = |host: &usize| {
                let node = world.hosts[*host];
                node.alive && node.region == region
            };
            let hosts: Vec<usize> = (0..world.hosts.len()).filter(here).collect();
            for service in 0..services {
                let servers = world.servers_in(service, region);
                let slots = servers.flat_map(|server| [server; SLOTS_PER_UPSTREAM as usize]);
                for (n, slot) in slots.enumerate() {
                    let share = &mut shares[hosts[n % hosts.len()] * services + service];
                    share.free.push(slot);
                    share.slots += 1;
                }
            }
        }
        Self { services, shares }
    }
}

impl Policy for StaticShares {
    type Message = Infallible;

    fn entered(&mut self, world: &mut World<'_, Infallible>, req: usize) {
        let request = world.requests[req];
        let share = &mut self.shares[request.host * self.services + request.arrival.service];
        match share.free.pop() {
            Some(server) => world.dispatch(req, server),
            None => share.queue.push(world, req, share.slots),
        }
    }

    fn ended(&mut self, world: &mut World<'_, Infallible>, req: usize, attempt: Attempt) {
        let request = world.requests[req];
        match attempt {
            Attempt::Answered(_) => world.answer(req),
            Attempt::Shed(_) | Attempt::TimedOut(_) => world.not_run(req),
        }
        let share = &mut self.shares[request.host * self.services + request.arrival.service];
        match share.queue.pop(world) {
            Some(next) => world.dispatch(next, attempt.server()),
            None => share.free.push(attempt.server()),
        }
    }

    fn received(&mut self, _: &mut World<'_, Infallible>, message: Infallible) {
        match message {}
    }
}
