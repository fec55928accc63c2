use foxtail_platform::table::{self, Expect, Outcome, Txn, Write};
use foxtail_types::prelude::*;
use serde::Serialize;

use super::{Accepted, Admin, Error};
use crate::msg::{Change, Item};
use crate::rows::{self, Head, HistoryRow};
use crate::store::{self, Loaded};

/// How often a change is made anew because others came first.
const ATTEMPTS: usize = 16;
/// How long an ambiguous reply is looked into.
const SETTLE_FOR: Millis = Millis(6_000);
/// The pause between two looks.
const SETTLE_PAUSE: Millis = Millis(200);
/// How many changes are kept in the table. A host that is further behind reads all rows.
const CHANGES_KEPT: u64 = 1_000;
/// How many former inputs of a workspace are kept.
const HISTORY_KEPT: u64 = 500;

/// A change made up from the configuration in force.
pub(super) struct Draft {
    /// What it sets, for hosts.
    pub(super) item: Item,
    /// The row, with the input.
    pub(super) row: Vec<u8>,
    /// The input to be kept.
    pub(super) history: Option<HistoryRow>,
}

/// Makes a change, to be committed as the given global version, from the configuration in force.
pub(super) type MakeDraft<'a> =
    dyn Fn(&Loaded, Version) -> Result<Option<Draft>, Error> + Sync + 'a;

enum Attempt {
    Done(Change),
    Overtaken,
}

impl Admin {
    /// Commits what `draft` makes of the configuration in force; `None` changes nothing.
    pub(super) async fn commit(
        &self,
        operator: &str,
        draft: &MakeDraft<'_>,
    ) -> Result<Accepted, Error> {
        for _ in 0..ATTEMPTS {
            let loaded = store::load(self.table.as_ref()).await?;
            let version = loaded.version.next();
            let Some(draft) = draft(&loaded, version)? else {
                return Ok(Accepted { version: loaded.version, workspace: None, changed: false });
            };
            let change = Change {
                version,
                at: self.clock.wall(),
                operator: operator.to_owned(),
                token: rand::random(),
                item: draft.item.clone(),
            };
            let workspace = draft.history.as_ref().map(|history| history.version);
            let txn = transaction(&loaded, &change, draft);
            if let Attempt::Done(change) = self.settle(&txn, change).await? {
                tracing::info!(event = "config_accepted", %version, operator, token = change.token);
                self.spread.accepted(&change, loaded.with(&change));
                return Ok(Accepted { version, workspace, changed: true });
            }
        }
        Err(Error::Unavailable("others changed the configuration all the time".to_owned()))
    }

    /// Commits `txn`, again and again until its outcome is certain: its precondition on the head
    /// lets it take effect at most once.
    async fn settle(&self, txn: &Txn, change: Change) -> Result<Attempt, Error> {
        let until = self.clock.now() + SETTLE_FOR;
        let mut ambiguous = false;
        loop {
            match self.table.commit(txn, store::options()).await {
                Outcome::Committed(_) => return Ok(Attempt::Done(change)),
                Outcome::Conflict { .. } => match self.whose(&change).await {
                    Ok(true) => return Ok(Attempt::Done(change)),
                    Ok(false) => return Ok(Attempt::Overtaken),
                    Err(_) => ambiguous = true,
                },
                Outcome::Failed(e) if !ambiguous => return Err(Error::Unavailable(e.to_string())),
                Outcome::Failed(_) => {}
                Outcome::Ambiguous(e) => {
                    tracing::warn!(event = "config_reply_lost", version = %change.version, error = %e);
                    ambiguous = true;
                }
            }
            if self.clock.now() >= until {
                return Err(Error::Unsettled { version: change.version });
            }
            tokio::time::sleep(SETTLE_PAUSE.duration()).await;
        }
    }

    /// Whether the change that took the version is this attempt's own.
    async fn whose(&self, change: &Change) -> Result<bool, store::Error> {
        let key = rows::change_key(change.version);
        let found: Option<Change> = store::read_one(self.table.as_ref(), &key).await?;
        Ok(found.is_some_and(|found| found.token == change.token))
    }
}

impl Draft {
    pub(super) fn new<T: Serialize>(item: Item, row: &T) -> Self {
        Self { item, row: rows::encode(row), history: None }
    }
}

fn transaction(loaded: &Loaded, change: &Change, draft: Draft) -> Txn {
    let put = |key: String, expect: Expect, value: Vec<u8>| Write {
        key,
        expect,
        change: table::Change::Put(value),
    };
    let head = loaded.head_row.map_or(Expect::Absent, Expect::At);
    let version = change.version;
    let mut writes = vec![
        put(rows::HEAD.to_owned(), head, rows::encode(&Head { version })),
        put(rows::change_key(version), Expect::Absent, rows::encode(change)),
        put(change.row_key(), Expect::Any, draft.row),
    ];
    if version.0 > CHANGES_KEPT {
        writes.push(delete(rows::change_key(Version(version.0 - CHANGES_KEPT))));
    }
    if let (Some(history), Item::Workspace(workspace)) = (draft.history, &change.item) {
        let key = rows::history_key(&workspace.id, history.version);
        writes.push(put(key, Expect::Absent, rows::encode(&history)));
        if history.version.0 > HISTORY_KEPT {
            let old = Version(history.version.0 - HISTORY_KEPT);
            writes.push(delete(rows::history_key(&workspace.id, old)));
        }
    }
    Txn { writes }
}

fn delete(key: String) -> Write {
    Write { key, expect: Expect::Any, change: table::Change::Delete }
}
