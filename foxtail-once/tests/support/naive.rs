//! A gate with three mistakes that come easily.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_once::record::{Record, State, row_key};
use foxtail_once::{Answer, Ask, Attempt, Begin, Gate};
use foxtail_platform::Table;
use foxtail_platform::table::{Change, Expect, Options, Outcome, Priority, Txn, Write};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;

/// Takes over claims whose time is over, takes an ambiguous commit for a failed one, and deletes
/// the row of a released claim.
pub(crate) struct Naive {
    pub(crate) table: Arc<dyn Table>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl Naive {
    async fn write(
        &self,
        ws: &WorkspaceId,
        key: IdempotencyKey,
        expect: Expect,
        change: Change,
    ) -> Outcome {
        let writes = vec![Write { key: row_key(ws, key), expect, change }];
        let options = Options { priority: Priority::Claim, timeout: Millis(500) };
        self.table.commit(&Txn { writes }, options).await
    }

    fn record(&self, print: foxtail_once::Fingerprint, ends: Millis, state: State) -> Change {
        let holder = HostId::new("naive").unwrap();
        Change::Put(Record { print, token: rand::random(), holder, ends, state }.encode())
    }
}

#[async_trait]
impl Gate for Naive {
    async fn begin(&self, ask: Ask<'_>) -> Begin {
        let ends = self.clock.wall() + ask.deadline.since(self.clock.now());
        let mut expect = Expect::Absent;
        loop {
            let change = self.record(ask.print, ends, State::Claimed);
            let found = match self.write(ask.workspace, ask.key, expect, change).await {
                Outcome::Committed(versions) => {
                    return Begin::Run(Attempt {
                        workspace: ask.workspace.clone(),
                        key: ask.key,
                        print: ask.print,
                        token: 0,
                        row: versions[0],
                        deadline: ask.deadline,
                        ends,
                    });
                }
                Outcome::Conflict { found, .. } => found,
                _ => return Begin::NotRun(Reason::StoreUnavailable, Millis(1)),
            };
            let Some(row) = found else { continue };
            match Record::decode(&row.value).unwrap() {
                Record { state: State::Claimed, ends, .. } if ends < self.clock.wall() => {
                    expect = Expect::At(row.version);
                }
                _ => return Begin::Unknown(Reason::KeyInFlight, Millis(1)),
            }
        }
    }

    async fn answered(&self, attempt: Attempt, _: Answer) {
        let change = self.record(attempt.print, attempt.ends, State::Lost);
        self.write(&attempt.workspace, attempt.key, Expect::At(attempt.row), change).await;
    }

    async fn released(&self, attempt: Attempt) {
        self.write(&attempt.workspace, attempt.key, Expect::Any, Change::Delete).await;
    }

    async fn lost(&self, _: Attempt) {}

    fn may_send(&self, attempt: &Attempt) -> bool {
        self.clock.now() < attempt.deadline
    }
}
