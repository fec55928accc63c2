use std::fmt;

use foxtail_config::plan::Refusal;
use foxtail_config::{Difference, compile};
use foxtail_types::prelude::*;

use crate::store;

/// Why a call of an operator did not do what was asked.
#[value]
#[derive(thiserror::Error)]
pub enum Error {
    /// Parameters are not accepted as they stand.
    #[error("not accepted:\n{0}")]
    Invalid(compile::Error),
    /// The change would overload or empty something.
    #[error("refused:\n{}", lines(.0))]
    Refused(Vec<Refusal>),
    /// Somebody else changed the same thing meanwhile. Nothing was changed.
    #[error("{0}")]
    Conflict(Box<Conflict>),
    /// Somebody else changed the network meanwhile. Nothing was changed.
    #[error(
        "the network was last changed at version {now}, and the input was made from version \
         {base}; from the one in force to the input:\n{}",
        lines(.changed)
    )]
    NetworkMoved {
        /// The version that the input was made from.
        base: Version,
        /// The version in force.
        now: Version,
        /// What the input would change of the one in force.
        changed: Vec<Difference>,
    },
    /// The input was made from another version than the one in force. Nothing was changed.
    #[error("the input was made from another version than {now}, which is in force")]
    Moved {
        /// The version in force.
        now: Version,
    },
    /// There is no such thing.
    #[error("there is no {0}")]
    NotFound(String),
    /// It exists already.
    #[error("{0} exists already; show it, change what was shown, and apply that")]
    Exists(String),
    /// The store could not be used. Nothing was changed.
    #[error("the platform's store can't be used now, and nothing was changed: {0}")]
    Unavailable(String),
    /// The store did not tell whether the change took effect.
    #[error(
        "the platform's store did not tell whether version {version} took effect; look at the \
         history before you try again"
    )]
    Unsettled {
        /// The global version that it would have.
        version: Version,
    },
}

/// What somebody else changed.
#[value]
pub struct Conflict {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The version that the input was made from.
    pub base: Version,
    /// The version in force.
    pub now: Version,
    /// Who made the last change.
    pub operator: String,
    /// What changed between the two.
    pub changed: Vec<Difference>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { workspace, base, now, operator, changed } = self;
        write!(
            f,
            "workspace {workspace} is at version {now} (last changed by {operator}), and the \
             input was made from version {base}; meanwhile:\n{}",
            lines(changed)
        )
    }
}

impl From<compile::Error> for Error {
    fn from(e: compile::Error) -> Self {
        Error::Invalid(e)
    }
}

impl From<store::Error> for Error {
    fn from(e: store::Error) -> Self {
        Error::Unavailable(e.to_string())
    }
}

fn lines<T: fmt::Display>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join("\n")
}
