//! The error type for rejected input.

use std::fmt;

use foxtail_types::prelude::*;

/// Input that was rejected, with every problem found, not only the first.
#[value]
#[derive(Default)]
pub struct Error {
    /// The problems, in the order in which they were found.
    pub problems: Vec<Problem>,
}

/// One rejected parameter, or one rejected value of the template.
#[value]
pub struct Problem {
    /// The path of the value in the input, with `.` between its parts.
    pub parameter: String,
    /// Why the value is rejected, with the bound that it violates.
    pub reason: String,
    /// The values that are accepted.
    pub accepted: String,
}

impl std::error::Error for Error {}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            let line_break = if i == 0 { "" } else { "\n" };
            write!(f, "{line_break}{problem}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; accepted: {}", self.parameter, self.reason, self.accepted)
    }
}

impl Error {
    pub(crate) fn push(
        &mut self,
        parameter: impl Into<String>,
        reason: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        let (parameter, reason) = (parameter.into(), reason.into());
        self.problems.push(Problem { parameter, reason, accepted: accepted.into() });
    }

    /// Adds a problem for each error of `report`, whose paths are relative to `root`.
    pub(crate) fn push_report(&mut self, root: &str, report: &garde::Report) {
        for (path, error) in report.iter() {
            self.push(
                format!("{root}.{path}"),
                error.to_string(),
                "a value that meets this constraint",
            );
        }
    }

    /// Returns `value`, or this error if it holds any problem.
    pub(crate) fn into_result<'a, T: 'a>(self, value: T) -> Result<T, Error> {
        if self.problems.is_empty() { Ok(value) } else { Err(self) }
    }
}
