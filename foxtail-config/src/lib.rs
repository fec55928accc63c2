//! Workspaces: templates, parameters, checks, plans and versions.

pub mod spec;

pub use spec::{
    Drain, DrainTarget, Link, Network, OnceRule, Region, Service, Snapshot, Upstream, Workspace,
};
