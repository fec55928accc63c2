//! What a request for a pool of another region needs besides the slot: shift and link bytes.

use foxtail_types::prelude::*;

use super::SharedLimiter;
use crate::holder::Travel;
use crate::msg::{Note, Request};
use crate::shift::USE_WITHIN;
use crate::{Acquire, Refusal, Seen, ShardId, Ticket, Verdict};

/// A reservation of shift must be this much younger than the longest use when the slot comes.
const SEND_MARGIN: Millis = Millis(50);
/// How long an interactive request waits for link bytes, as it may hold a slot meanwhile.
const INTERACTIVE_PATIENCE: Millis = Millis(100);
/// The part of its time that a request waits for shift, and an archive request for link bytes.
const PATIENCE_DIV: u64 = 4;

/// Reservations that are given back unless the request leaves.
struct Booked<'a> {
    limiter: &'a SharedLimiter,
    notes: Vec<(ShardId, Note)>,
}

/// A ticket that is given back unless the request leaves.
struct Kept<'a> {
    limiter: &'a SharedLimiter,
    ticket: Option<Ticket>,
}

impl SharedLimiter {
    /// A slot in another region, with all that the way there and back takes.
    pub(super) async fn travel(&self, req: &Acquire<'_>) -> Result<Ticket, Refusal> {
        let mut booked = Booked { limiter: self, notes: Vec::new() };
        let (shifted, mut kept) = match req.class {
            Class::Interactive => self.slot_and_links(req, &mut booked).await?,
            Class::Archive => self.links_then_slot(req, &mut booked).await?,
        };
        if self.clock.now() + SEND_MARGIN > shifted + USE_WITHIN {
            self.reserve_shift(req, &mut booked).await?;
            booked.keep_first_shift();
        } else {
            booked.notes.clear();
        }
        kept.ticket.take().ok_or(Refusal::OwnerUnreachable)
    }

    /// Settles the answer's link bytes.
    pub(super) fn settle(&self, travel: Travel, sent: u64) {
        let Travel { back, class, reserved } = travel;
        let shards = self.snapshot.load().network.owner_shards;
        let shard = ShardId::of_link(&back, shards);
        if reserved != sent {
            self.tell(&shard, Note::Correct { link: back, class, reserved, sent });
        }
    }

    /// Both at once, as an interactive request seldom waits for the links.
    async fn slot_and_links<'a>(
        &'a self,
        req: &Acquire<'_>,
        booked: &mut Booked<'a>,
    ) -> Result<(Millis, Kept<'a>), Refusal> {
        let shifted = self.reserve_shift(req, booked).await?;
        let travel = self.travel_of(req);
        let slot =
            async { self.slot(req, Some(travel)).await.map(|ticket| Kept::new(self, ticket)) };
        let (links, kept) = tokio::join!(self.links(req, booked), slot);
        let kept = kept?;
        tokio::time::sleep(links?.duration()).await;
        Ok((shifted, kept))
    }

    /// One after the other, as an archive request must not hold a slot while it waits for the links.
    /// The links come first, because they are what it is often refused for, and unused bytes can be
    /// given back exactly, but unused shift only in part.
    async fn links_then_slot<'a>(
        &'a self,
        req: &Acquire<'_>,
        booked: &mut Booked<'a>,
    ) -> Result<(Millis, Kept<'a>), Refusal> {
        let wait = self.links(req, booked).await?;
        tokio::time::sleep(wait.duration()).await;
        let shifted = self.reserve_shift(req, booked).await?;
        let ticket = self.slot(req, Some(self.travel_of(req))).await?;
        Ok((shifted, Kept::new(self, ticket)))
    }

    async fn links<'a>(
        &'a self,
        req: &Acquire<'_>,
        booked: &mut Booked<'a>,
    ) -> Result<Millis, Refusal> {
        let (me, far) = (&self.me.region, &req.pool.region);
        let out = LinkId { from: me.clone(), to: far.clone() };
        let back = LinkId { from: far.clone(), to: me.clone() };
        let (out_wait, back_wait) = tokio::join!(
            self.reserve_link(req, out, req.request_bytes),
            self.reserve_link(req, back, req.answer_bytes),
        );
        let mut waits = [Millis::ZERO; 2];
        let mut refused = None;
        for (wait, result) in waits.iter_mut().zip([out_wait, back_wait]) {
            match result {
                Ok((after, note)) => {
                    *wait = after;
                    booked.notes.push(note);
                }
                Err(refusal) => refused = Some(refusal),
            }
        }
        refused.map_or(Ok(waits[0].max(waits[1])), Err)
    }

    async fn reserve_link(
        &self,
        req: &Acquire<'_>,
        link: LinkId,
        bytes: u64,
    ) -> Result<(Millis, (ShardId, Note)), Refusal> {
        let class = req.class;
        let patience = match class {
            Class::Interactive => INTERACTIVE_PATIENCE,
            Class::Archive => self.patience(req),
        };
        let shard = ShardId::of_link(&link, self.snapshot.load().network.owner_shards);
        let ask = Request::ReserveLink { link: link.clone(), class, bytes, patience };
        let (_, after) = self.reserve(&shard, &ask, req.deadline).await?;
        Ok((after, (shard, Note::Correct { link, class, reserved: bytes, sent: 0 })))
    }

    /// Takes one request out of the shift budget; returns when.
    async fn reserve_shift<'a>(
        &'a self,
        req: &Acquire<'_>,
        booked: &mut Booked<'a>,
    ) -> Result<Millis, Refusal> {
        let workspace = req.pool.workspace.clone();
        let region = self.me.region.clone();
        let shards = self.snapshot.load().network.owner_shards;
        let shard = ShardId::of_shift(&workspace, &region, shards);
        let ask = Request::ReserveShift { workspace: workspace.clone(), region };
        let give_up = self.clock.now() + self.patience(req);
        loop {
            match self.reserve(&shard, &ask, req.deadline).await {
                Ok((sent, _)) => {
                    booked.notes.push((shard, Note::Unshifted { workspace }));
                    return Ok(sent);
                }
                Err(Refusal::NoHeadroom { retry_after })
                    if self.clock.now() + retry_after < give_up =>
                {
                    tokio::time::sleep(retry_after.duration()).await;
                }
                Err(refusal) => return Err(refusal),
            }
        }
    }

    fn patience(&self, req: &Acquire<'_>) -> Millis {
        Millis((req.deadline - self.clock.now()).0 / PATIENCE_DIV)
    }

    fn travel_of(&self, req: &Acquire<'_>) -> Travel {
        let back = LinkId { from: req.pool.region.clone(), to: self.me.region.clone() };
        Travel { back, class: req.class, reserved: req.answer_bytes }
    }
}

impl Booked<'_> {
    /// The request leaves with all but the first reservation of shift, which a second replaced.
    fn keep_first_shift(&mut self) {
        let first = self.notes.iter().position(|(_, note)| matches!(note, Note::Unshifted { .. }));
        let first = first.map(|at| self.notes.swap_remove(at));
        self.notes.clear();
        self.notes.extend(first);
    }
}

impl<'a> Kept<'a> {
    fn new(limiter: &'a SharedLimiter, ticket: Ticket) -> Self {
        Self { limiter, ticket: Some(ticket) }
    }
}

impl Drop for Booked<'_> {
    fn drop(&mut self) {
        for (shard, note) in self.notes.drain(..) {
            self.limiter.tell(&shard, note);
        }
    }
}

impl Drop for Kept<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let shard = self.limiter.shard_of(&ticket.pool);
        // The reserved link bytes are given back with the other reservations.
        self.limiter.holder.remove(&shard, &ticket);
        let seen =
            Seen { verdict: Verdict::Cancelled, took: Millis::ZERO, answer_bytes: 0, load: None };
        let Ticket { pool, epoch, serial, .. } = ticket;
        self.limiter.tell(&shard, Note::Release { pool, epoch, serial, seen });
    }
}
