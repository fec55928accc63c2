//! Placement: which entry hosts a block of clients should use.
//!
//! - [`map::BlockMap`] tells the site of a client's address. The live host keeps the current one
//!   in an `arc_swap::ArcSwap` and swaps it whole; a look-up takes no lock and allocates nothing.
//! - [`directory::Directory`] is compiled from the hosts known at a time. The live host builds a
//!   new one whenever a host comes, goes or begins to leave, and with each round of heartbeats,
//!   and swaps it whole as well.
//! - [`lookup::lookup`] answers a caller from both.

pub mod delta;
pub mod directory;
pub mod lookup;
pub mod map;
mod ranges;
mod v4;
mod v6;

pub use delta::Delta;
pub use directory::{Directory, HostView};
pub use lookup::{Answer, Caller, lookup};
pub use map::{Block, BlockMap, Site, SiteIndex};
