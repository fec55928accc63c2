//! Ports to the platform: table, object store and host list, with HTTP adapters.

pub mod hosts;
pub mod objects;
pub mod proto;
pub mod table;

pub use hosts::{HostEntry, HostList, HostState};
pub use objects::Objects;
pub use table::{Row, Table, Txn};
