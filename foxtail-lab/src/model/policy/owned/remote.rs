//! Requests that run in another region than their entry host's.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Message, Owned, Remote};
use crate::model::{Micros, World};

/// The longest that a request waits for room on a link.
const LINK_PATIENCE: Micros = Micros(500_000);
const REQUEST_BYTES: u64 = 600;

impl Owned {
    /// Takes shift budget and bytes of the link out, then leaves the region.
    ///
    /// Both are owned in the entry host's region; the way to their owners is short and counted
    /// once, as the product asks for both at a time.
    pub(super) fn leave(&mut self, world: &mut World<'_, Message>, req: usize) {
        let request = world.requests[req];
        let home = world.hosts[request.host].region;
        let way = (home, self.journeys[req].region);
        if !self.owners.shift(world.now, home) {
            return self.try_next(world, req);
        }
        let class = request.class;
        match self.owners.link(world.now, way, class, REQUEST_BYTES, LINK_PATIENCE) {
            Some(after) => world.send(after + world.zone_round_trip(), Message::LinkFree(req)),
            None => self.try_next(world, req),
        }
    }

    pub(super) fn link_free(&mut self, world: &mut World<'_, Message>, req: usize) {
        match self.options.remote {
            Remote::Ticket => self.ask(world, req),
            Remote::Forward => self.forward(world, req),
        }
    }

    /// Passes the request to a host of the other region.
    fn forward(&mut self, world: &mut World<'_, Message>, req: usize) {
        let region = self.journeys[req].region;
        let here = |host: &usize| world.hosts[*host].alive && world.hosts[*host].region == region;
        let hosts: Vec<usize> = (0..world.hosts.len()).filter(here).collect();
        let to = hosts[SmallRng::seed_from_u64(req as u64).random_range(0..hosts.len())];
        let entry = world.requests[req].host;
        world.count_shift(entry);
        self.journeys[req].sender = to;
        let delay = world.cross(entry, to, REQUEST_BYTES);
        world.send(delay, Message::Forwarded(req));
    }

    pub(super) fn forwarded(&mut self, world: &mut World<'_, Message>, req: usize) {
        self.ask(world, req);
    }

    /// Sends the answer, or that there is none, back to the entry host, when the link has room.
    pub(super) fn send_back(&mut self, world: &mut World<'_, Message>, req: usize, answered: bool) {
        let request = world.requests[req];
        let sender = self.journeys[req].sender;
        let way = (self.journeys[req].region, world.hosts[request.host].region);
        let bytes = match answered {
            true => world.shape.services[request.arrival.service].answer_bytes,
            false => 0,
        };
        let patience = request.deadline.since(world.now);
        let after = self.owners.link(world.now, way, request.class, bytes, patience);
        let delay = world.cross(sender, request.host, bytes);
        world.send(after.unwrap_or_default() + delay, Message::Returned(req, answered));
    }

    pub(super) fn returned(&mut self, world: &mut World<'_, Message>, req: usize, answered: bool) {
        match answered {
            true => world.answer(req),
            false => self.try_next(world, req),
        }
    }
}
