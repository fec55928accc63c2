//! Answering other hosts' messages about ownership.

use foxtail_types::prelude::*;

use super::{Book, Parts, Station};
use crate::ShardId;
use crate::msg::{Held, Reply, Request};

impl Station {
    /// Answers a message about ownership; `None` if it is not one.
    pub fn serve(&mut self, now: Millis, cx: Parts<'_>, req: &Request) -> Option<Reply> {
        match req {
            Request::Fence { shard, epoch, owner } => {
                Some(self.serve_fence(now, cx, shard, *epoch, owner))
            }
            Request::Withhold { shards, span } => {
                Some(Reply::Withheld(self.serve_withhold(now, cx, shards, *span)))
            }
            Request::HandOver { shard, epoch, held, complete } => {
                Some(self.serve_hand_over(now, shard, *epoch, held, *complete))
            }
            Request::HandedOver { .. } => {
                self.next_read = now;
                Some(Reply::Done)
            }
            _ => None,
        }
    }

    fn serve_fence(
        &mut self,
        now: Millis,
        cx: Parts<'_>,
        shard: &ShardId,
        epoch: Epoch,
        owner: &HostId,
    ) -> Reply {
        let Some(mut held) = cx.holder.fence(now, shard, epoch, owner) else {
            return Reply::NotOwner { owner: cx.holder.owner(shard) };
        };
        let older = cx.hosted.with(shard, |owner, _| owner.epoch() < epoch).unwrap_or(false);
        let stopped = if older { cx.hosted.stop(shard) } else { None };
        let withheld = self.leases.get(shard).map(|lease| lease.withheld(now, epoch));
        let complete = stopped.as_ref().is_some_and(|(_, complete)| *complete);
        held.extend(stopped.into_iter().flat_map(|(held, _)| held));
        Reply::Fenced { held, stopped: complete, withheld: withheld.unwrap_or_default() }
    }

    fn serve_withhold(
        &mut self,
        now: Millis,
        cx: Parts<'_>,
        shards: &[(ShardId, Epoch)],
        span: Millis,
    ) -> bool {
        let silent = self.store_silent && !self.claiming();
        shards.iter().all(|(shard, epoch)| {
            let current = cx.holder.epoch(shard) <= *epoch;
            let lease = self.leases.get_mut(shard);
            current && lease.is_some_and(|lease| lease.withhold(now, *epoch, span, silent))
        })
    }

    fn serve_hand_over(
        &mut self,
        now: Millis,
        shard: &ShardId,
        epoch: Epoch,
        held: &[Held],
        complete: bool,
    ) -> Reply {
        let Some(lease) = self.leases.get_mut(shard).filter(|_| !self.retired) else {
            return Reply::NotOwner { owner: None };
        };
        let token = lease.ready(now, epoch);
        let book = Book { epoch: epoch.next(), held: held.to_vec(), complete, at: now };
        self.books.insert(shard.clone(), book);
        Reply::Ready { token }
    }
}
