//! Ports to what the platform keeps for the project beyond its configuration: a transactional table
//! and an object store, with a guard that holds a host to its share of them.

mod base64_bytes;
pub mod guard;
pub mod objects;
pub mod table;

pub use guard::GuardedTable;
pub use objects::Objects;
pub use table::{Row, Table, Txn};
