//! A network between regions and zones over loopback: delays, shared link rates, counters, cuts.
//!
//! Servers are registered with their place; whoever connects gets a [`Dial`](foxtail_net::Dial)
//! for its own place. Each connection is a plain loopback connection with a pump between, which
//! holds the bytes back as long as the way between the two places takes.

mod dial;
mod fabric;
mod link;
mod pump;

pub use fabric::{Cut, Fabric, Options, Place, Route};
pub use link::Traffic;
