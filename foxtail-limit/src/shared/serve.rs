//! Answering other hosts' messages.

use foxtail_types::prelude::*;

use super::SharedLimiter;
use crate::ShardId;
use crate::msg::{Ask, Reply, Request};

impl SharedLimiter {
    /// Answers a message of another host. For `Acquire` it waits as long as the queue does; dropping
    /// the future withdraws the question.
    pub async fn serve(&self, req: Request) -> Reply {
        match req {
            Request::Acquire(ask) => self.serve_slot(ask).await,
            Request::Notes { shard, fence, notes } => match self.hosted.notes(&shard, fence, notes)
            {
                true => Reply::Done,
                false => self.not_owner(&shard),
            },
            req => {
                let here = self.serve_here(&req);
                here.or_else(|| self.serve_ownership(&req)).unwrap_or(Reply::Done)
            }
        }
    }

    /// Answers what needs no waiting, if this host owns it.
    pub(super) fn serve_here(&self, req: &Request) -> Option<Reply> {
        let shards = self.snapshot.load().network.owner_shards;
        match req {
            Request::ReserveLink { link, class, bytes, patience } => {
                let shard = ShardId::of_link(link, shards);
                let reserve = |owner: &mut crate::owner::Owner, now: Millis| {
                    owner.reserve_link(now, link, *class, *bytes, *patience)
                };
                Some(self.hosted.with(&shard, reserve).unwrap_or_else(|| self.not_owner(&shard)))
            }
            Request::ReserveShift { workspace, region } => {
                let shard = ShardId::of_shift(workspace, region, shards);
                let reserve = |owner: &mut crate::owner::Owner, now: Millis| {
                    owner.reserve_shift(now, workspace)
                };
                Some(self.hosted.with(&shard, reserve).unwrap_or_else(|| self.not_owner(&shard)))
            }
            _ => None,
        }
    }

    fn serve_ownership(&self, req: &Request) -> Option<Reply> {
        self.station.lock().serve(self.clock.now(), self.parts(), req)
    }

    async fn serve_slot(&self, ask: Ask) -> Reply {
        let shard = self.shard_of(&ask.pool);
        match self.hosted.acquire(&shard, ask).await {
            Some(reply) => reply,
            None => self.not_owner(&shard),
        }
    }

    fn not_owner(&self, shard: &ShardId) -> Reply {
        let owner = self.holder.owner(shard).filter(|owner| *owner != self.me.host);
        Reply::NotOwner { owner }
    }
}
