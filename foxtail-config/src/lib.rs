//! Workspaces: templates, their parameters, checks, headroom and plans.
//!
//! An operator's input is a [`Template`] and its [`Params`]. [`compile()`] checks them and returns
//! the routes and services of the workspace for the configuration that hosts use.
//! [`headroom::assess`] computes the slots that stay free; a slot is the capacity of an upstream to
//! run one request at a time. [`plan`] compares two configurations and refuses a change that would
//! overload a service.

mod compile;
pub mod diff;
mod error;
pub mod headroom;
pub mod params;
pub mod plan;
pub mod site;
pub mod template;

pub use compile::{WorkspaceConfig, compile, workspace_of};
pub use diff::Difference;
pub use error::{Error, Problem};
pub use headroom::Headroom;
pub use params::Params;
pub use plan::Plan;
pub use site::Site;
pub use template::{Limit, Range, Template};
