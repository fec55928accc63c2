//! The policies that are compared.

mod ideal;
pub mod owned;
mod queue;
mod static_shares;
mod two_choices;

pub use ideal::Ideal;
pub use owned::Owned;
pub use static_shares::StaticShares;
pub use two_choices::TwoChoices;
