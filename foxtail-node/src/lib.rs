//! The host process assembled: caller side, upstream side, peers and operators.
//!
//! [`Node::start`] takes checked [`Settings`] and the [`Ports`] to the outside; [`Node::stop`] ends
//! it gracefully and tells how that went.

mod blocks;
mod caller;
pub mod decisions;
mod fleet;
mod in_use;
mod keys;
mod limits;
mod members;
mod metrics;
pub mod node;
mod operator;
mod peer;
mod ready;
mod serve;
pub mod settings;
mod state;
pub mod stop;
mod upstream;

pub use decisions::Decision;
pub use node::{Node, Ports};
pub use settings::Settings;
