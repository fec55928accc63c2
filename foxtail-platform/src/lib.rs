//! Ports to the services of the platform besides its configuration: a transactional table and an
//! object store, with a guard that holds each host to its share of the table service's rate.

mod base64_bytes;
pub mod guard;
pub mod objects;
pub mod table;

pub use guard::GuardedTable;
pub use objects::Objects;
pub use table::{Row, Table, Txn};
