//! The table's leave to run a suspect: one run at a time for each service in the whole system.
//!
//! Suspects of one service never run at the same time, so that one of them can't bring down the
//! upstream under another. One row for each service stands for the trial under way; a conviction
//! has a row of its own. A trial whose end was never recorded is taken over only by a host that
//! saw the row unchanged for the trial's whole time by its own clock, and counts as a broken
//! connection.

use std::collections::HashMap;

use foxtail_platform::table::{Change, Expect, Options, Outcome, Priority, Row, Table, Txn, Write};
use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::fingerprint::Fingerprint;
use crate::guard::RunId;
use crate::record::{Record, Standing};

/// The longest wait for the table.
const TABLE_TIMEOUT: Millis = Millis(500);
/// How often the end of a trial, and the fate of a write whose reply was lost, is tried to be told.
const TRIES: usize = 5;
/// The pause between two tries.
const TRY_AGAIN_AFTER: Millis = Millis(100);
/// What is added to a trial's time before it may be taken over.
const GRACE: Millis = Millis::secs(2);
/// The most rows that are watched for a take-over.
const WATCHED_MAX: usize = 256;

/// The trials that other hosts run, and since when their rows were seen unchanged.
#[derive(Debug, Default)]
pub struct Trials {
    watched: Mutex<HashMap<String, Watched>>,
}

/// A suspect that asks for a trial.
#[derive(Clone, Debug)]
pub struct Suspect<'a> {
    /// The workspace.
    pub workspace: &'a WorkspaceId,
    /// The service.
    pub service: &'a ServiceId,
    /// The fingerprint.
    pub fp: Fingerprint,
    /// The run.
    pub run: RunId,
    /// How long the run may take.
    pub within: Millis,
}

/// A trial under way, run by this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    key: String,
    fp: Fingerprint,
    version: u64,
}

/// A run that was lost together with its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The fingerprint.
    pub fp: Fingerprint,
    /// The run.
    pub run: RunId,
}

/// Why there is no trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another one is under way.
    Busy,
    /// The fingerprint is convicted, as this record says.
    Convicted(Record),
    /// The trial before was lost with its host. Its row is gone; ask again after taking note.
    Lost(Lost),
    /// The table service can't be used.
    Store,
}

/// The row of a trial.
#[value]
struct State {
    fp: Fingerprint,
    run: RunId,
    /// How long the trial may take, with some time to spare.
    within: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Watched {
    version: u64,
    since: Millis,
}

impl Trials {
    /// Begins a trial.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if it may not run.
    pub async fn begin(
        &self,
        table: &dyn Table,
        clock: &dyn Clock,
        suspect: &Suspect<'_>,
    ) -> Result<Trial, Refusal> {
        let Suspect { fp, run, .. } = *suspect;
        let key = trial_key(suspect);
        let value = encode(&State { fp, run, within: suspect.within + GRACE });
        let writes = vec![
            Write { key: key.clone(), expect: Expect::Absent, change: Change::Put(value.clone()) },
            Write { key: conviction_key(fp), expect: Expect::Absent, change: Change::Keep },
        ];
        let found = match commit(table, writes).await {
            Outcome::Committed(versions) => {
                let version = versions.first().copied().ok_or(Refusal::Store)?;
                return Ok(Trial { key, fp, version });
            }
            Outcome::Conflict { at: 0, found } => found,
            Outcome::Conflict { found, .. } => return Err(convicted(table, clock, fp, found).await),
            Outcome::Failed(_) => return Err(Refusal::Store),
            Outcome::Ambiguous(_) => read_back(table, &key).await?,
        };
        match found {
            Some(row) if row.value == value => Ok(Trial { key, fp, version: row.version }),
            Some(row) => Err(self.other_trial(table, clock, key, &row).await),
            None => Err(Refusal::Store),
        }
    }

    /// What the trial in `row`, begun elsewhere, means for one that asks.
    async fn other_trial(
        &self,
        table: &dyn Table,
        clock: &dyn Clock,
        key: String,
        row: &Row,
    ) -> Refusal {
        let state = postcard::from_bytes::<State>(&row.value).ok();
        let span = state.as_ref().map_or(GRACE, |state| state.within);
        if !self.unchanged_for(&key, row.version, span, clock.now()) {
            return Refusal::Busy;
        }
        let write = Write { key, expect: Expect::At(row.version), change: Change::Delete };
        match (commit(table, vec![write]).await, state) {
            (Outcome::Committed(_), Some(State { fp, run, .. })) => Refusal::Lost(Lost { fp, run }),
            _ => Refusal::Busy,
        }
    }

    fn unchanged_for(&self, key: &str, version: u64, span: Millis, now: Millis) -> bool {
        let mut watched = self.watched.lock();
        if watched.len() >= WATCHED_MAX {
            watched.clear();
        }
        let new = Watched { version, since: now };
        let it = watched.entry(key.to_owned()).or_insert(new);
        if it.version != version {
            *it = new;
        }
        now.since(it.since) > span
    }
}

impl Trial {
    /// Ends the trial, and records a conviction.
    ///
    /// # Errors
    ///
    /// [`Refusal::Store`] if the table did not take it; the trial then counts as lost later.
    pub async fn end(self, table: &dyn Table, record: &Record) -> Result<(), Refusal> {
        let expect = Expect::At(self.version);
        let mut writes = vec![Write { key: self.key, expect, change: Change::Delete }];
        if record.standing() == Standing::Convicted {
            let key = conviction_key(self.fp);
            let change = Change::Put(encode(record));
            writes.push(Write { key, expect: Expect::Any, change });
        }
        for _ in 0..TRIES {
            match commit(table, writes.clone()).await {
                Outcome::Committed(_) | Outcome::Conflict { .. } => return Ok(()),
                Outcome::Failed(_) | Outcome::Ambiguous(_) => {
                    tokio::time::sleep(TRY_AGAIN_AFTER.duration()).await;
                }
            }
        }
        Err(Refusal::Store)
    }
}

/// What the row of a conviction means. One that has expired is removed.
async fn convicted(
    table: &dyn Table,
    clock: &dyn Clock,
    fp: Fingerprint,
    found: Option<Row>,
) -> Refusal {
    let Some(row) = found else { return Refusal::Busy };
    let record = postcard::from_bytes::<Record>(&row.value).ok();
    if let Some(record) = record.filter(|record| record.expires() > clock.wall()) {
        return Refusal::Convicted(record);
    }
    let expect = Expect::At(row.version);
    commit(table, vec![Write { key: conviction_key(fp), expect, change: Change::Delete }]).await;
    Refusal::Busy
}

/// Finds out whether a write whose reply was lost took effect: its run's number is in the row.
async fn read_back(table: &dyn Table, key: &str) -> Result<Option<Row>, Refusal> {
    let keys = [key.to_owned()];
    for _ in 0..TRIES {
        if let Ok(rows) = table.read(&keys, options()).await {
            return Ok(rows.into_iter().next().flatten());
        }
        tokio::time::sleep(TRY_AGAIN_AFTER.duration()).await;
    }
    Err(Refusal::Store)
}

async fn commit(table: &dyn Table, writes: Vec<Write>) -> Outcome {
    table.commit(&Txn { writes }, options()).await
}

fn options() -> Options {
    Options { priority: Priority::Claim, timeout: TABLE_TIMEOUT }
}

fn trial_key(suspect: &Suspect<'_>) -> String {
    format!("crash/trial/{}/{}", suspect.workspace, suspect.service)
}

fn conviction_key(fp: Fingerprint) -> String {
    format!("crash/convicted/{fp}")
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("a row has no value that can't be written")
}
