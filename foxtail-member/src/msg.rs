//! Messages between hosts about hosts.

use std::net::SocketAddr;

use foxtail_types::prelude::*;

/// Who a host is: fixed from its start to its stop.
#[value]
pub struct Identity {
    /// The host.
    pub id: HostId,
    /// Which start of the host this is; higher is newer.
    pub incarnation: u64,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where other hosts reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub operator: SocketAddr,
}

/// What a host says of itself.
#[id]
pub struct Status {
    /// How far it is in its life.
    pub phase: Phase,
    /// The configuration it holds.
    pub version: Version,
    /// Requests in flight as a share of what it can carry, in thousandths.
    pub busy_permille: u16,
}

/// How far a host is in its life.
#[id]
pub enum Phase {
    /// Started, without a configuration or not yet warm.
    Starting,
    /// Takes traffic.
    Serving,
    /// Takes no new callers and ends what it has.
    Leaving,
}

/// What one host passes on about another.
#[value]
pub struct Entry {
    /// Who it is.
    pub identity: Identity,
    /// What it last said of itself.
    pub status: Status,
    /// The number of that word; each word of a host has a higher one.
    pub seq: u64,
    /// Its relays have not heard from it since.
    pub suspect: bool,
}

/// How much of the fleet a pull asks for.
#[id]
pub enum Scope {
    /// The hosts of the answering host's zone.
    Zone,
    /// The hosts of the answering host's region.
    Region,
    /// Every host.
    World,
}

/// Where the last pull from a host ended.
#[id]
#[derive(Default)]
pub struct Cursor {
    /// The incarnation of the host that answered; another one starts anew.
    pub incarnation: u64,
    /// Its revision then.
    pub revision: u64,
}

/// The sender of a pull, with its own word on itself.
#[value]
pub enum From {
    /// In full, at first contact.
    Whole(Entry),
    /// Only what changes; the identity is known from before.
    Again {
        /// The host.
        id: HostId,
        /// Its incarnation.
        incarnation: u64,
        /// The number of its word.
        seq: u64,
        /// Its word.
        status: Status,
    },
}

/// A pull, with the sender's own word on itself.
#[value]
pub struct Pull {
    /// The sender.
    pub from: From,
    /// Where the last pull ended. An answer to a sender that is not known ends at the start, so
    /// that the next pull comes in full.
    pub since: Cursor,
    /// What is asked for.
    pub scope: Scope,
}

/// What changed since the last pull.
#[value]
pub struct Delta {
    /// The answering host's own word on itself.
    pub from: Entry,
    /// Where this pull ended.
    pub cursor: Cursor,
    /// The hosts that changed.
    pub entries: Vec<Entry>,
    /// For each zone in scope, how long ago one of its relays vouched for its hosts.
    pub zones: Vec<(ZoneId, Millis)>,
}
