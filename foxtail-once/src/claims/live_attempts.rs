//! Holds the live attempts of this host, in shards with one lock each.

use std::collections::HashMap;
use std::collections::hash_map::{DefaultHasher, Entry};
use std::hash::{Hash, Hasher};

use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::{Answer, Attempt, Fingerprint};

/// Number of shards.
const SHARD_COUNT: usize = 16;

/// A workspace and one of its keys.
pub(super) type WorkspaceKey = (WorkspaceId, IdempotencyKey);

/// The attempts of this host that have not ended or whose answer is not yet recorded, by key.
pub(super) struct LiveAttempts {
    shards: Vec<Mutex<HashMap<WorkspaceKey, LiveAttempt>>>,
}

/// An attempt that has not ended or whose answer is not yet recorded.
#[derive(Clone)]
pub(super) struct LiveAttempt {
    pub(super) fingerprint: Fingerprint,
    pub(super) token: u64,
    pub(super) phase: Phase,
    /// Cancelled when the phase changes or the attempt is removed.
    pub(super) phase_changed: CancellationToken,
}

/// Progress of an attempt on this host.
#[derive(Clone)]
pub(super) enum Phase {
    /// The claim is being written.
    Claiming,
    /// The claim is committed; the attempt has not ended.
    Open(Attempt),
    /// The upstream has answered; the record is not yet written.
    Answered(Answer),
}

impl LiveAttempts {
    pub(super) fn new() -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect() }
    }

    /// Registers an attempt. Returns the existing one instead if its key already has one.
    pub(super) fn register(
        &self,
        id: &WorkspaceKey,
        fingerprint: Fingerprint,
        token: u64,
    ) -> Option<LiveAttempt> {
        match self.shard(id).lock().entry(id.clone()) {
            Entry::Occupied(entry) => Some(entry.get().clone()),
            Entry::Vacant(entry) => {
                let phase_changed = CancellationToken::new();
                entry.insert(LiveAttempt {
                    fingerprint,
                    token,
                    phase: Phase::Claiming,
                    phase_changed,
                });
                None
            }
        }
    }

    /// Sets the phase of the attempt `token` and wakes its waiters. Returns whether the attempt was
    /// registered.
    pub(super) fn set_phase(&self, id: &WorkspaceKey, token: u64, phase: Phase) -> bool {
        let mut shard = self.shard(id).lock();
        let Some(entry) = shard.get_mut(id).filter(|entry| entry.token == token) else {
            return false;
        };
        entry.phase = phase;
        std::mem::take(&mut entry.phase_changed).cancel();
        true
    }

    /// Removes the attempt `token`, wakes its waiters and returns it.
    pub(super) fn remove(&self, id: &WorkspaceKey, token: u64) -> Option<LiveAttempt> {
        let mut shard = self.shard(id).lock();
        if shard.get(id)?.token != token {
            return None;
        }
        let entry = shard.remove(id)?;
        entry.phase_changed.cancel();
        Some(entry)
    }

    /// Returns the phase of the attempt `token`, or `None` if it is not registered.
    pub(super) fn phase(&self, id: &WorkspaceKey, token: u64) -> Option<Phase> {
        let shard = self.shard(id).lock();
        shard.get(id).filter(|entry| entry.token == token).map(|entry| entry.phase.clone())
    }

    /// Returns the open attempts whose deadline lies before `by`.
    pub(super) fn overdue(&self, by: Millis) -> Vec<(WorkspaceKey, Attempt)> {
        let mut found = Vec::new();
        for shard in &self.shards {
            for (id, entry) in shard.lock().iter() {
                if let Phase::Open(attempt) = &entry.phase
                    && attempt.deadline < by
                {
                    found.push((id.clone(), attempt.clone()));
                }
            }
        }
        found
    }

    fn shard(&self, id: &WorkspaceKey) -> &Mutex<HashMap<WorkspaceKey, LiveAttempt>> {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        &self.shards[hasher.finish() as usize % SHARD_COUNT]
    }
}
