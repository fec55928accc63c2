//! Ports to other hosts and to what is known of them.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_member::View;
use foxtail_types::prelude::*;

use crate::msg::{Answer, Ask};

/// Sends messages to other hosts.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Sends `ask` to the host `to`.
    ///
    /// # Errors
    ///
    /// [`Error`] if there was no answer within `timeout`.
    async fn ask(&self, to: &HostId, ask: Ask, timeout: Millis) -> Result<Answer, Error>;
}

/// What this host knows of the fleet.
pub trait Roster: Send + Sync {
    /// The fleet as seen now.
    fn view(&self) -> Arc<View>;
}

/// Why another host did not answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("host {host} did not answer: {reason}")]
pub struct Error {
    /// The host.
    pub host: HostId,
    /// The reason, for logs.
    pub reason: String,
}
