//! Handing shards over when the host stops.

use foxtail_platform::table::{self, Txn, Write};
use foxtail_types::prelude::*;

use super::store::{READ_BACK_AFTER, written};
use super::{Action, Op, OpId, Parts, Station};
use crate::msg::{Held, Reply, Request};
use crate::{ShardId, Unreachable};

/// How many hosts are asked to follow before the shard is released to anyone.
const SUCCESSORS_MAX: usize = 2;
/// How long a successor's reply is waited for.
const HAND_OVER_TIMEOUT: Millis = Millis(500);
/// The pause before an attempt is repeated.
const AGAIN: Millis = Millis(500);

/// An owner that has stopped and hands over.
#[derive(Debug)]
pub(super) struct Leaving {
    held: Vec<Held>,
    complete: bool,
    asked: Vec<HostId>,
    successor: Option<(HostId, u64)>,
    busy: bool,
    next: Millis,
}

impl Station {
    /// Takes the next step of handing over each shard.
    pub(super) fn hand_over(
        &mut self,
        now: Millis,
        cx: Parts<'_>,
        actions: &mut Vec<(OpId, Action)>,
    ) {
        if !self.stopping || self.renewing {
            return;
        }
        for shard in self.terms.keys().cloned().collect::<Vec<_>>() {
            self.begin_leaving(now, &shard, cx);
            self.leave(now, &shard, actions);
        }
    }

    pub(super) fn hand_over_done(
        &mut self,
        now: Millis,
        shard: &ShardId,
        to: HostId,
        reply: Result<Reply, Unreachable>,
    ) {
        let Some(leaving) = self.leaving(shard) else { return };
        leaving.busy = false;
        leaving.next = now;
        if let Ok(Reply::Ready { token }) = reply {
            leaving.successor = Some((to, token));
        }
    }

    pub(super) fn release_done(
        &mut self,
        now: Millis,
        shard: &ShardId,
        to: Option<HostId>,
        write: &Write,
        outcome: table::Outcome,
    ) {
        self.heard(&outcome);
        self.next_read = self.next_read.min(now + READ_BACK_AFTER);
        if let Some(lease) = self.leases.get_mut(shard) {
            lease.settle(now, written(&outcome, 0), write);
        }
        if let Some(leaving) = self.leaving(shard) {
            leaving.busy = false;
            leaving.next = now + AGAIN;
        }
        if let (table::Outcome::Committed(_), Some(to)) = (outcome, to) {
            self.tell.push((to, shard.clone()));
        }
    }

    pub(super) fn tell_successors(&mut self, actions: &mut Vec<(OpId, Action)>) {
        for (to, shard) in std::mem::take(&mut self.tell) {
            let req = Request::HandedOver { shard };
            self.act(Op::HandedOver, Action::Call { to, req, timeout: HAND_OVER_TIMEOUT }, actions);
        }
    }

    fn begin_leaving(&mut self, now: Millis, shard: &ShardId, cx: Parts<'_>) {
        let Some(term) = self.terms.get_mut(shard).filter(|term| term.leaving.is_none()) else {
            return;
        };
        term.last_legacy = term.legacy(shard, cx);
        let (held, complete) = cx.hosted.stop(shard).unwrap_or_default();
        let asked = Vec::new();
        term.leaving =
            Some(Leaving { held, complete, asked, successor: None, busy: false, next: now });
    }

    fn leave(&mut self, now: Millis, shard: &ShardId, actions: &mut Vec<(OpId, Action)>) {
        let ranked: Vec<HostId> = shard.rank(self.live_kin()).into_iter().cloned().collect();
        let Some(term) = self.terms.get_mut(shard) else { return };
        let (epoch, legacy) = (term.epoch, term.last_legacy.clone());
        let Some(leaving) = term.leaving.as_mut().filter(|l| !l.busy && now >= l.next) else {
            return;
        };
        leaving.busy = true;
        let next = ranked.into_iter().find(|host| !leaving.asked.contains(host));
        let ask = leaving.successor.is_none() && leaving.asked.len() < SUCCESSORS_MAX;
        if let Some(to) = next.filter(|_| ask) {
            leaving.asked.push(to.clone());
            let (held, complete) = (leaving.held.clone(), leaving.complete);
            let req = Request::HandOver { shard: shard.clone(), epoch, held, complete };
            let op = Op::HandOver(shard.clone(), to.clone());
            return self.act(op, Action::Call { to, req, timeout: HAND_OVER_TIMEOUT }, actions);
        }
        let successor = leaving.successor.clone();
        let to = successor.as_ref().map(|(host, _)| host.clone());
        let Some(lease) = self.leases.get_mut(shard) else { return };
        let Some(write) = lease.release(successor, legacy) else { return };
        lease.sent(now);
        tracing::info!(event = "hand-over", %shard, to = ?to);
        let txn = Txn { writes: vec![write.clone()] };
        self.act(Op::Release(shard.clone(), to, write), Action::Commit { txn }, actions);
    }

    fn leaving(&mut self, shard: &ShardId) -> Option<&mut Leaving> {
        self.terms.get_mut(shard)?.leaving.as_mut()
    }
}
