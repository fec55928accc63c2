//! Outgoing connections behind the trait [`Dial`], and a pooled HTTP client that uses it.

mod adjustable;
mod dial;
pub mod http;

pub use adjustable::SilenceTimeout;
pub use dial::{Dial, KeepaliveDial, Stream, TcpDial};
