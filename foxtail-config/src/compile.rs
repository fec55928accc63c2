//! From checked input to the configuration that hosts use.

mod error;
mod network;
mod workspace;

pub use error::{Error, Problem};
pub use network::network;
pub use workspace::{demand, workspace};
