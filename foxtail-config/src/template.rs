//! Templates: the services that a workspace may have, with the bounds of every parameter.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;
use garde::Validate;

use crate::{Limit, OnceRule};

/// A template that operators fill in.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    #[garde(length(min = 1, max = 64), pattern("^[a-z0-9][a-z0-9.-]*$"))]
    pub template: String,
    /// What it is for.
    #[garde(length(max = 400))]
    pub about: String,
    /// Bounds for the requests a second that one region may send to other regions.
    #[garde(dive)]
    pub shift_per_s: Range,
    /// The services, by name.
    #[garde(length(min = 1, max = 64), dive)]
    pub services: BTreeMap<String, ServiceTemplate>,
}

/// A service of a template.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct ServiceTemplate {
    /// What it is for.
    #[garde(length(max = 400))]
    pub about: String,
    /// The class of its requests.
    #[garde(skip)]
    pub class: Class,
    /// The bounds of each limit.
    #[garde(custom(all_limits))]
    pub limits: BTreeMap<Limit, Range>,
    /// What may never be repeated; parameters can only add to it.
    #[garde(skip)]
    pub never_repeat: Vec<OnceRule>,
}

/// The bounds and the default of a number.
#[value]
#[derive(Copy, Validate)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The lowest accepted value.
    #[garde(range(max = self.max))]
    pub min: u64,
    /// The highest accepted value.
    #[garde(skip)]
    pub max: u64,
    /// The value of an operator who gives none.
    #[garde(range(min = self.min, max = self.max))]
    pub default: u64,
}

impl Range {
    /// Whether `value` lies within the bounds.
    pub const fn contains(&self, value: u64) -> bool {
        self.min <= value && value <= self.max
    }

    /// The accepted value nearest to `value`.
    pub fn nearest(&self, value: u64) -> u64 {
        value.clamp(self.min, self.max)
    }
}

fn all_limits(limits: &BTreeMap<Limit, Range>, cx: &()) -> garde::Result {
    for limit in Limit::ALL {
        let range = limits
            .get(&limit)
            .ok_or_else(|| garde::Error::new(format!("`{}` is missing", limit.as_str())))?;
        range
            .validate_with(cx)
            .map_err(|e| garde::Error::new(format!("`{}`: {e}", limit.as_str()).trim_end()))?;
    }
    Ok(())
}
