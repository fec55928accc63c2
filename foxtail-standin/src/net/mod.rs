//! A network between regions and zones over loopback: delays, shared link rates, counters, cuts.
//!
//! Servers are registered with their place; whoever connects gets a [`Dial`](foxtail_net::Dial)
//! for its own place. Each connection is a plain loopback connection with a pump between, which
//! holds the bytes back as long as the way between the two places takes.

mod dial;
mod link;
mod network;
mod relay;

pub use link::Traffic;
pub use network::{Cut, LinkSpec, Location, Network, Options};
