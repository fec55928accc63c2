//! Services between hosts (tarpc) and towards operators (jsonrpsee).

pub mod operator;
pub mod peer;
pub mod peers;

pub use peer::{Peer, PeerClient};
pub use peers::Peers;
