//! The entry host: answers look-ups and forwards callers' requests to upstreams.
//!
//! Adapters to the platform implement the traits in [`ports`]; `foxtail-steer` decides which
//! upstream a request goes to. [`Host::start`] starts a host, [`Host::stop`] stops it gracefully.

mod answer_guard;
mod attempt;
mod caller_stream;
mod context;
mod control_traffic;
mod follow;
mod gossip;
mod knowledge;
mod limits;
mod liveness;
pub mod log;
mod lookup;
mod memory;
pub mod message;
mod metrics;
mod node;
mod notices;
mod operator;
mod past_attempts;
mod pool;
pub mod ports;
mod probe;
mod progress;
mod pull;
mod read_ahead;
mod refusal;
mod relay;
mod replica;
mod request;
mod request_body;
mod request_log;
mod response_body;
mod serve;
pub mod settings;
mod share;
mod strikes;

pub use node::{Host, Ports};
pub use settings::Settings;
