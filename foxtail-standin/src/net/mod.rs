//! A simulated network between regions and zones over loopback: delays, link rates that connections
//! share, byte counters, and cuts.
//!
//! Servers are registered with their location; a client connects through a
//! [`Dial`](foxtail_net::Dial) for its own location. Each connection is a loopback connection with
//! a relay in between, which delays the bytes by the time that the path takes.

mod dial;
mod link;
mod network;
mod relay;

pub use link::Traffic;
pub use network::{Cut, LinkSpec, Location, Network, Options};
