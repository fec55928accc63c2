//! Tells a server that reads the body of a request late from one that is gone.

use std::net::SocketAddr;

use foxtail_net::SilenceTimeout;
use foxtail_types::prelude::*;

use crate::context::HostContext;
use crate::pool::Conn;

/// The size from which a request body may not fit into its server's receive window, in bytes. Smaller
/// ones are acknowledged whether the server reads them or not.
const LONG_BODY_BYTES: usize = 32 * 1024;

/// How long a connection may be blocked before its server is checked. Together with the time for
/// connecting it is the time after which unacknowledged bytes end other connections.
const BLOCKED_CHECK_INTERVAL: Millis = Millis(300);

/// How often the server is checked while the connection is not blocked. Together with the time for
/// connecting it is the time after which keep-alive probes end other connections.
const CHECK_INTERVAL: Millis = Millis(1_600);

/// The server acknowledged nothing for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the server went silent")]
pub(crate) struct Silent;

impl Conn {
    /// Prepares the connection for a request with a body of `len` bytes, which a server may read late.
    /// Returns what tells whether the connection is blocked, if the server has to be checked.
    pub(crate) fn prepare_for_body(&self, len: usize) -> Option<SilenceTimeout> {
        let silence_timeout = self.silence_timeout.as_ref()?;
        let is_long = len >= LONG_BODY_BYTES;
        silence_timeout.set_suspended(is_long);
        is_long.then(|| silence_timeout.clone())
    }
}

/// Returns the result of `call`, which sends a request with a body that the server at `addr` may read
/// late. If `silence_timeout` is suspended, the server is checked with connections of their own meanwhile.
///
/// # Errors
///
/// Returns [`Silent`] if the server accepts no connection.
pub(crate) async fn while_alive<T>(
    cx: &HostContext,
    addr: SocketAddr,
    silence_timeout: Option<SilenceTimeout>,
    call: impl Future<Output = T>,
) -> Result<T, Silent> {
    let Some(silence_timeout) = silence_timeout else { return Ok(call.await) };
    tokio::select! {
        result = call => Ok(result),
        silent = until_silent(cx, addr, &silence_timeout) => Err(silent),
    }
}

async fn until_silent(
    cx: &HostContext,
    addr: SocketAddr,
    silence_timeout: &SilenceTimeout,
) -> Silent {
    let mut checked_at = cx.now();
    loop {
        tokio::time::sleep(BLOCKED_CHECK_INTERVAL.duration()).await;
        if !silence_timeout.is_blocked() && cx.now().since(checked_at) < CHECK_INTERVAL {
            continue;
        }
        checked_at = cx.now();
        // Two at once: a single packet that is lost must not look like a silent server.
        let checks = tokio::join!(cx.dial.dial(addr), cx.dial.dial(addr));
        if let (Err(e), Err(_)) = checks {
            tracing::info!(event = "server_silent", %addr, error = %e,
                blocked = silence_timeout.is_blocked());
            return Silent;
        }
    }
}

/// Whether a connection ended because its server acknowledged nothing for a while.
pub(crate) fn is_silence(e: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(e);
    while let Some(e) = source {
        if let Some(e) = e.downcast_ref::<std::io::Error>() {
            return e.kind() == std::io::ErrorKind::TimedOut;
        }
        source = e.source();
    }
    false
}
