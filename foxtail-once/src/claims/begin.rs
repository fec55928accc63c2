//! From a request with a key to a claim, or to what is known of an earlier attempt.

use std::sync::Arc;

use foxtail_platform::table::{Change, Expect, Row, Write};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use rand::Rng;

use super::Inner;
use super::live::{Attempted, Id, Phase};
use crate::commit::{Done, Entry, Sent, Urgency};
use crate::record::{self, Record, State, Verdict, row_key};
use crate::{Ask, Attempt, Begin};

/// When to come back after the store was out of reach.
const STORE_RETRY: Millis = Millis(1_000);

/// When to ask again about an attempt under way.
const IN_FLIGHT_RETRY: Millis = Millis(500);

/// When to ask again about a lost attempt: only its holder can still say more.
const LOST_RETRY: Millis = Millis(30_000);

/// An attempt whose claim is being written. Dropped without a claim handed out, it proves that the
/// request was not sent, and sees to it that a claim that took effect is released.
struct Entering {
    inner: Arc<Inner>,
    id: Id,
    claim: Record,
    expect: Expect,
    sent: Sent,
    handed_out: bool,
}

/// What follows from a row.
enum Next {
    Claim(Expect),
    Poll,
    End(Begin),
}

impl Drop for Entering {
    fn drop(&mut self) {
        if self.handed_out {
            return;
        }
        self.inner.live.remove(&self.id, self.claim.token);
        if self.sent.get() {
            let released = self.claim.with(State::Released);
            self.inner.conclude(self.id.clone(), released, self.expect, Urgency::Soon);
        }
    }
}

impl Inner {
    pub(super) async fn begin(self: &Arc<Self>, ask: Ask<'_>) -> Begin {
        if let Some(reason) = self.check_birth(ask.key) {
            return Begin::Refused(reason);
        }
        let id = (ask.workspace.clone(), ask.key);
        let token = rand::rng().random();
        loop {
            match self.live.enter(&id, ask.print, token) {
                None => return self.claim(id, ask, token).await,
                Some(other) => {
                    if let Some(begin) = self.join(other, ask).await {
                        return begin;
                    }
                }
            }
        }
    }

    fn check_birth(&self, key: IdempotencyKey) -> Option<Reason> {
        let (born, wall) = (key.created_at(), self.wall());
        if born + self.options.retention < wall {
            return Some(Reason::KeyExpired);
        }
        (born > wall + self.options.ahead_max).then_some(Reason::KeyRequired)
    }

    fn left(&self, ask: Ask<'_>) -> Millis {
        ask.deadline.since(self.now())
    }

    /// Waits for another attempt of this host; `None` once it has moved on.
    async fn join(&self, other: Attempted, ask: Ask<'_>) -> Option<Begin> {
        if other.print != ask.print {
            return Some(Begin::Refused(Reason::KeyReused));
        }
        if let Phase::Answered(answer) = other.phase {
            return Some(Begin::Replay(answer));
        }
        let moved = tokio::time::timeout(self.left(ask).duration(), other.moved.cancelled()).await;
        match moved {
            Ok(()) => None,
            Err(_) => Some(Begin::Unknown(Reason::KeyInFlight, IN_FLIGHT_RETRY)),
        }
    }

    async fn claim(self: &Arc<Self>, id: Id, ask: Ask<'_>, token: u64) -> Begin {
        let ends = self.wall() + self.left(ask) + self.options.grace * 2;
        let claim = Record {
            print: ask.print,
            token,
            holder: self.me.clone(),
            ends,
            state: State::Claimed,
        };
        let mut entering = Entering {
            inner: Arc::clone(self),
            id,
            claim,
            expect: Expect::Absent,
            sent: Sent::default(),
            handed_out: false,
        };
        loop {
            let found = match self.write_claim(&entering, ask).await {
                Some(Done::Committed(version)) => return self.hand_out(entering, ask, version),
                Some(Done::Conflict(found)) => found,
                Some(Done::Expired) => return Begin::Refused(Reason::KeyExpired),
                Some(Done::Failed(_)) | None => return store_unavailable(ask),
            };
            match self.examine(&mut entering, ask, found).await {
                Ok(expect) => entering.expect = expect,
                Err(begin) => return begin,
            }
        }
    }

    /// Writes the claim; `None` if there was no word of it by the deadline.
    async fn write_claim(&self, entering: &Entering, ask: Ask<'_>) -> Option<Done> {
        let entry = Entry {
            write: Write {
                key: row_key(ask.workspace, ask.key),
                expect: entering.expect,
                change: Change::Put(entering.claim.encode()),
            },
            born: Some(ask.key.created_at()),
            urgency: Urgency::Now,
            sent: entering.sent.clone(),
        };
        let commit = self.ports.commit.commit(entry);
        tokio::time::timeout(self.left(ask).duration(), commit).await.ok()
    }

    fn hand_out(&self, mut entering: Entering, ask: Ask<'_>, version: u64) -> Begin {
        if self.now() >= ask.deadline {
            return Begin::NotRun(Reason::DeadlinePassed, STORE_RETRY);
        }
        let attempt = Attempt {
            workspace: ask.workspace.clone(),
            key: ask.key,
            print: ask.print,
            token: entering.claim.token,
            row: version,
            deadline: ask.deadline,
            ends: entering.claim.ends,
        };
        let open = Phase::Open(attempt.clone());
        let there = self.live.advance(&entering.id, attempt.token, open);
        assert!(there, "an attempt stays registered until it is handed out");
        entering.handed_out = true;
        Begin::Run(attempt)
    }

    /// Follows the row of the key until the key is free or its story is known.
    async fn examine(
        self: &Arc<Self>,
        entering: &mut Entering,
        ask: Ask<'_>,
        mut found: Option<Row>,
    ) -> Result<Expect, Begin> {
        let (mut wait, longest) = self.options.poll;
        loop {
            let Some(row) = &found else { return Ok(Expect::Absent) };
            match self.judge(entering, ask, row).await {
                Next::Claim(expect) => return Ok(expect),
                Next::End(begin) => return Err(begin),
                Next::Poll => {}
            }
            let jittered = self.jitter.up_to(wait).max(wait.duration() / 2);
            tokio::time::sleep(jittered.min(self.left(ask).duration())).await;
            if self.now() >= ask.deadline {
                return Err(Begin::Unknown(Reason::KeyInFlight, IN_FLIGHT_RETRY));
            }
            wait = (wait * 2).min(longest);
            if let Ok(row) = self.read(&row_key(ask.workspace, ask.key), self.left(ask)).await {
                found = row;
            }
        }
    }

    async fn judge(self: &Arc<Self>, entering: &Entering, ask: Ask<'_>, row: &Row) -> Next {
        let Ok(record) = record::read(row) else {
            return Next::End(Begin::Unknown(Reason::AnswerLost, LOST_RETRY));
        };
        if record.token == entering.claim.token {
            // The claim took effect, too late, and was given up by another host.
            entering.sent.set(true);
            return Next::End(Begin::NotRun(Reason::DeadlinePassed, STORE_RETRY));
        }
        match record.verdict(row.version, ask.print, self.wall()) {
            Verdict::Free(expect) => Next::Claim(expect),
            Verdict::InFlight => Next::Poll,
            Verdict::Answered(kept) => Next::End(self.replay(kept, self.left(ask)).await),
            Verdict::Lost => Next::End(Begin::Unknown(Reason::AnswerLost, LOST_RETRY)),
            Verdict::Reused => Next::End(Begin::Refused(Reason::KeyReused)),
            Verdict::Overdue => {
                let lost = record.with(State::Lost);
                let expect = Expect::At(row.version);
                self.conclude(entering.id.clone(), lost, expect, Urgency::Soon);
                Next::End(Begin::Unknown(Reason::AnswerLost, LOST_RETRY))
            }
        }
    }
}

/// The claim was not handed out and never will be, so that this sending did not run. An earlier
/// sending may have.
fn store_unavailable(ask: Ask<'_>) -> Begin {
    match ask.resent {
        true => Begin::Unknown(Reason::StoreUnavailable, STORE_RETRY),
        false => Begin::NotRun(Reason::StoreUnavailable, STORE_RETRY),
    }
}
