//! Watches the progress of transfers between hosts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use foxtail_types::prelude::*;

/// How often within its timeout a transfer is checked for progress.
const CHECKS_PER_STALL_TIMEOUT: u32 = 5;

/// Awaits `transfer`, or returns `None` once `bytes` has not risen for `timeout`.
pub(crate) async fn until_stalled<T>(
    transfer: impl Future<Output = T>,
    bytes: &AtomicU64,
    timeout: Millis,
) -> Option<T> {
    tokio::pin!(transfer);
    let mut last = bytes.load(Ordering::Relaxed);
    let mut idle_checks = 0;
    while idle_checks < CHECKS_PER_STALL_TIMEOUT {
        let check_interval = timeout.duration() / CHECKS_PER_STALL_TIMEOUT;
        if let Ok(done) = tokio::time::timeout(check_interval, &mut transfer).await {
            return Some(done);
        }
        let current = bytes.load(Ordering::Relaxed);
        idle_checks = if current == last { idle_checks + 1 } else { 0 };
        last = current;
    }
    None
}

/// Returns a callback that adds the size of each buffer to `count`.
pub(crate) fn byte_counter(count: &Arc<AtomicU64>) -> impl FnMut(&[u8]) + Send + use<> {
    let count = Arc::clone(count);
    move |buf| {
        count.fetch_add(buf.len() as u64, Ordering::Relaxed);
    }
}
