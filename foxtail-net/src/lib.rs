//! Connections behind a port, and a pooled HTTP client over it.

mod dial;
pub mod http;

pub use dial::{Dial, KeepaliveDial, Stream, TcpDial};
