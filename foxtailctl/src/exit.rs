//! How a call failed, and the exit code for it.

use std::process::ExitCode;

use foxtail_config::Plan;
use foxtail_sync::admin::{Error, InForce};

/// Why a call did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// Something else.
    #[error("{0:#}")]
    Other(#[from] anyhow::Error),
    /// The command line, the settings or a file can't be used.
    #[error("{0}")]
    Usage(String),
    /// A host answered that it did not do it.
    #[error("{0}")]
    Refused(Error),
    /// Accepted, but not in force everywhere in time.
    #[error("{}", late(.0))]
    Late(InForce),
    /// No host could be reached, so that nothing was changed.
    #[error("no host could be reached: {0}")]
    Unreachable(String),
    /// A host was reached, and its answer was lost.
    #[error(
        "the answer was lost, and the change may have been made ({0}); show it before you try again"
    )]
    Lost(String),
}

impl Failure {
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Other(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Refused(Error::Conflict(_) | Error::NetworkMoved { .. }) => 4,
            Failure::Refused(Error::Exists(_) | Error::Moved { .. }) => 4,
            Failure::Refused(Error::Unavailable(_)) => 6,
            Failure::Refused(Error::Unsettled { .. }) => 7,
            Failure::Refused(Error::Invalid(_) | Error::Refused(_) | Error::NotFound(_)) => 3,
            Failure::Late(_) => 5,
            Failure::Unreachable(_) => 6,
            Failure::Lost(_) => 7,
        })
    }
}

/// Fails if the plan says that the change would be refused.
pub(crate) fn allowed(plan: &Plan) -> Result<(), Failure> {
    if plan.refused.is_empty() {
        return Ok(());
    }
    Err(Failure::Refused(Error::Refused(plan.refused.clone())))
}

fn late(got: &InForce) -> String {
    let names = |hosts: &[foxtail_types::HostId]| {
        hosts.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    };
    let mut text =
        format!("version {} is accepted and in force on {} hosts", got.version, got.held);
    if !got.missing.is_empty() {
        text += &format!("; not yet on {}", names(&got.missing));
    }
    if !got.unreachable.is_empty() {
        text += &format!("; not heard from: {}", names(&got.unreachable));
    }
    if !got.limits_raised {
        text += "; raised limits wait until every host confirms";
    }
    text
}
