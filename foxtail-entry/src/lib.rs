//! The entry host: answers look-ups, takes callers' requests and forwards them to upstreams.
//!
//! What it speaks with the platform, callers and upstreams comes through the ports of [`ports`];
//! what it decides comes from `foxtail-steer`. Start one with [`Node::start`], end it with
//! [`Node::stop`].

mod attempt;
mod context;
mod follow;
mod gossip;
mod knowledge;
pub mod log;
mod lookup;
mod metrics;
mod node;
mod operator;
mod pool;
pub mod ports;
mod refusal;
mod replica;
mod request;
mod serve;
pub mod settings;
mod share;

pub use node::{Node, Ports};
pub use settings::Settings;
