//! The entry host: answers look-ups, takes callers' requests and forwards them to upstreams.
//!
//! What it speaks with the platform, callers and upstreams comes through the ports of [`ports`];
//! what it decides comes from `foxtail-steer`. Start one with [`Node::start`], end it with
//! [`Node::stop`].

mod answer;
mod attempt;
mod cx;
mod follow;
mod gossip;
mod knowledge;
mod ledger;
pub mod log;
mod lookup;
mod metrics;
mod node;
mod operator;
mod pool;
pub mod ports;
mod request;
mod serve;
pub mod settings;
mod share;

pub use node::{Node, Ports};
pub use settings::Settings;
