//! The account of the memory that this host holds for callers, upstreams and other hosts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use foxtail_steer::Ledger;
use foxtail_steer::memory::{Admission, Ticket};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// What an open connection takes, in bytes: the HTTP library's buffers and its task.
pub(crate) const CONNECTION_BYTES: u64 = 16 * 1024;

/// What a request takes apart from its connections, its body and its buffered response, in bytes: heads, and
/// data that the HTTP library has read or is about to write.
pub(crate) const REQUEST_BYTES: u64 = 16 * 1024;

/// How often a shortage of memory is logged at most.
const SHORTAGE_LOG_INTERVAL: Millis = Millis::secs(1);

/// The memory of a host, shared by its tasks.
pub(crate) struct MemoryAccount {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// When a shortage was logged last, in milliseconds; 0 if never.
    logged_at: AtomicU64,
}

struct State {
    ledger: Ledger,
    /// Wakes what waits for memory.
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

/// The state of the account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) held: u64,
    pub(crate) limit: u64,
    pub(crate) waiting: usize,
}

/// Memory that is reserved until this is dropped.
pub(crate) struct Reservation {
    account: Arc<MemoryAccount>,
    bytes: u64,
    since: Millis,
    /// Whether there was no room at first.
    pub(crate) waited: bool,
}

/// Memory that counts until this is dropped, and that could not be refused.
pub(crate) struct Charge {
    account: Arc<MemoryAccount>,
    bytes: u64,
}

/// Data whose memory is reserved.
struct Reserved {
    data: Bytes,
    _reservation: Reservation,
}

/// Waits in the ledger, and withdraws from it when it is dropped early.
struct Waiting<'a> {
    account: &'a Arc<MemoryAccount>,
    ticket: Ticket,
    bytes: u64,
    is_done: bool,
}

/// There is not enough memory for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory for {bytes} bytes")]
pub(crate) struct OutOfMemory {
    bytes: u64,
    /// When there is likely to be room.
    pub(crate) retry_after: Millis,
}

impl MemoryAccount {
    /// Creates the account of a process that is granted `grant` bytes in all.
    pub(crate) fn new(grant: u64, clock: Arc<dyn Clock>) -> Arc<Self> {
        let state = State { ledger: Ledger::new(grant), waiting: HashMap::new() };
        Arc::new(Self { clock, state: Mutex::new(state), logged_at: AtomicU64::new(0) })
    }

    /// Applies a changed grant.
    pub(crate) fn set_grant(&self, grant: u64) {
        let mut state = self.state.lock();
        state.ledger.set_grant(grant);
        state.grant();
    }

    pub(crate) fn usage(&self) -> Usage {
        let state = self.state.lock();
        Usage {
            held: state.ledger.held(),
            limit: state.ledger.limit(),
            waiting: state.ledger.waiting(),
        }
    }

    /// Counts `bytes` that can't be refused.
    pub(crate) fn charge(self: &Arc<Self>, bytes: u64) -> Charge {
        self.state.lock().ledger.charge(bytes);
        Charge { account: Arc::clone(self), bytes }
    }

    /// Reserves `bytes` if there is room now.
    pub(crate) fn try_reserve(self: &Arc<Self>, bytes: u64) -> Result<Reservation, OutOfMemory> {
        if self.state.lock().ledger.try_reserve(bytes) {
            return Ok(self.reservation(bytes));
        }
        Err(self.out_of_memory(bytes))
    }

    /// Reserves `bytes` for a request that has `time_left`, and waits for room if it is worth it.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        bytes: u64,
        time_left: Millis,
    ) -> Result<Reservation, OutOfMemory> {
        let (waiting, granted, at_most) = {
            let mut state = self.state.lock();
            match state.ledger.request(bytes, time_left) {
                Admission::Granted => return Ok(self.reservation(bytes)),
                Admission::Refused { retry_after } => {
                    return Err(OutOfMemory { bytes, retry_after });
                }
                Admission::Wait { ticket, at_most } => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    (Waiting { account: self, ticket, bytes, is_done: false }, rx, at_most)
                }
            }
        };
        match tokio::time::timeout(at_most.duration(), granted).await {
            Ok(Ok(())) => Ok(waiting.finish()),
            Ok(Err(_)) | Err(_) => {
                drop(waiting);
                Err(self.out_of_memory(bytes))
            }
        }
    }

    fn reservation(self: &Arc<Self>, bytes: u64) -> Reservation {
        Reservation { account: Arc::clone(self), bytes, since: self.clock.now(), waited: false }
    }

    fn out_of_memory(&self, bytes: u64) -> OutOfMemory {
        OutOfMemory { bytes, retry_after: self.state.lock().ledger.expected_wait(bytes) }
    }

    /// Logs that a request is refused for want of memory, unless another one was logged just before.
    pub(crate) fn log_shortage(&self, e: OutOfMemory) {
        let now = self.clock.now().0.max(1);
        let logged_at = self.logged_at.load(Ordering::Relaxed);
        if logged_at == 0 || now >= logged_at + SHORTAGE_LOG_INTERVAL.0 {
            self.logged_at.store(now, Ordering::Relaxed);
            let Usage { held, limit, waiting } = self.usage();
            tracing::warn!(event = "memory_short", wanted = e.bytes, held, limit, waiting);
        }
    }
}

impl State {
    /// Wakes what is granted memory now.
    fn grant(&mut self) {
        while let Some(ticket) = self.ledger.grant_next() {
            // A waiter that has just left releases what it was granted.
            let _ = self.waiting.remove(&ticket).map(|granted| granted.send(()));
        }
    }
}

impl Waiting<'_> {
    fn finish(mut self) -> Reservation {
        self.is_done = true;
        let mut reservation = self.account.reservation(self.bytes);
        reservation.waited = true;
        reservation
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let mut state = self.account.state.lock();
        state.waiting.remove(&self.ticket);
        if !state.ledger.cancel(self.ticket) {
            // It was granted meanwhile.
            state.ledger.release(self.bytes, Millis::ZERO);
        }
        state.grant();
    }
}

impl Reservation {
    /// Reserves `bytes` more if there is room now.
    pub(crate) fn extend(&mut self, bytes: u64) -> Result<(), OutOfMemory> {
        if self.account.state.lock().ledger.try_extend(bytes) {
            self.bytes += bytes;
            return Ok(());
        }
        Err(self.account.out_of_memory(bytes))
    }

    /// Returns `data` so that the memory is released when its last part is dropped.
    pub(crate) fn hold(self, data: Bytes) -> Bytes {
        Bytes::from_owner(Reserved { data, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let held_for = self.account.clock.now().since(self.since);
        let mut state = self.account.state.lock();
        state.ledger.release(self.bytes, held_for);
        state.grant();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.account.state.lock();
        state.ledger.uncharge(self.bytes);
        state.grant();
    }
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
