//! An implementation of [`AtMostOnce`] with three likely mistakes.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_once::record::{Record, State, row_key};
use foxtail_once::{Answer, AtMostOnce, Attempt, BeginOutcome, ClaimRequest};
use foxtail_platform::Table;
use foxtail_platform::table::{Change, Expect, Options, Outcome, Priority, Txn, Write};
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;

/// Takes over overdue claims, treats an ambiguous commit as failed, and deletes the row of a
/// released claim.
pub(crate) struct NaiveAtMostOnce {
    pub(crate) table: Arc<dyn Table>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl NaiveAtMostOnce {
    async fn write(
        &self,
        workspace: &WorkspaceId,
        key: IdempotencyKey,
        expect: Expect,
        change: Change,
    ) -> Outcome {
        let writes = vec![Write { key: row_key(workspace, key), expect, change }];
        let options = Options { priority: Priority::Claim, timeout: Millis(500) };
        self.table.commit(&Txn { writes }, options).await
    }

    fn record(
        &self,
        fingerprint: foxtail_once::Fingerprint,
        overdue_after: Millis,
        state: State,
    ) -> Change {
        let holder = HostId::new("naive").unwrap();
        Change::Put(
            Record { fingerprint, token: rand::random(), holder, overdue_after, state }.encode(),
        )
    }
}

#[async_trait]
impl AtMostOnce for NaiveAtMostOnce {
    async fn begin(&self, req: ClaimRequest<'_>) -> BeginOutcome {
        let overdue_after = self.clock.wall() + req.deadline.since(self.clock.now());
        let mut expect = Expect::Absent;
        loop {
            let change = self.record(req.fingerprint, overdue_after, State::Claimed);
            let found = match self.write(req.workspace, req.key, expect, change).await {
                Outcome::Committed(versions) => {
                    return BeginOutcome::Run(Attempt {
                        workspace: req.workspace.clone(),
                        key: req.key,
                        fingerprint: req.fingerprint,
                        token: 0,
                        row_version: versions[0],
                        deadline: req.deadline,
                        overdue_after,
                    });
                }
                Outcome::Conflict { found, .. } => found,
                _ => return BeginOutcome::NotRun(Reason::StoreUnavailable, Millis(1)),
            };
            let Some(row) = found else { continue };
            match Record::decode(&row.value).unwrap() {
                Record { state: State::Claimed, overdue_after, .. }
                    if overdue_after < self.clock.wall() =>
                {
                    expect = Expect::At(row.version);
                }
                _ => return BeginOutcome::Unknown(Reason::KeyInFlight, Millis(1)),
            }
        }
    }

    async fn record_answer(&self, attempt: Attempt, _: Answer) {
        let change = self.record(attempt.fingerprint, attempt.overdue_after, State::Lost);
        self.write(&attempt.workspace, attempt.key, Expect::At(attempt.row_version), change).await;
    }

    async fn release(&self, attempt: Attempt) {
        self.write(&attempt.workspace, attempt.key, Expect::Any, Change::Delete).await;
    }

    async fn mark_lost(&self, _: Attempt) {}

    fn may_send(&self, attempt: &Attempt) -> bool {
        self.clock.now() < attempt.deadline
    }
}
