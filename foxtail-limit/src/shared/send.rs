//! Sending facts to owners on other hosts.

use std::sync::Arc;

use foxtail_types::prelude::*;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::SharedLimiter;
use crate::ShardId;
use crate::msg::{Reply, Request};
use crate::notes::Batch;

/// How long a batch's reply is waited for.
const SEND_TIMEOUT: Millis = Millis(1_000);
/// The pause after batches that were not taken in.
const RESEND_PAUSE: Millis = Millis(50);
/// Batches on their way at a time.
const SENDING_MAX: usize = 16;

impl SharedLimiter {
    /// Sends what owners on other hosts are to be told, until `stop` and all is sent.
    pub(crate) async fn send(self: Arc<Self>, stop: CancellationToken) {
        let mut sending: JoinSet<bool> = JoinSet::new();
        loop {
            let batches = tokio::select! {
                biased;
                batches = self.outbox.take() => batches,
                () = stop.cancelled() => break,
            };
            for (shard, batch) in batches {
                while sending.len() >= SENDING_MAX {
                    sending.join_next().await;
                }
                let limiter = self.clone();
                sending.spawn(async move { limiter.send_batch(shard, batch).await });
            }
            let mut refused = false;
            while let Some(taken) = sending.try_join_next() {
                refused |= !taken.unwrap_or(false);
            }
            if refused {
                tokio::time::sleep(RESEND_PAUSE.duration()).await;
            }
        }
        while sending.join_next().await.is_some() {}
    }

    /// Sends one batch; false if it waits again.
    async fn send_batch(&self, shard: ShardId, batch: Batch) -> bool {
        let Some(owner) = self.target(&shard, batch.tries as usize) else {
            self.outbox.push_back(&shard, batch, false);
            return false;
        };
        let fence = self.holder.epoch(&shard);
        if owner == self.me.host {
            self.hosted.notes(&shard, fence, batch.notes);
            return true;
        }
        let req = Request::Notes { shard: shard.clone(), fence, notes: batch.notes.clone() };
        let reply = self.peers.call(&owner, req, SEND_TIMEOUT).await;
        let may_have = match reply {
            Ok(Reply::Done) => return true,
            Ok(Reply::NotOwner { owner }) => {
                self.holder.learn(&shard, owner);
                false
            }
            Ok(_) | Err(_) => true,
        };
        self.outbox.push_back(&shard, batch, may_have);
        self.outbox.wake();
        false
    }
}
