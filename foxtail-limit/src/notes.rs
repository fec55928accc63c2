//! Facts on their way to owners: batched while an earlier batch is on its way.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::ShardId;
use crate::msg::Note;

/// How often a batch is sent before it is dropped: tickets expire by themselves.
const TRIES_MAX: u32 = 20;
/// The most facts that wait for one owner.
const PENDING_MAX: usize = 4_096;

/// Facts that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pending: Mutex<HashMap<ShardId, Batch>>,
    ready: Notify,
}

/// Facts for one owner.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// The facts, in order.
    pub notes: Vec<Note>,
    /// How often they were sent.
    pub tries: u32,
}

impl Outbox {
    /// Adds a fact for the owner of `shard`.
    pub(crate) fn push(&self, shard: &ShardId, note: Note) {
        let mut pending = self.pending.lock();
        let batch = pending.entry(shard.clone()).or_default();
        if batch.notes.len() < PENDING_MAX {
            batch.notes.push(note);
        }
        drop(pending);
        self.ready.notify_one();
    }

    /// Takes back a batch that was not taken in. If it `may_have` been, what must not be told twice
    /// is dropped.
    pub(crate) fn push_back(&self, shard: &ShardId, mut batch: Batch, may_have: bool) {
        batch.tries += 1;
        if may_have {
            batch.notes.retain(Note::repeatable);
        }
        if batch.tries >= TRIES_MAX || batch.notes.is_empty() {
            return;
        }
        let mut pending = self.pending.lock();
        let newer = pending.entry(shard.clone()).or_default();
        batch.notes.append(&mut newer.notes);
        batch.notes.truncate(PENDING_MAX);
        *newer = batch;
    }

    /// Waits until there is something to send, and takes it.
    pub(crate) async fn take(&self) -> Vec<(ShardId, Batch)> {
        loop {
            let taken: Vec<_> = self.pending.lock().drain().collect();
            if !taken.is_empty() {
                return taken;
            }
            self.ready.notified().await;
        }
    }

    /// Wakes the sender for what was pushed back.
    pub(crate) fn wake(&self) {
        self.ready.notify_one();
    }
}

impl Note {
    /// Whether being told twice does no harm.
    fn repeatable(&self) -> bool {
        matches!(self, Note::Release { .. } | Note::Withdraw { .. })
    }
}
