//! The bound: one queue over all slots of a service, at no cost.

use std::convert::Infallible;

use super::queue::Queue;
use crate::model::{Attempt, Policy, World};
use crate::shape::{REGIONS, SLOTS_PER_UPSTREAM};

/// One queue over all slots of a service in all regions. Nothing inside the system takes any time,
/// so no real policy can do better on average.
#[derive(Clone, Debug)]
pub struct Ideal {
    free: Vec<Vec<usize>>,
    slots: Vec<usize>,
    queues: Vec<Queue>,
}

impl Ideal {
    /// For the servers that are there in `world`'s shape.
    pub fn new<M>(world: &World<'_, M>) -> Self {
        let regions = 0..REGIONS;
        let free: Vec<Vec<usize>> = (0..world.shape.services.len())
            .map(|service| {
                let servers = regions.clone().flat_map(|region| world.servers_in(service, region));
                servers.flat_map(|server| [server; SLOTS_PER_UPSTREAM as usize]).collect()
            })
            .collect();
        let slots = free.iter().map(Vec::len).collect();
        Self { queues: vec![Queue::default(); free.len()], free, slots }
    }
}

impl Policy for Ideal {
    type Message = Infallible;

    fn entered(&mut self, world: &mut World<'_, Infallible>, req: usize) {
        let service = world.requests[req].arrival.service;
        match self.free[service].pop() {
            Some(server) => world.dispatch(req, server),
            None => self.queues[service].push(world, req, self.slots[service]),
        }
    }

    fn ended(&mut self, world: &mut World<'_, Infallible>, req: usize, attempt: Attempt) {
        let service = world.requests[req].arrival.service;
        let server = attempt.server();
        match attempt {
            Attempt::Answered(_) => world.answer(req),
            Attempt::Shed(_) | Attempt::TimedOut(_) => world.not_run(req),
        }
        match self.queues[service].pop(world) {
            Some(next) => world.dispatch(next, server),
            None => self.free[service].push(server),
        }
    }

    fn received(&mut self, _: &mut World<'_, Infallible>, message: Infallible) {
        match message {}
    }

    fn ways_are_free(&self) -> bool {
        true
    }
}
