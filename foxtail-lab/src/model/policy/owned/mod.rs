//! The chosen policy: the decision code of the product, with its messages' delays.
//!
//! Entry hosts run [`foxtail_route::plan()`]; each shard of a region's limits has an
//! [`Owner`](foxtail_limit::owner::Owner) at the host that the product would prefer. Leases and
//! lost messages are not part of the model.

mod owners;
mod remote;
mod reports;
mod routing;

use foxtail_limit::msg::Note;
use foxtail_types::prelude::*;

use self::owners::Owners;
use self::reports::Reports;
use crate::model::{Attempt, Micros, Policy, World};

/// How often owners end what has expired.
const TICK: Micros = Micros(50_000);
/// How long after the last arrival owners still work.
const LINGER: Micros = Micros(25_000_000);

/// How a request reaches an upstream in another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remote {
    /// The entry host asks the other region's owner for a ticket and sends the request itself.
    Ticket,
    /// The entry host passes the request to a host of the other region, which asks its own owner.
    Forward,
}

/// What differs between variants of the policy.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How a request reaches an upstream in another region.
    pub remote: Remote,
    /// How often owners report the load of their pools to all hosts, if they do.
    pub report_period: Option<Micros>,
}

/// The chosen policy.
pub struct Owned {
    options: Options,
    owners: Owners,
    reports: Reports,
    journeys: Vec<Journey>,
    started: bool,
}

/// What one request has come to.
#[derive(Clone, Debug, Default)]
struct Journey {
    /// The regions to try, the next one last.
    regions: Vec<usize>,
    /// The region that is being tried.
    region: usize,
    /// The host that asks and sends: the entry host, or the one it was passed to.
    sender: usize,
    /// When the last question for a slot was sent.
    asked: Micros,
    /// The ticket in use.
    ticket: Option<(Epoch, u64)>,
}

/// What hosts send each other.
pub enum Message {
    /// Owners are due to tick.
    Tick,
    /// Owners are due to report.
    ReportDue,
    /// The reports of one region's pools have come to all hosts of another.
    Reported(reports::Batch),
    /// A question for a slot has come to the owner.
    Asked(usize),
    /// The owner's answer has come back.
    Granted(usize, foxtail_limit::msg::Grant),
    /// The owner's refusal has come back.
    Refused(usize),
    /// A note has come to the owner of the pool of a request's service in a region.
    Noted(owners::PoolAt, Note),
    /// A request has come to a host of another region.
    Forwarded(usize),
    /// The other region's host sends an answer or a refusal back to the entry host.
    Returned(usize, bool),
    /// The link has room for the request now.
    LinkFree(usize),
}

impl Owned {
    /// The policy for the hosts and servers that are there in `world`.
    pub fn new(world: &World<'_, Message>, options: Options) -> Self {
        Self {
            options,
            owners: Owners::new(world),
            reports: Reports::default(),
            journeys: Vec::new(),
            started: false,
        }
    }

    fn start(&mut self, world: &mut World<'_, Message>) {
        if !self.started {
            self.started = true;
            world.send(TICK, Message::Tick);
            if let Some(period) = self.options.report_period {
                world.send(period, Message::ReportDue);
            }
        }
    }

    fn again(&self, world: &mut World<'_, Message>, period: Micros, message: Message) {
        if world.now < world.until() + LINGER {
            world.send(period, message);
        }
    }

    /// Sends what the owners have decided to those who asked.
    fn deliver(&mut self, world: &mut World<'_, Message>) {
        for (req, owner, answer) in self.owners.take_answers() {
            let delay = world.host_delay(owner, self.journeys[req].sender);
            match answer {
                Some(grant) => world.send(delay, Message::Granted(req, grant)),
                None => world.send(delay, Message::Refused(req)),
            }
        }
    }
}

impl Policy for Owned {
    type Message = Message;

    fn entered(&mut self, world: &mut World<'_, Message>, req: usize) {
        self.start(world);
        self.journeys.resize(world.requests.len(), Journey::default());
        self.plan(world, req);
        self.try_next(world, req);
    }

    fn ended(&mut self, world: &mut World<'_, Message>, req: usize, attempt: Attempt) {
        self.release(world, req, attempt);
        self.finish(world, req, attempt);
    }

    fn received(&mut self, world: &mut World<'_, Message>, message: Message) {
        match message {
            Message::Tick => {
                self.owners.tick(world.now);
                self.again(world, TICK, Message::Tick);
            }
            Message::ReportDue => {
                self.send_reports(world);
                let period = self.options.report_period.unwrap_or(TICK);
                self.again(world, period, Message::ReportDue);
            }
            Message::Reported(batch) => self.reports.take(batch),
            Message::Asked(req) => self.asked(world, req),
            Message::Granted(req, grant) => self.granted(world, req, grant),
            Message::Refused(req) => self.refused(world, req),
            Message::Noted(pool, note) => self.owners.note(world.now, &pool, note),
            Message::Forwarded(req) => self.forwarded(world, req),
            Message::Returned(req, answered) => self.returned(world, req, answered),
            Message::LinkFree(req) => self.link_free(world, req),
        }
        self.deliver(world);
    }
}
