//! What an operator fills in: the parameters of a workspace.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::Limit;

/// The parameters of one workspace.
#[value]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The name of the template that they are for.
    pub template: String,
    /// The host name that callers ask for.
    pub host: String,
    /// Services whose limits or load differ from the template's defaults, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<String, ServiceParams>,
    /// Routes that differ from the template's defaults, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<String, RouteParams>,
}

/// The parameters of one service.
#[value]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct ServiceParams {
    /// Limits that differ from the template's defaults.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub limits: BTreeMap<Limit, u64>,
    /// The expected requests a second that enter in each region, for plans.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub expected_per_s: BTreeMap<String, u64>,
}

/// The parameters of one route.
#[value]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct RouteParams {
    /// Limits that differ from the template's defaults.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub limits: BTreeMap<Limit, u64>,
    /// The only regions that may serve it; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<RegionId>,
    /// The services that share its requests, by weight; empty for the template's service alone.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<String, u32>,
}
