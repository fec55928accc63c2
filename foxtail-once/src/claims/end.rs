//! Records how attempts ended.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtail_platform::table::{Change, Expect, Write};
use foxtail_types::prelude::*;

use super::Inner;
use super::live_attempts::{Phase, WorkspaceKey};
use crate::commit::{CommitOutcome, PossiblyApplied, Urgency, WriteRequest};
use crate::record::{self, Record, State, row_key};
use crate::{Answer, Attempt};

/// First and largest upper bound of the random wait before a failed write of a record is repeated.
const BACKOFF: (Millis, Millis) = (Millis(50), Millis(5_000));

impl Inner {
    pub(super) fn record_answer(self: &Arc<Self>, attempt: Attempt, mut answer: Answer) {
        let bytes = answer.body.as_ref().map_or(0, Vec::len) as u64;
        let pending = self.pending_bytes.fetch_add(bytes, Ordering::SeqCst);
        if pending + bytes > self.options.max_pending_bytes {
            answer.body = None;
        }
        let id = (attempt.workspace.clone(), attempt.key);
        self.live_attempts.set_phase(&id, attempt.token, Phase::Answered(answer.clone()));
        let this = Arc::clone(self);
        self.spawn(async move {
            let stored = this.store_answer(&attempt, answer).await;
            let record = this.record(&attempt, State::Answered(stored));
            this.write_end(&id, record, Expect::At(attempt.row_version), Urgency::Soon).await;
            this.live_attempts.remove(&id, attempt.token);
            this.pending_bytes.fetch_sub(bytes, Ordering::SeqCst);
        });
    }

    /// Removes `attempt` from the live attempts and records `state`, which holds no answer.
    pub(super) fn end_unanswered(self: &Arc<Self>, attempt: &Attempt, state: State) {
        let id = (attempt.workspace.clone(), attempt.key);
        self.live_attempts.remove(&id, attempt.token);
        let record = self.record(attempt, state);
        self.spawn_write_end(id, record, Expect::At(attempt.row_version), Urgency::Soon);
    }

    /// Writes `record` in a background task, over the row that `expect` describes.
    pub(super) fn spawn_write_end(
        self: &Arc<Self>,
        id: WorkspaceKey,
        record: Record,
        expect: Expect,
        urgency: Urgency,
    ) {
        let this = Arc::clone(self);
        self.spawn(async move { this.write_end(&id, record, expect, urgency).await });
    }

    fn record(&self, attempt: &Attempt, state: State) -> Record {
        Record {
            fingerprint: attempt.fingerprint,
            token: attempt.token,
            holder: self.host_id.clone(),
            overdue_after: attempt.overdue_after,
            state,
        }
    }

    /// Writes the final record of an attempt, and repeats failed writes until it is committed or no
    /// longer needed.
    async fn write_end(
        &self,
        id: &WorkspaceKey,
        record: Record,
        mut expect: Expect,
        urgency: Urgency,
    ) {
        let possibly_applied = PossiblyApplied::default();
        let mut backoff = BACKOFF.0;
        loop {
            let change = Change::Put(record.encode());
            let write = Write { key: row_key(&id.0, id.1), expect, change };
            let req = WriteRequest {
                write,
                key_created_at: None,
                urgency,
                possibly_applied: possibly_applied.clone(),
            };
            match self.ports.commit.commit(req).await {
                CommitOutcome::Committed(_)
                | CommitOutcome::Expired
                | CommitOutcome::Conflict(None) => return,
                CommitOutcome::Conflict(Some(found)) => {
                    match supersedes(&record, record::decode_row(&found)) {
                        true => expect = Expect::At(found.version),
                        false => return,
                    }
                }
                CommitOutcome::Failed(_) => {
                    tokio::time::sleep(self.jitter.up_to(backoff)).await;
                    backoff = (backoff * 2).min(BACKOFF.1);
                }
            }
        }
    }
}

/// Returns whether `record` replaces `found`: both belong to the same attempt, and `record` is the
/// more definite one.
fn supersedes(record: &Record, found: Result<Record, record::DecodeError>) -> bool {
    let Ok(found) = found else { return false };
    let same_attempt = found.token == record.token;
    let is_answered = |record: &Record| matches!(record.state, State::Answered(_));
    let is_released = |record: &Record| record.state == State::Released;
    let contradicts =
        is_answered(record) && is_released(&found) || is_released(record) && is_answered(&found);
    assert!(
        !(same_attempt && contradicts),
        "one attempt is recorded both as answered and as proved unsent"
    );
    same_attempt && rank(&record.state) > rank(&found.state)
}

fn rank(state: &State) -> u8 {
    match state {
        State::Claimed => 0,
        State::Lost => 1,
        State::Released | State::Answered(_) => 2,
    }
}
