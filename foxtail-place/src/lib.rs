//! A compiled map from blocks of callers' addresses to locations.
//!
//! [`map::BlockMap`] finds the location of a caller's address. A host replaces its map as a whole;
//! a look-up takes no lock and does not allocate. A [`Delta`] turns one version of the map into the
//! next.

pub mod delta;
pub mod map;
mod ranges;
mod v4;
mod v6;

pub use delta::Delta;
pub use map::{Block, BlockMap, Location, LocationIndex};
