//! Asking the owner of a shard.

use std::sync::atomic::Ordering;

use foxtail_platform::HostState;
use foxtail_types::prelude::*;

use super::SharedLimiter;
use crate::holder::Travel;
use crate::msg::{Ask, AskId, Note, Reply, Request};
use crate::owner::TICKET_LIFE_MAX;
use crate::{Acquire, Refusal, ShardId, Ticket};

/// The first pause before an owner is looked for again; it doubles.
const BACKOFF_MIN: Millis = Millis(10);
/// The longest such pause.
const BACKOFF_MAX: Millis = Millis(160);
/// The part of the time left for which an owner is looked for.
const PATIENCE_DIV: u64 = 2;
/// An archive request asks again if this many times the advised wait is left.
const ARCHIVE_MARGIN: u64 = 2;
/// How long a reservation's reply is waited for.
const RESERVE_TIMEOUT: Millis = Millis(500);

/// Withdraws a question sent to another host unless its reply came.
struct Sent<'a> {
    limiter: &'a SharedLimiter,
    shard: &'a ShardId,
    note: Option<Note>,
}

/// The search for the owner of a shard.
struct Search {
    until: Millis,
    tries: usize,
    pause: Millis,
}

impl SharedLimiter {
    /// A slot of the pool, wherever it is.
    pub(super) async fn slot(
        &self,
        req: &Acquire<'_>,
        travel: Option<Travel>,
    ) -> Result<Ticket, Refusal> {
        let shard = self.shard_of(req.pool);
        let mut search = self.search(req.deadline);
        loop {
            let now = self.clock.now();
            let remaining = (req.deadline - now).min(TICKET_LIFE_MAX);
            if remaining == Millis::ZERO {
                return Err(Refusal::Overloaded { retry_after: search.pause });
            }
            let ask = self.ask(req, &shard, remaining);
            match self.ask_slot(&shard, ask, search.tries).await {
                Some(Reply::Granted(grant)) => {
                    let ticket = Ticket::new(req.pool, grant, now);
                    if self.holder.accept(&shard, &ticket, travel.clone()) {
                        return Ok(ticket);
                    }
                }
                Some(Reply::Refused(refusal)) => {
                    self.wait_for_turn(req, refusal).await?;
                    continue;
                }
                Some(Reply::NotOwner { owner }) => self.holder.learn(&shard, owner),
                _ => self.holder.learn(&shard, None),
            }
            self.pause(&mut search).await?;
        }
    }

    /// An archive request asks again after a refusal while its deadline allows, as it may wait but
    /// must arrive; any other is told at once.
    async fn wait_for_turn(&self, req: &Acquire<'_>, refusal: Refusal) -> Result<(), Refusal> {
        let after = match (req.class, &refusal) {
            (Class::Archive, Refusal::Overloaded { retry_after }) => *retry_after,
            _ => return Err(refusal),
        };
        if self.clock.now() + after * ARCHIVE_MARGIN >= req.deadline {
            return Err(refusal);
        }
        tokio::time::sleep(after.max(BACKOFF_MIN).duration()).await;
        Ok(())
    }

    /// Sends a reservation to the owner of `shard`; returns when it was sent, and the wait.
    pub(super) async fn reserve(
        &self,
        shard: &ShardId,
        req: &Request,
        deadline: Millis,
    ) -> Result<(Millis, Millis), Refusal> {
        let mut search = self.search(deadline);
        loop {
            let sent = self.clock.now();
            let reply = match self.target(shard, search.tries) {
                Some(host) if host == self.me.host => self.serve_here(req),
                Some(host) => self.peers.call(&host, req.clone(), RESERVE_TIMEOUT).await.ok(),
                None => None,
            };
            match reply {
                Some(Reply::Reserved { after }) => return Ok((sent, after)),
                Some(Reply::Refused(refusal)) => return Err(refusal),
                Some(Reply::NotOwner { owner }) => self.holder.learn(shard, owner),
                _ => self.holder.learn(shard, None),
            }
            self.pause(&mut search).await?;
        }
    }

    fn ask(&self, req: &Acquire<'_>, shard: &ShardId, remaining: Millis) -> Ask {
        let no = self.asks.fetch_add(1, Ordering::Relaxed);
        Ask {
            id: AskId { host: self.me.host.clone(), no },
            request: req.request,
            pool: req.pool.clone(),
            class: req.class,
            zone: self.me.zone.clone(),
            remaining,
            avoid: req.avoid.to_vec(),
            fence: self.holder.epoch(shard),
        }
    }

    async fn ask_slot(&self, shard: &ShardId, ask: Ask, tries: usize) -> Option<Reply> {
        let host = self.target(shard, tries)?;
        if host == self.me.host {
            return self.hosted.acquire(shard, ask).await;
        }
        let note = Note::Withdraw { pool: ask.pool.clone(), ask: ask.id.clone() };
        let mut sent = Sent { limiter: self, shard, note: Some(note) };
        let timeout = ask.remaining;
        let moved = self.holder.moved(shard);
        let reply = tokio::select! {
            reply = self.peers.call(&host, Request::Acquire(ask), timeout) => reply.ok()?,
            () = moved.notified() => return Some(Reply::NotOwner { owner: self.holder.owner(shard) }),
        };
        sent.note = None;
        Some(reply)
    }

    /// Whom to ask: the owner if known, else the hosts that would own it, in turn.
    pub(super) fn target(&self, shard: &ShardId, tries: usize) -> Option<HostId> {
        if self.hosted.with(shard, |_, _| ()).is_some() {
            return Some(self.me.host.clone());
        }
        if let Some(owner) = self.holder.owner(shard).filter(|owner| *owner != self.me.host) {
            return Some(owner);
        }
        let hosts = self.hosts.load();
        let live = hosts.iter().filter(|host| host.region == shard.region);
        let live = live.filter(|host| host.state == HostState::Live).map(|host| &host.id);
        let ranked = shard.rank(live);
        ranked.get(tries % ranked.len().max(1)).map(|host| (*host).clone())
    }

    fn search(&self, deadline: Millis) -> Search {
        let now = self.clock.now();
        let until = now + Millis((deadline - now).0 / PATIENCE_DIV);
        Search { until, tries: 0, pause: BACKOFF_MIN }
    }

    async fn pause(&self, search: &mut Search) -> Result<(), Refusal> {
        if self.clock.now() >= search.until {
            return Err(Refusal::OwnerUnreachable);
        }
        tokio::time::sleep(search.pause.duration()).await;
        search.tries += 1;
        search.pause = (search.pause * 2).min(BACKOFF_MAX);
        Ok(())
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if let Some(note) = self.note.take() {
            self.limiter.tell(self.shard, note);
        }
    }
}
