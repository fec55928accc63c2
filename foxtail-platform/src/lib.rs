//! Ports to the platform: table, object store and host list, with HTTP adapters.

mod base64_bytes;
pub mod guard;
pub mod hosts;
pub mod http;
pub mod objects;
pub mod proto;
pub mod table;

pub use guard::Guard;
pub use hosts::{HostEntry, HostList, HostState};
pub use objects::Objects;
pub use table::{Row, Table, Txn};
