//! A term of ownership: its start, the fencing of other hosts, and what may be given out.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_types::prelude::*;

use super::stop::Leaving;
use super::{Action, Op, OpId, Parts, Station};
use crate::drift::covering;
use crate::lease::{Claim, Legacy};
use crate::msg::{Held, Reply, Request};
use crate::owner::{Owner, Start};
use crate::{ShardId, Unreachable};

/// How long the reply to a fence is waited for.
const FENCE_TIMEOUT: Millis = Millis(500);
/// The pause before hosts that did not reply are asked again.
const FENCE_AGAIN: Millis = Millis(500);
/// A host absent from the platform's list for so long is gone.
const GONE_AFTER: Millis = Millis(30_000);

/// One host's ownership of one shard.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: Epoch,
    /// Former owners that may still give out their reserve.
    pub(super) formers: Vec<HostId>,
    /// Until when the region's other hosts have promised to leave the shard alone.
    pub(super) promised_until: Millis,
    pub(super) leaving: Option<Leaving>,
    /// What the row said of former owners' tickets, until all are known.
    pub(super) inherited: Vec<(PoolId, Millis)>,
    /// What a successor must know after this owner has stopped.
    pub(super) last_legacy: Legacy,
    former: Option<HostId>,
    lapsed: bool,
    kin_replied: bool,
    withheld_until: Millis,
    unanswered: BTreeSet<HostId>,
    next_fence: Millis,
    listed_at: Millis,
}

impl Term {
    /// What a successor must know.
    pub(super) fn legacy(&self, shard: &ShardId, cx: Parts<'_>) -> Legacy {
        let mut lives: BTreeMap<PoolId, Millis> = BTreeMap::new();
        let mut add = |id: &PoolId, life: Millis| {
            let longest = lives.entry(id.clone()).or_default();
            *longest = life.max(*longest);
        };
        cx.hosted.with(shard, |owner, _| {
            owner.lives_wanted().for_each(|(id, life)| add(id, life));
            if !owner.knows_all() {
                self.inherited.iter().for_each(|(id, life)| add(id, *life));
            }
        });
        Legacy { formers: self.formers.clone(), lives: lives.into_iter().collect() }
    }

    pub(super) fn leaving(&self) -> bool {
        self.leaving.is_some()
    }
}

impl Station {
    /// Starts, ends and authorises the owners on this host.
    pub(super) fn run_terms(
        &mut self,
        now: Millis,
        cx: Parts<'_>,
        actions: &mut Vec<(OpId, Action)>,
    ) {
        for shard in self.leases.keys().cloned().collect::<Vec<_>>() {
            self.end_term_if_lost(&shard, cx);
            self.start_term_if_won(now, &shard, cx);
            self.forget_gone_formers(now, &shard, cx);
            self.authorize(&shard, cx);
            self.fence(now, &shard, actions);
        }
    }

    pub(super) fn fence_done(
        &mut self,
        now: Millis,
        cx: Parts<'_>,
        shard: &ShardId,
        epoch: Epoch,
        from: &HostId,
        reply: Result<Reply, Unreachable>,
    ) {
        let kin = self.kin().any(|host| host == from);
        let Some(term) = self.terms.get_mut(shard).filter(|term| term.epoch == epoch) else {
            return;
        };
        let Ok(Reply::Fenced { held, stopped, withheld }) = reply else { return };
        term.unanswered.remove(from);
        term.kin_replied |= kin && term.former.as_ref() != Some(from);
        term.withheld_until = term.withheld_until.max(now + covering(withheld));
        cx.hosted.with(shard, |owner, now| owner.adopt(now, &held));
        let former = term.formers.iter().position(|former| former == from);
        let complete = stopped && term.former.as_ref() == Some(from);
        if let Some(at) = former {
            term.formers.remove(at);
            let resolved = term.formers.is_empty();
            cx.hosted.with(shard, |owner, now| match (resolved, complete) {
                (true, true) => owner.former_known(),
                (true, false) => owner.former_gone(now),
                (false, _) => {}
            });
        }
    }

    fn end_term_if_lost(&mut self, shard: &ShardId, cx: Parts<'_>) {
        let Some(lease) = self.leases.get(shard) else { return };
        let lost = |term: &Term| lease.own_epoch() != Some(term.epoch);
        if !self.terms.get(shard).is_some_and(lost) {
            return;
        }
        tracing::info!(event = "owner-ends", %shard, next = ?lease.owner());
        cx.hosted.stop(shard);
        cx.holder.learn(shard, lease.owner().cloned());
        self.terms.remove(shard);
    }

    fn start_term_if_won(&mut self, now: Millis, shard: &ShardId, cx: Parts<'_>) {
        let Some(lease) = self.leases.get(shard) else { return };
        let Some(epoch) = lease.own_epoch().filter(|_| now < lease.until()) else { return };
        if self.terms.contains_key(shard) || self.retired {
            return;
        }
        let claim = self.claimed.remove(shard).filter(|(claimed, _)| *claimed == epoch);
        let claim = claim.map(|(_, claim)| claim);
        let book = self.books.remove(shard).filter(|book| book.epoch == epoch);
        let Legacy { mut formers, lives } = lease.legacy();
        let start = start(now, claim, book.as_ref().map(|book| book.complete), &formers);
        tracing::info!(event = "owner-starts", %shard, %epoch, ?claim, ?start);
        let mut owner = Owner::new(shard.clone(), epoch, start, self.pick.clone());
        owner.inherit(&lives);
        owner.configure(now, &self.snapshot);
        if let Some(book) = book {
            let age = now - book.at;
            owner.adopt(now, &aged(book.held, age));
        }
        let mine = formers.contains(&self.me.host);
        formers.retain(|former| *former != self.me.host);
        if mine && formers.is_empty() {
            owner.former_gone(now);
        }
        let own = cx.holder.fence(now, shard, epoch, &self.me.host).unwrap_or_default();
        owner.adopt(now, &own);
        cx.hosted.install(owner);
        let lapsed = claim == Some(Claim::Lapsed) || claim.is_none();
        let term = Term {
            epoch,
            former: formers.last().cloned(),
            formers,
            promised_until: Millis::ZERO,
            leaving: None,
            inherited: lives,
            last_legacy: Legacy::default(),
            lapsed,
            kin_replied: false,
            withheld_until: Millis::ZERO,
            unanswered: self.others().cloned().collect(),
            next_fence: now,
            listed_at: now,
        };
        self.terms.insert(shard.clone(), term);
    }

    /// A former owner that the platform does not list any more can't give out its reserve.
    fn forget_gone_formers(&mut self, now: Millis, shard: &ShardId, cx: Parts<'_>) {
        let listed = |former: &HostId| self.hosts.iter().any(|host| host.id == *former);
        let any_listed = self.terms.get(shard).is_some_and(|term| term.formers.iter().any(listed));
        let former = self.terms.get(shard).and_then(|term| term.former.as_ref());
        let nobody_else = !self.hosts.is_empty() && self.kin().all(|host| Some(host) == former);
        let Some(term) = self.terms.get_mut(shard) else { return };
        let undisputed = term.kin_replied || nobody_else;
        if term.lapsed && undisputed {
            term.lapsed = false;
            let since = now.max(term.withheld_until);
            cx.hosted.with(shard, |owner, _| owner.former_lapsed(since));
        }
        if any_listed || self.hosts.is_empty() || term.formers.is_empty() {
            term.listed_at = now;
        } else if now >= term.listed_at + GONE_AFTER {
            term.formers.clear();
            cx.hosted.with(shard, |owner, now| owner.former_gone(now));
        }
    }

    fn authorize(&self, shard: &ShardId, cx: Parts<'_>) {
        let (Some(term), Some(lease)) = (self.terms.get(shard), self.leases.get(shard)) else {
            return;
        };
        let until = lease.until().max(term.promised_until);
        let lives = lease.legacy().lives;
        cx.hosted.with(shard, |owner, _| {
            owner.confirm_lives(&lives);
            owner.authorize(until, true);
        });
    }

    /// Asks all hosts that may hold tickets of former owners, until each has replied.
    fn fence(&mut self, now: Millis, shard: &ShardId, actions: &mut Vec<(OpId, Action)>) {
        let listed: BTreeSet<HostId> = self.others().cloned().collect();
        let Some(term) = self.terms.get_mut(shard) else { return };
        if now < term.next_fence {
            return;
        }
        term.next_fence = now + FENCE_AGAIN;
        term.unanswered.extend(term.formers.iter().cloned());
        term.unanswered.retain(|host| listed.contains(host));
        let epoch = term.epoch;
        for to in term.unanswered.clone() {
            let owner = self.me.host.clone();
            let req = Request::Fence { shard: shard.clone(), epoch, owner };
            let op = Op::Fence(shard.clone(), epoch, to.clone());
            self.act(op, Action::Call { to, req, timeout: FENCE_TIMEOUT }, actions);
        }
    }

    /// All other hosts, of all regions.
    fn others(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.iter().map(|host| &host.id).filter(|host| **host != self.me.host)
    }
}

/// What a new owner must assume to be out.
fn start(now: Millis, claim: Option<Claim>, book: Option<bool>, formers: &[HostId]) -> Start {
    let reserve = !formers.is_empty();
    match (claim, book) {
        (Some(Claim::First), _) | (None, Some(true)) if !reserve => Start::Known,
        (_, Some(true)) => Start::Unknown { since: Millis::ZERO, reserve },
        (Some(Claim::Released | Claim::Own), _) | (_, Some(false)) => {
            Start::Unknown { since: now, reserve }
        }
        _ => Start::Unknown { since: Millis::MAX, reserve },
    }
}

fn aged(mut held: Vec<Held>, age: Millis) -> Vec<Held> {
    held.iter_mut().for_each(|held| held.remaining = held.remaining - age);
    held
}
