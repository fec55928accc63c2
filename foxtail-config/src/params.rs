//! The parameters of a workspace, which an operator fills in for a template.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::Limit;

/// The parameters of one workspace.
#[value]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// The name of the workspace.
    pub workspace: WorkspaceId,
    /// The name of the template that these parameters are for.
    pub template: String,
    /// The host name in callers' requests.
    pub host: String,
    /// Services with an expected load, or with limits that differ from the template's defaults, by
    /// name.
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
    /// The expected load in requests per second, by the region where it enters. Only plans use it.
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
    /// The regions that may serve the route; empty for all regions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<RegionId>,
    /// The weight of each service that gets a share of the requests. If empty, all requests go to
    /// the template's service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<String, u32>,
}
