//! The port through which the request path asks for capacity.

use async_trait::async_trait;
use foxtail_types::prelude::*;

/// Hands out capacity: slots of upstreams and, towards another region, link bytes and shift.
#[async_trait]
pub trait Limiter: Send + Sync {
    /// Waits for a slot of the pool until the request's deadline leaves no time for it.
    ///
    /// Dropping the future gives up the place in the queue.
    ///
    /// # Errors
    ///
    /// [`Refusal`] as soon as it is known that there will be no slot in time.
    async fn acquire(&self, req: &Acquire<'_>) -> Result<Ticket, Refusal>;

    /// Ends the use of a ticket and tells what was seen of the upstream.
    fn release(&self, ticket: Ticket, seen: Seen);
}

/// A request for one slot of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Acquire<'a> {
    /// The request, for logs.
    pub request: RequestId,
    /// The pool.
    pub pool: &'a PoolId,
    /// The class.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Upstreams not to be given: tried before by this request.
    pub avoid: &'a [UpstreamId],
    /// Bytes of the request, for links.
    pub request_bytes: u64,
    /// Expected bytes of the answer, for links.
    pub answer_bytes: u64,
}

/// The right to use one slot of one upstream until it expires.
#[value]
pub struct Ticket {
    /// The pool.
    pub pool: PoolId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The ticket's number within the epoch.
    pub serial: u64,
    /// When the holder must have stopped using it, by the holder's clock.
    pub expires: Millis,
}

/// Why there is no slot.
#[value]
pub enum Refusal {
    /// The queue is full or too slow for the deadline.
    Overloaded {
        /// When to come back.
        retry_after: Millis,
    },
    /// The link or the shift cap has no room.
    NoHeadroom {
        /// When to come back.
        retry_after: Millis,
    },
    /// No upstream of the pool may take new work.
    NoUpstream,
    /// The owner of the pool can't be reached.
    OwnerUnreachable,
}

/// What a host saw of an upstream while it used a ticket.
#[value]
pub struct Seen {
    /// How the attempt ended.
    pub verdict: Verdict,
    /// From sending the request to the end of the answer.
    pub took: Millis,
    /// Bytes of the answer.
    pub answer_bytes: u64,
    /// The upstream's own report with its answer, if any.
    pub load: Option<Load>,
}

/// How an attempt ended, as far as the upstream's health goes.
#[id]
pub enum Verdict {
    /// A whole answer.
    Answered,
    /// A whole answer that says that the upstream failed.
    ServerError,
    /// The upstream refused the work before running it.
    Shed,
    /// The upstream says that it is leaving.
    Leaving,
    /// No connection.
    Unreachable,
    /// The connection broke in the middle.
    Broken,
    /// No whole answer before the deadline.
    TimedOut,
    /// The caller went away, or the ticket was not needed.
    Cancelled,
}

/// An upstream's report of its own load. It lags and may mislead.
#[id]
pub struct Load {
    /// Slots in use.
    pub busy: u32,
    /// Requests waiting inside the upstream.
    pub queued: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}
