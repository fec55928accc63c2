//! Classes of traffic.

use std::fmt;
use std::str::FromStr;

use foxtail_macro::id;

/// The class of a request: who goes first where capacity is short.
#[id]
#[derive(Default)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// May wait, but must arrive: takes what interactive traffic leaves, and a guaranteed trickle.
    Archive,
}

impl Class {
    /// The name in headers, settings and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Archive => "archive",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "interactive" => Ok(Class::Interactive),
            "archive" => Ok(Class::Archive),
            _ => Err(format!("class must be `interactive` or `archive`, not `{text}`")),
        }
    }
}
