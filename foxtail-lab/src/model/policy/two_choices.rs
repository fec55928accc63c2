//! The second baseline: the better of two random servers by their reported load.

use std::convert::Infallible;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::model::{Attempt, Micros, Policy, World};

/// How often the reports are refreshed.
const REPORT_PERIOD: Micros = Micros(500_000);
/// Tries of one request before it is given up as shed.
const ATTEMPTS_MAX: u32 = 3;

/// Each host sends a request to the less loaded of two random servers of its region, by reports
/// that lag. Nothing keeps several hosts from choosing the same server.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    reported: Vec<u32>,
    reported_at: Micros,
    rng: SmallRng,
}

impl TwoChoices {
    /// With its own chance from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { reported: Vec::new(), reported_at: Micros(0), rng: SmallRng::seed_from_u64(seed) }
    }

    fn refresh<M>(&mut self, world: &World<'_, M>) {
        let due = world.now.since(self.reported_at) >= REPORT_PERIOD;
        if due || self.reported.is_empty() {
            self.reported = world.servers.iter().map(|server| server.load()).collect();
            self.reported_at = world.now;
        }
    }

    fn try_one(&mut self, world: &mut World<'_, Infallible>, req: usize) {
        self.refresh(world);
        let request = world.requests[req];
        let region = world.hosts[request.host].region;
        let servers: Vec<usize> = world.servers_in(request.arrival.service, region).collect();
        if servers.is_empty() || request.attempts >= ATTEMPTS_MAX {
            return world.not_run(req);
        }
        let a = servers[self.rng.random_range(0..servers.len())];
        let b = servers[self.rng.random_range(0..servers.len())];
        let better = if self.reported[b] < self.reported[a] { b } else { a };
        world.dispatch(req, better);
    }
}

impl Policy for TwoChoices {
    type Message = Infallible;

    fn entered(&mut self, world: &mut World<'_, Infallible>, req: usize) {
        self.try_one(world, req);
    }

    fn ended(&mut self, world: &mut World<'_, Infallible>, req: usize, attempt: Attempt) {
        match attempt {
            Attempt::Answered(_) => world.answer(req),
            Attempt::Shed(_) => self.try_one(world, req),
            Attempt::TimedOut(_) => world.not_run(req),
        }
    }

    fn received(&mut self, _: &mut World<'_, Infallible>, message: Infallible) {
        match message {}
    }
}
