//! Spread of configuration from the platform to every host.
//!
//! An operator's change is accepted by [`admin::Admin`] at any host: one transaction in the table
//! raises the global version. [`Spread`] brings accepted versions to every host. The relays of each
//! zone poll the table's head row, the host that accepted a change offers it to the relays, and
//! every host that hears of a higher version through membership pulls the changes from the host
//! that holds it. The highest version wins, and no host ever goes back to a lower one.
//!
//! The live host drives it so:
//!
//! - [`Spread::new`] with the ports [`Table`](foxtail_platform::Table), [`Peers`] and [`Roster`],
//!   then [`Spread::run`] as a task of its own until the host stops;
//! - [`Spread::ask`] for every [`msg::Ask`] that another host sends;
//! - [`Spread::held`] as the version in the host's own membership status;
//! - [`Spread::subscribe`] wherever configuration is used: it shows what to enforce now, `None`
//!   until there is any.

pub mod admin;
mod choose;
pub mod core;
pub mod msg;
pub mod peers;
pub mod reach;
pub mod rows;
pub mod spread;
pub mod store;

pub use admin::Admin;
pub use peers::{Peers, Roster};
pub use spread::Spread;
