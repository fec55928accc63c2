//! Workspaces: templates, parameters, checks, plans and versions.
//!
//! An operator's input is a [`Template`] and its [`Params`], and for the whole site one
//! [`NetworkParams`]. [`compile::workspace`] and [`compile::network`] check them and make the
//! [`spec`] that hosts use. [`headroom::assess`] tells what a configuration leaves free, and
//! [`plan`] compares two of them and refuses what would overload a region or a link.

pub mod compile;
pub mod diff;
pub mod headroom;
pub mod params;
pub mod plan;
pub mod spec;
pub mod stage;
pub mod template;

pub use diff::Difference;
pub use headroom::Headroom;
pub use params::{Limit, NetworkParams, Params};
pub use plan::Plan;
pub use spec::{
    ClientBlock, Drain, DrainTarget, Link, Network, OnceRule, Region, Service, Snapshot, Upstream,
    Workspace,
};
pub use template::Template;
