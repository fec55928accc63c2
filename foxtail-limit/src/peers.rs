//! The port through which hosts ask each other.

use async_trait::async_trait;
use foxtail_types::prelude::*;

use crate::msg::{Reply, Request};

/// Carries [`Request`]s to other hosts.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Asks the host `to` and waits for its reply for at most `timeout`.
    ///
    /// # Errors
    ///
    /// [`Unreachable`]; the message may have arrived all the same.
    async fn call(&self, to: &HostId, req: Request, timeout: Millis) -> Result<Reply, Unreachable>;
}

/// No reply came.
#[value]
#[derive(thiserror::Error)]
#[error("host {host} did not reply: {why}")]
pub struct Unreachable {
    /// The host.
    pub host: HostId,
    /// What the transport says.
    pub why: String,
}
