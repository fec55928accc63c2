//! Recording how attempts ended.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtail_platform::table::{Change, Expect, Write};
use foxtail_types::prelude::*;

use super::Inner;
use super::live::{Id, Phase};
use crate::commit::{Done, Entry, Sent, Urgency};
use crate::record::{self, Record, State, row_key};
use crate::{Answer, Attempt};

/// The first and the longest wait before a failed record is written again.
const BACKOFF: (Millis, Millis) = (Millis(50), Millis(5_000));

impl Inner {
    pub(super) fn answered(self: &Arc<Self>, attempt: Attempt, mut answer: Answer) {
        let bytes = answer.body.as_ref().map_or(0, Vec::len) as u64;
        let pending = self.pending_bytes.fetch_add(bytes, Ordering::SeqCst);
        if pending + bytes > self.options.pending_max_bytes {
            answer.body = None;
        }
        let id = (attempt.workspace.clone(), attempt.key);
        self.live.advance(&id, attempt.token, Phase::Answered(answer.clone()));
        let this = Arc::clone(self);
        self.spawn(async move {
            let kept = this.keep(&attempt, answer).await;
            let record = this.record(&attempt, State::Answered(kept));
            this.write_end(&id, record, Expect::At(attempt.row), Urgency::Soon).await;
            this.live.remove(&id, attempt.token);
            this.pending_bytes.fetch_sub(bytes, Ordering::SeqCst);
        });
    }

    /// Ends `attempt` without an answer.
    pub(super) fn end(self: &Arc<Self>, attempt: &Attempt, state: State) {
        let id = (attempt.workspace.clone(), attempt.key);
        self.live.remove(&id, attempt.token);
        let record = self.record(attempt, state);
        self.conclude(id, record, Expect::At(attempt.row), Urgency::Soon);
    }

    /// Writes `record` in the background, over the row that `expect` describes.
    pub(super) fn conclude(self: &Arc<Self>, id: Id, record: Record, expect: Expect, by: Urgency) {
        let this = Arc::clone(self);
        self.spawn(async move { this.write_end(&id, record, expect, by).await });
    }

    fn record(&self, attempt: &Attempt, state: State) -> Record {
        Record {
            print: attempt.print,
            token: attempt.token,
            holder: self.me.clone(),
            ends: attempt.ends,
            state,
        }
    }

    /// Writes the end of an attempt until it is written, or is not needed any more.
    async fn write_end(&self, id: &Id, record: Record, mut expect: Expect, urgency: Urgency) {
        let sent = Sent::default();
        let mut backoff = BACKOFF.0;
        loop {
            let change = Change::Put(record.encode());
            let write = Write { key: row_key(&id.0, id.1), expect, change };
            let entry = Entry { write, born: None, urgency, sent: sent.clone() };
            match self.ports.commit.commit(entry).await {
                Done::Committed(_) | Done::Expired | Done::Conflict(None) => return,
                Done::Conflict(Some(found)) => match overwrites(&record, record::read(&found)) {
                    true => expect = Expect::At(found.version),
                    false => return,
                },
                Done::Failed(_) => {
                    tokio::time::sleep(self.jitter.up_to(backoff)).await;
                    backoff = (backoff * 2).min(BACKOFF.1);
                }
            }
        }
    }
}

/// Whether `record` says more than `found` about the same attempt.
fn overwrites(record: &Record, found: Result<Record, record::DecodeError>) -> bool {
    let Ok(found) = found else { return false };
    let same = found.token == record.token;
    let ran = |record: &Record| matches!(record.state, State::Answered(_));
    let free = |record: &Record| record.state == State::Released;
    let contradicts = ran(record) && free(&found) || free(record) && ran(&found);
    assert!(!(same && contradicts), "an attempt proved unsent was answered");
    same && rank(&record.state) > rank(&found.state)
}

fn rank(state: &State) -> u8 {
    match state {
        State::Claimed => 0,
        State::Lost => 1,
        State::Released | State::Answered(_) => 2,
    }
}
