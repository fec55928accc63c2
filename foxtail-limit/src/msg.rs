//! Messages between hosts about limits.
//!
//! No message carries a point in time: the hosts' clocks are unrelated. A span counts at the
//! receiver from the arrival, which is later than the sending; the party whose mistake would break
//! a limit always takes the conservative end.

use foxtail_types::prelude::*;

use crate::{Refusal, Seen, ShardId};

/// A message that wants a reply.
#[value]
pub enum Request {
    /// Waits for a slot; the reply comes when there is one or it is known that there is none.
    Acquire(Ask),
    /// Takes bytes of a link direction.
    ReserveLink {
        /// The link.
        link: LinkId,
        /// The class of the request.
        class: Class,
        /// How many bytes.
        bytes: u64,
        /// The longest the caller waits.
        patience: Millis,
    },
    /// Takes one request out of the shift budget.
    ReserveShift {
        /// The workspace.
        workspace: WorkspaceId,
        /// The sending region.
        region: RegionId,
    },
    /// Facts that the owner of `shard` needs, batched.
    Notes {
        /// The shard.
        shard: ShardId,
        /// The highest epoch by which the sender was fenced: lower owners must not listen.
        fence: Epoch,
        /// The facts, in order.
        notes: Vec<Note>,
    },
    /// From a new owner: which tickets of the shard are held? Lower epochs are void from now on.
    Fence {
        /// The shard.
        shard: ShardId,
        /// The new owner's epoch.
        epoch: Epoch,
        /// The new owner.
        owner: HostId,
    },
    /// From an owner that can't reach the store: will this host leave the shard alone?
    Withhold {
        /// The shards.
        shards: Vec<(ShardId, Epoch)>,
        /// For how long, from the arrival.
        span: Millis,
    },
    /// From an owner that stops, to its successor.
    HandOver {
        /// The shard.
        shard: ShardId,
        /// The epoch that ends.
        epoch: Epoch,
        /// All tickets that are out, as far as the sender knows.
        held: Vec<Held>,
        /// Whether the sender knows them all.
        complete: bool,
    },
    /// From an owner that stopped: the table names the receiver as owner now.
    HandedOver {
        /// The shard.
        shard: ShardId,
    },
}

/// A reply to a [`Request`].
#[value]
pub enum Reply {
    /// To `Acquire`.
    Granted(Grant),
    /// To `Acquire` and the reservations.
    Refused(Refusal),
    /// To the reservations: go ahead after this span.
    Reserved {
        /// The wait until the bytes may be sent.
        after: Millis,
    },
    /// The receiver does not own the shard.
    NotOwner {
        /// Who does, as far as the receiver knows.
        owner: Option<HostId>,
    },
    /// To `Notes` and `HandedOver`.
    Done,
    /// To `Fence`.
    Fenced {
        /// The tickets held of the shard.
        held: Vec<Held>,
        /// Whether the receiver was the owner until this very message, and `held` names all
        /// tickets that were out.
        stopped: bool,
        /// How long the receiver has promised the former owner to leave the shard alone.
        withheld: Millis,
    },
    /// To `Withhold`: whether it is promised for all shards asked.
    Withheld(bool),
    /// To `HandOver`: the token under which the receiver wants to own the shard.
    Ready {
        /// The receiver's token for the lease row.
        token: u64,
    },
}

/// One request's place in the queue of a pool.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct AskId {
    /// The host that asks.
    pub host: HostId,
    /// Its number for the question, never used twice.
    pub no: u64,
}

/// A question for a slot.
#[value]
pub struct Ask {
    /// Whose question it is.
    pub id: AskId,
    /// The request, for logs.
    pub request: RequestId,
    /// The pool.
    pub pool: PoolId,
    /// The class.
    pub class: Class,
    /// The zone of the host that asks.
    pub zone: ZoneId,
    /// How long the ticket can be of use, from the sending.
    pub remaining: Millis,
    /// Upstreams not to be given.
    pub avoid: Vec<UpstreamId>,
    /// The highest epoch by which the sender was fenced: lower owners must not grant.
    pub fence: Epoch,
}

/// A slot given.
#[value]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The number within the epoch.
    pub serial: u64,
    /// How long it may be used, from the sending of the question.
    pub life: Millis,
}

/// What an owner is told without need of an answer.
#[value]
pub enum Note {
    /// A ticket is not used any more.
    Release {
        /// The pool.
        pool: PoolId,
        /// The ticket's epoch.
        epoch: Epoch,
        /// The ticket's number.
        serial: u64,
        /// What was seen of the upstream.
        seen: Seen,
    },
    /// A question is not asked any more, or its answer was lost.
    Withdraw {
        /// The pool.
        pool: PoolId,
        /// The question.
        ask: AskId,
    },
    /// A reservation of link bytes was too large or too small.
    Correct {
        /// The link.
        link: LinkId,
        /// The class of the request.
        class: Class,
        /// Bytes reserved.
        reserved: u64,
        /// Bytes sent.
        sent: u64,
    },
    /// A reservation of shift was not used.
    Unshifted {
        /// The workspace.
        workspace: WorkspaceId,
    },
}

/// A ticket as its holder reports it.
#[value]
pub struct Held {
    /// The pool.
    pub pool: PoolId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The epoch of the owner that granted it.
    pub epoch: Epoch,
    /// Its number within the epoch.
    pub serial: u64,
    /// How much longer it can be used, from the sending of the report.
    pub remaining: Millis,
}

impl Held {
    /// The ticket's number across epochs.
    pub const fn key(&self) -> (Epoch, u64) {
        (self.epoch, self.serial)
    }
}
