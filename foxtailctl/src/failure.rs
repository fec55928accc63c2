//! The reasons why a command fails, and the exit code of each.

use std::process::ExitCode;

use foxtail_adapter::{ChangeOutcome, StoreError};
use foxtail_config::plan::{Plan, Refusal};
use foxtail_types::prelude::*;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// Any other error.
    #[error("{0:#}")]
    Other(#[from] anyhow::Error),
    /// The command line, the settings or an input file is invalid or can't be read, or the logs
    /// don't name the request.
    #[error("{0}")]
    Usage(String),
    /// The input violates a bound of the template or names something unknown.
    #[error("not accepted:\n{0}")]
    Invalid(foxtail_config::Error),
    /// The plan refuses the change.
    #[error("refused:{}", format_refusals(.0))]
    Refused(Vec<Refusal>),
    /// The named workspace, version or drain does not exist.
    #[error("{0}")]
    NotFound(String),
    /// Somebody else made a change first, or the input was made from another version.
    #[error("{0}")]
    Conflict(String),
    /// The change is stored, but was not in force on all hosts in time.
    #[error("version {version} is stored, but not in force on: {}", join_hosts(.hosts))]
    NotInForce {
        /// The version of the configuration.
        version: Version,
        /// The hosts that don't have the change or did not answer.
        hosts: Vec<HostId>,
    },
    /// The store was unreachable or unavailable; nothing was changed.
    #[error("{0}")]
    StoreUnavailable(StoreError),
    /// The store was reached, but its answer was lost, so that the change may have been made.
    #[error(
        "the store's answer was lost, and the change may have been made ({0}); check the current \
         state before you retry"
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

    /// Converts the error of a write to the store.
    pub(crate) fn from_change(e: StoreError) -> Self {
        match e {
            e @ StoreError::NoAnswer(_) => Failure::OutcomeUnknown(e),
            e => Failure::StoreUnavailable(e),
        }
    }
}

/// Returns [`Failure::Refused`] if `plan` refuses the change.
pub(crate) fn ensure_allowed(plan: &Plan) -> Result<(), Failure> {
    if plan.refused.is_empty() {
        return Ok(());
    }
    Err(Failure::Refused(plan.refused.clone()))
}

/// Returns [`Failure::Conflict`] if the store did not make the change because of another one.
pub(crate) fn ensure_applied(outcome: ChangeOutcome) -> Result<(), Failure> {
    match outcome {
        ChangeOutcome::Applied => Ok(()),
        ChangeOutcome::Conflict => Err(Failure::Conflict(
            "somebody else changed the configuration first; this change was not made".to_owned(),
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
