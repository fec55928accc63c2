//! Decides what a host holds in memory for callers, upstreams and other hosts.
//!
//! The load that this answers: many callers upload large bodies at the same moment, over lines that
//! take seconds for each, or faulty upstreams answer hundreds of requests without end. A process that
//! exceeds the memory it is granted is killed, and all its requests are lost with it. So everything is
//! reserved before it is held. Large bodies wait their turn unread, or are refused at once if their turn
//! comes too late; a part of the memory is left to small ones.

use std::collections::VecDeque;

use foxtail_types::prelude::*;

/// The smallest grant with which the program serves callers, in bytes.
pub const MIN_GRANT_BYTES: u64 = 64 * 1_000_000;

/// What the program itself takes, in bytes: code, configuration, registrations, state of other hosts, and
/// messages of hosts and answers of the store, whose number and size are bounded.
const OWN_BYTES: u64 = 32 * 1024 * 1024;

/// The share of the rest of the grant that is given out, in percent. What remains is for the allocator's
/// unused space, for socket buffers, and for bytes that the libraries copy.
const SHARE_PERCENT: u64 = 85;

/// The size above which a reservation is large, in bytes. Most bodies are smaller.
pub const LARGE_BYTES: u64 = 32 * 1024;

/// The share of the memory that large reservations leave free for small ones and connections, in percent. It is
/// enough for requests on all descriptors of a small host.
const SMALL_ONLY_PERCENT: u64 = 35;

/// How long a large reservation is held, before any was released.
const INITIAL_HOLD_MS: f64 = 1_000.0;

/// Weight of one reservation in the mean time for which large ones are held.
const HOLD_SMOOTHING_FACTOR: f64 = 0.2;

/// The shortest time to come back that a refusal names.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// The longest time to come back that a refusal names.
const MAX_RETRY_AFTER: Millis = Millis::secs(30);

/// Names a reservation that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// The answer to a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The memory is reserved.
    Granted,
    /// The memory will be reserved in turn, see [`Ledger::grant_next`].
    Wait {
        /// Names the reservation.
        ticket: Ticket,
        /// How long it is worth waiting.
        at_most: Millis,
    },
    /// There is no room, and none soon enough.
    Refused {
        /// When there is likely to be room.
        retry_after: Millis,
    },
}

/// Bytes that are wanted and not reserved yet.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    bytes: u64,
}

/// The memory that is reserved, and what waits for some.
#[derive(Debug)]
pub struct Ledger {
    limit: u64,
    held: u64,
    /// In the order of arrival; all of them are large.
    waiting: VecDeque<Waiter>,
    next_ticket: u64,
    /// The smoothed mean time for which large reservations are held, in milliseconds.
    hold_ms: f64,
}

impl Ledger {
    /// Creates the ledger of a process that is granted `grant` bytes in all.
    pub fn new(grant: u64) -> Self {
        Self {
            limit: Self::limit_of(grant),
            held: 0,
            waiting: VecDeque::new(),
            next_ticket: 0,
            hold_ms: INITIAL_HOLD_MS,
        }
    }

    /// Applies a changed grant. What is held beyond it stays until it is released.
    pub fn set_grant(&mut self, grant: u64) {
        self.limit = Self::limit_of(grant);
    }

    fn limit_of(grant: u64) -> u64 {
        grant.saturating_sub(OWN_BYTES) * SHARE_PERCENT / 100
    }

    /// Returns how many bytes may be held.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns how many bytes are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns how many reservations wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn large_limit(&self) -> u64 {
        self.limit - self.limit * SMALL_ONLY_PERCENT / 100
    }

    fn fits(&self, bytes: u64, is_large: bool) -> bool {
        self.held + bytes <= if is_large { self.large_limit() } else { self.limit }
    }

    /// Counts bytes that can't be refused, such as the buffers of open connections.
    pub fn charge(&mut self, bytes: u64) {
        self.held += bytes;
    }

    /// Reserves `bytes` if there is room now.
    pub fn try_reserve(&mut self, bytes: u64) -> bool {
        self.try_take(bytes, bytes > LARGE_BYTES)
    }

    /// Extends a reservation by `bytes` if there is room now. It counts as large: how far it will grow is not
    /// known. It goes before what waits, since what is held already is released sooner.
    pub fn try_extend(&mut self, bytes: u64) -> bool {
        self.try_take(bytes, true)
    }

    fn try_take(&mut self, bytes: u64, is_large: bool) -> bool {
        let has_room = self.fits(bytes, is_large);
        if has_room {
            self.held += bytes;
        }
        has_room
    }

    /// Reserves `bytes` for a request that has `time_left`. A large reservation waits if its turn is
    /// likely to come within half of that time, so that the rest is left to serve the request.
    pub fn request(&mut self, bytes: u64, time_left: Millis) -> Admission {
        let is_large = bytes > LARGE_BYTES;
        if (!is_large || self.waiting.is_empty()) && self.fits(bytes, is_large) {
            self.held += bytes;
            return Admission::Granted;
        }
        let wait = self.expected_wait(bytes);
        let at_most = Millis(time_left.0 / 2);
        if !is_large || bytes > self.large_limit() || wait > at_most {
            let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Admission::Refused { retry_after };
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(Waiter { ticket, bytes });
        Admission::Wait { ticket, at_most }
    }

    /// Returns how long it is likely to take until there is room for `bytes` behind all that wait.
    pub fn expected_wait(&self, bytes: u64) -> Millis {
        let ahead: u64 = self.waiting.iter().map(|waiter| waiter.bytes).sum();
        let free = self.large_limit().saturating_sub(self.held);
        let missing = (ahead + bytes).saturating_sub(free) as f64;
        // All that is held is replaced once in the time for which it is held.
        Millis((self.hold_ms * missing / self.large_limit().max(1) as f64) as u64)
    }

    /// Releases `bytes` that were held for `held_for`. [`Ledger::grant_next`] has to follow.
    pub fn release(&mut self, bytes: u64, held_for: Millis) {
        if bytes > LARGE_BYTES {
            self.hold_ms += HOLD_SMOOTHING_FACTOR * (held_for.0 as f64 - self.hold_ms);
        }
        self.uncharge(bytes);
    }

    /// Ends a [`Ledger::charge`]. [`Ledger::grant_next`] has to follow.
    pub fn uncharge(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Ends the wait for a reservation. Returns whether it was still waiting. [`Ledger::grant_next`] has
    /// to follow.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiter| waiter.ticket != ticket);
        self.waiting.len() < before
    }

    /// Grants the reservation that has waited longest if there is room for it now.
    pub fn grant_next(&mut self) -> Option<Ticket> {
        let next = *self.waiting.front()?;
        if !self.fits(next.bytes, true) {
            return None;
        }
        self.waiting.pop_front();
        self.held += next.bytes;
        Some(next.ticket)
    }
}
