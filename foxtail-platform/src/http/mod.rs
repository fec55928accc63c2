//! Adapters that reach the platform over HTTP/JSON.
//!
//! The outcome of a commit is exact: a connection that could not be made and the statuses 429 and
//! 503 say that nothing was done; anything else that is no answer is ambiguous.

mod call;
mod hosts;
mod objects;
mod table;

pub use call::{Call, CallError};
pub use hosts::HttpHosts;
pub use objects::HttpObjects;
pub use table::HttpTable;
