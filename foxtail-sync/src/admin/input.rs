use foxtail_config::plan::Plan;
use foxtail_config::{Drain, NetworkParams, Params, Template};
use foxtail_types::prelude::*;

/// What an operator hands in for a workspace, and what `show` gives back to be changed.
#[value]
#[serde(deny_unknown_fields)]
pub struct Input {
    /// The version that it was made from; 0 for a new workspace.
    #[serde(default)]
    pub base: Version,
    /// The template.
    pub template: Template,
    /// The parameters.
    pub params: Params,
}

/// A plan with the versions that it is for.
#[value]
pub struct Planned {
    /// The plan.
    pub plan: Plan,
    /// The version of the workspace in force; 0 if there is none.
    pub now: Version,
}

/// An accepted change.
#[value]
pub struct Accepted {
    /// The global version.
    pub version: Version,
    /// The workspace's own version, if one changed.
    pub workspace: Option<Version>,
    /// Whether anything changed at all.
    pub changed: bool,
}

/// A former version of a workspace.
#[value]
pub struct HistoryEntry {
    /// The workspace's version.
    pub version: Version,
    /// The global version.
    pub global: Version,
    /// When it was accepted, since the Unix epoch.
    pub at: Millis,
    /// Who made it.
    pub operator: String,
    /// What it was for.
    pub note: String,
}

/// The network and the drains.
#[value]
pub struct Shown {
    /// The global version.
    pub version: Version,
    /// The global version that set the network; 0 if there is none.
    pub network_version: Version,
    /// The network's input, once there is one.
    pub network: Option<NetworkParams>,
    /// The drains.
    pub drains: Vec<Drain>,
    /// The workspaces and their versions.
    pub workspaces: Vec<(WorkspaceId, Version)>,
}

/// Where a version is in force.
#[value]
#[derive(Default)]
pub struct InForce {
    /// The version.
    pub version: Version,
    /// How many hosts hold it or a newer one.
    pub held: u32,
    /// The hosts that do not yet.
    pub missing: Vec<HostId>,
    /// The hosts that do not and that nobody has heard from lately.
    pub unreachable: Vec<HostId>,
    /// Whether raised limits are in use; lowered ones are as soon as a host holds the version.
    pub limits_raised: bool,
}
