//! Messages between hosts.

use foxtail_types::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::guard::RunId;
use crate::record::{Evidence, Record};

/// Asks a guard to let a request run.
#[id]
pub struct Ask {
    /// The request.
    pub fp: Fingerprint,
    /// The run.
    pub run: RunId,
    /// The run has ended after this long, counted from the arrival of the message.
    pub within: Millis,
}

/// The guard's answer.
#[value]
pub enum Leave {
    /// It may run.
    Run,
    /// The same request is running, and there was no end to it in time.
    Busy,
    /// It is a suspect, as the record says, and may run only by the table's leave; or it is
    /// convicted.
    Recorded(Record),
}

/// Tells the guard that a run has ended. It may come twice.
#[id]
pub struct Done {
    /// The request.
    pub fp: Fingerprint,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub ended: Ended,
}

/// How a run ended, as far as crashes go.
#[id]
pub enum Ended {
    /// A whole answer.
    Answered,
    /// The connection broke before a whole answer.
    Broke(Evidence),
    /// No connection, a refusal, a timeout, or the caller went away: no evidence either way.
    Nothing,
}

/// What a host tells all others of a fingerprint. It may come twice, late and in any order.
#[value]
pub struct News {
    /// The fingerprint.
    pub fp: Fingerprint,
    /// What is known.
    pub record: Record,
}
