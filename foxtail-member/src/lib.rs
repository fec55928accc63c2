//! Membership: hosts, what peers see of each other, and drains.
//!
//! Hosts hear of each other through relays. Every host pulls from a relay of its zone each
//! [`PULL_EVERY`](members::PULL_EVERY) and sends its own status along; relays pull from each other
//! within the zone, and the first relays of a zone pull from other zones and regions. A pull brings
//! only what changed since the last one from the same relay. Reading is harmless, so that two hosts
//! that disagree on who is a relay cost a few reads and nothing else.
//!
//! The live host drives [`Members`]: [`Members::pulls`] each period, then [`Members::merge`] or
//! [`Members::pull_failed`] for every answer, [`Members::answer`] for every pull received,
//! [`Members::list`] for every host list, and [`Members::view`] wherever hosts are chosen.

mod book;
pub mod members;
pub mod msg;
mod record;
pub mod relay;
mod targets;
pub mod view;

pub use members::Members;
pub use msg::{Identity, Phase, Status};
pub use view::{Member, View};
