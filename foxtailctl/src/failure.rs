//! How a call failed, and the exit code for it.

use std::process::ExitCode;

use foxtail_adapter::{Applied, StoreError};
use foxtail_config::plan::{Plan, Refusal};
use foxtail_types::prelude::*;

/// Why a call did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// Something else.
    #[error("{0:#}")]
    Other(#[from] anyhow::Error),
    /// The command line, the settings or a file can't be used.
    #[error("{0}")]
    Usage(String),
    /// The input is not accepted.
    #[error("not accepted:\n{0}")]
    Invalid(foxtail_config::Error),
    /// The change would do harm.
    #[error("refused:{}", format_refusals(.0))]
    Refused(Vec<Refusal>),
    /// There is no such thing.
    #[error("{0}")]
    NotFound(String),
    /// Somebody else made a change first.
    #[error("{0}")]
    Conflict(String),
    /// Made, but not in force everywhere in time.
    #[error("version {version} is made, but not in force on: {}", join_hosts(.hosts))]
    NotInForce {
        /// The version.
        version: Version,
        /// The hosts that don't have it or did not answer.
        hosts: Vec<HostId>,
    },
    /// The store could not be used, so that nothing was changed.
    #[error("{0}")]
    StoreUnavailable(StoreError),
    /// The store was reached, and its answer was lost.
    #[error(
        "the answer was lost, and the change may have been made ({0}); show it before you try again"
    )]
    OutcomeUnknown(StoreError),
}

impl Failure {
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Other(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Invalid(_) | Failure::Refused(_) | Failure::NotFound(_) => 3,
            Failure::Conflict(_) => 4,
            Failure::NotInForce { .. } => 5,
            Failure::StoreUnavailable(_) => 6,
            Failure::OutcomeUnknown(_) => 7,
        })
    }

    /// Why a change could not be made.
    pub(crate) fn from_change(e: StoreError) -> Self {
        match e {
            e @ StoreError::NoAnswer(_) => Failure::OutcomeUnknown(e),
            e => Failure::StoreUnavailable(e),
        }
    }
}

/// Fails if the plan says that the change would be refused.
pub(crate) fn ensure_allowed(plan: &Plan) -> Result<(), Failure> {
    if plan.refused.is_empty() {
        return Ok(());
    }
    Err(Failure::Refused(plan.refused.clone()))
}

/// Fails if somebody else was first.
pub(crate) fn ensure_applied(applied: Applied) -> Result<(), Failure> {
    match applied {
        Applied::Done => Ok(()),
        Applied::Conflict => Err(Failure::Conflict(
            "somebody else changed the configuration first; nothing was changed".to_owned(),
        )),
    }
}

fn format_refusals(refused: &[Refusal]) -> String {
    let text = |r: &Refusal| format!("\n  {}; accepted: {}", r.reason, r.accepted);
    refused.iter().map(text).collect()
}

fn join_hosts(hosts: &[HostId]) -> String {
    hosts.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
