//! Begins requests: writes a claim for the key, or reports the state of an earlier attempt.

use std::sync::Arc;

use foxtail_platform::table::{Change, Expect, Row, Write};
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use rand::Rng;

use super::Inner;
use super::live_attempts::{LiveAttempt, Phase, WorkspaceKey};
use crate::commit::{CommitOutcome, PossiblyApplied, Urgency, WriteRequest};
use crate::record::{self, KeyStatus, Record, State, row_key};
use crate::{Attempt, BeginOutcome, ClaimRequest};

/// Time after which a caller retries when the store was unavailable, or when the claim was
/// committed only after the deadline.
const STORE_RETRY_AFTER: Millis = Millis(1_000);

/// Time after which a caller asks again about an attempt that is still running.
const IN_FLIGHT_RETRY_AFTER: Millis = Millis(500);

/// Time after which a caller asks again about a lost attempt. It is long because only the holder of
/// the claim can still record an answer.
const LOST_RETRY_AFTER: Millis = Millis(30_000);

/// An attempt whose claim is being written. If it is dropped before the claim is granted, the
/// request was not sent: the drop removes the attempt and releases a claim that may have taken
/// effect.
struct PendingClaim {
    inner: Arc<Inner>,
    id: WorkspaceKey,
    claim: Record,
    expect: Expect,
    possibly_applied: PossiblyApplied,
    granted: bool,
}

/// What to do next after reading the row of the key.
enum NextStep {
    Claim(Expect),
    Poll,
    Return(BeginOutcome),
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        self.inner.live_attempts.remove(&self.id, self.claim.token);
        if self.possibly_applied.get() {
            let released = self.claim.with_state(State::Released);
            self.inner.spawn_write_end(self.id.clone(), released, self.expect, Urgency::Soon);
        }
    }
}

impl Inner {
    pub(super) async fn begin(self: &Arc<Self>, req: ClaimRequest<'_>) -> BeginOutcome {
        if let Some(reason) = self.check_key_age(req.key) {
            return BeginOutcome::Refused(reason);
        }
        let id = (req.workspace.clone(), req.key);
        let token = rand::rng().random();
        loop {
            match self.live_attempts.register(&id, req.fingerprint, token) {
                None => return self.claim(id, req, token).await,
                Some(other) => {
                    if let Some(outcome) = self.wait_for_other(other, req).await {
                        return outcome;
                    }
                }
            }
        }
    }

    fn check_key_age(&self, key: IdempotencyKey) -> Option<Reason> {
        let (created_at, wall) = (key.created_at(), self.wall());
        if created_at + self.options.retention < wall {
            return Some(Reason::KeyExpired);
        }
        (created_at > wall + self.options.max_clock_skew).then_some(Reason::KeyRequired)
    }

    fn time_left(&self, req: ClaimRequest<'_>) -> Millis {
        req.deadline.since(self.now())
    }

    /// Waits until `other`, this host's attempt with the same key, changes its phase. Returns
    /// `None` after the change, so that `begin` tries again to register its own attempt.
    async fn wait_for_other(
        &self,
        other: LiveAttempt,
        req: ClaimRequest<'_>,
    ) -> Option<BeginOutcome> {
        if other.fingerprint != req.fingerprint {
            return Some(BeginOutcome::Refused(Reason::KeyReused));
        }
        if let Phase::Answered(answer) = other.phase {
            return Some(BeginOutcome::Replay(answer));
        }
        let phase_changed =
            tokio::time::timeout(self.time_left(req).duration(), other.phase_changed.cancelled())
                .await;
        match phase_changed {
            Ok(()) => None,
            Err(_) => Some(BeginOutcome::Unknown(Reason::KeyInFlight, IN_FLIGHT_RETRY_AFTER)),
        }
    }

    async fn claim(
        self: &Arc<Self>,
        id: WorkspaceKey,
        req: ClaimRequest<'_>,
        token: u64,
    ) -> BeginOutcome {
        let overdue_after = self.wall() + self.time_left(req) + self.options.grace * 2;
        let claim = Record {
            fingerprint: req.fingerprint,
            token,
            holder: self.host_id.clone(),
            overdue_after,
            state: State::Claimed,
        };
        let mut pending_claim = PendingClaim {
            inner: Arc::clone(self),
            id,
            claim,
            expect: Expect::Absent,
            possibly_applied: PossiblyApplied::default(),
            granted: false,
        };
        loop {
            let found = match self.write_claim(&pending_claim, req).await {
                Some(CommitOutcome::Committed(version)) => {
                    return self.grant(pending_claim, req, version);
                }
                Some(CommitOutcome::Conflict(found)) => found,
                Some(CommitOutcome::Expired) => return BeginOutcome::Refused(Reason::KeyExpired),
                Some(CommitOutcome::Failed(_)) | None => return store_unavailable(req),
            };
            match self.resolve_conflict(&mut pending_claim, req, found).await {
                Ok(expect) => pending_claim.expect = expect,
                Err(outcome) => return outcome,
            }
        }
    }

    /// Writes the claim. Returns `None` if its outcome is not known by the deadline.
    async fn write_claim(
        &self,
        pending_claim: &PendingClaim,
        req: ClaimRequest<'_>,
    ) -> Option<CommitOutcome> {
        let write_req = WriteRequest {
            write: Write {
                key: row_key(req.workspace, req.key),
                expect: pending_claim.expect,
                change: Change::Put(pending_claim.claim.encode()),
            },
            key_created_at: Some(req.key.created_at()),
            urgency: Urgency::Now,
            possibly_applied: pending_claim.possibly_applied.clone(),
        };
        let commit = self.ports.commit.commit(write_req);
        tokio::time::timeout(self.time_left(req).duration(), commit).await.ok()
    }

    fn grant(
        &self,
        mut pending_claim: PendingClaim,
        req: ClaimRequest<'_>,
        version: u64,
    ) -> BeginOutcome {
        if self.now() >= req.deadline {
            return BeginOutcome::NotRun(Reason::DeadlinePassed, STORE_RETRY_AFTER);
        }
        let attempt = Attempt {
            workspace: req.workspace.clone(),
            key: req.key,
            fingerprint: req.fingerprint,
            token: pending_claim.claim.token,
            row_version: version,
            deadline: req.deadline,
            overdue_after: pending_claim.claim.overdue_after,
        };
        let open = Phase::Open(attempt.clone());
        let registered = self.live_attempts.set_phase(&pending_claim.id, attempt.token, open);
        assert!(registered, "an attempt stays registered until its claim is granted");
        pending_claim.granted = true;
        BeginOutcome::Run(attempt)
    }

    /// Polls the row of the key until the key is free or the outcome of the other attempt is known.
    /// Returns the precondition for the next claim, or, as the error, the outcome that `begin`
    /// returns.
    async fn resolve_conflict(
        self: &Arc<Self>,
        pending_claim: &mut PendingClaim,
        req: ClaimRequest<'_>,
        mut found: Option<Row>,
    ) -> Result<Expect, BeginOutcome> {
        let (mut wait, max_wait) = self.options.poll_interval;
        loop {
            let Some(row) = &found else { return Ok(Expect::Absent) };
            match self.next_step(pending_claim, req, row).await {
                NextStep::Claim(expect) => return Ok(expect),
                NextStep::Return(outcome) => return Err(outcome),
                NextStep::Poll => {}
            }
            let jittered = self.jitter.up_to(wait).max(wait.duration() / 2);
            tokio::time::sleep(jittered.min(self.time_left(req).duration())).await;
            if self.now() >= req.deadline {
                return Err(BeginOutcome::Unknown(Reason::KeyInFlight, IN_FLIGHT_RETRY_AFTER));
            }
            wait = (wait * 2).min(max_wait);
            if let Ok(row) =
                self.read_row(&row_key(req.workspace, req.key), self.time_left(req)).await
            {
                found = row;
            }
        }
    }

    async fn next_step(
        self: &Arc<Self>,
        pending_claim: &PendingClaim,
        req: ClaimRequest<'_>,
        row: &Row,
    ) -> NextStep {
        let Ok(record) = record::decode_row(row) else {
            return NextStep::Return(BeginOutcome::Unknown(Reason::AnswerLost, LOST_RETRY_AFTER));
        };
        if record.token == pending_claim.claim.token {
            // The claim took effect too late, and another host has marked it lost.
            pending_claim.possibly_applied.set(true);
            return NextStep::Return(BeginOutcome::NotRun(
                Reason::DeadlinePassed,
                STORE_RETRY_AFTER,
            ));
        }
        match record.key_status(row.version, req.fingerprint, self.wall()) {
            KeyStatus::Free(expect) => NextStep::Claim(expect),
            KeyStatus::InFlight => NextStep::Poll,
            KeyStatus::Answered(stored) => {
                NextStep::Return(self.replay(stored, self.time_left(req)).await)
            }
            KeyStatus::Lost => {
                NextStep::Return(BeginOutcome::Unknown(Reason::AnswerLost, LOST_RETRY_AFTER))
            }
            KeyStatus::Reused => NextStep::Return(BeginOutcome::Refused(Reason::KeyReused)),
            KeyStatus::Overdue => {
                let lost = record.with_state(State::Lost);
                let expect = Expect::At(row.version);
                self.spawn_write_end(pending_claim.id.clone(), lost, expect, Urgency::Soon);
                NextStep::Return(BeginOutcome::Unknown(Reason::AnswerLost, LOST_RETRY_AFTER))
            }
        }
    }
}

/// Returns the outcome of a claim that was not granted and never will be, so that this submission
/// did not run. An earlier submission of the same key may have run.
fn store_unavailable(req: ClaimRequest<'_>) -> BeginOutcome {
    match req.resent {
        true => BeginOutcome::Unknown(Reason::StoreUnavailable, STORE_RETRY_AFTER),
        false => BeginOutcome::NotRun(Reason::StoreUnavailable, STORE_RETRY_AFTER),
    }
}
