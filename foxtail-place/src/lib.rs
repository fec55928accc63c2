//! Where clients are: a compiled map from blocks of client addresses to sites.
//!
//! [`map::BlockMap`] tells the site of a client's address. A host keeps the current one and swaps it
//! whole; a look-up takes no lock and allocates nothing. [`Delta`] leads from one version to the
//! next.

pub mod delta;
pub mod map;
mod ranges;
mod v4;
mod v6;

pub use delta::Delta;
pub use map::{Block, BlockMap, Site, SiteIndex};
