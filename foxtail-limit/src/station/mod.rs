//! How one host takes part in owning the shards of its region: a state machine without I/O.
//!
//! [`Station::poll`] gives the actions to carry out, [`Station::done`] takes their results, and
//! [`Station::serve`] answers other hosts. It decides which owners this host runs and until when
//! they may give out what.

mod outage;
mod serve;
mod stop;
mod store;
mod term;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use foxtail_config::Snapshot;
use foxtail_platform::table::{self, Row, Txn, Write};
use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;

use crate::holder::Holder;
use crate::hosted::Hosted;
use crate::lease::{Claim, Lease};
use crate::msg::{Held, Reply, Request};
use crate::owner::Pick;
use crate::{Me, ShardId, Unreachable};
use outage::Round;
use term::Term;

/// The time for one call of the table service.
pub const STORE_TIMEOUT: Millis = Millis(700);

/// This host's part in owning the shards of its region.
pub struct Station {
    me: Me,
    token: u64,
    started: Millis,
    pick: Arc<dyn Pick>,
    snapshot: Arc<Snapshot>,
    hosts: Vec<HostEntry>,
    suspects: Vec<HostId>,
    leases: BTreeMap<ShardId, Lease>,
    terms: BTreeMap<ShardId, Term>,
    claimed: HashMap<ShardId, (Epoch, Claim)>,
    books: HashMap<ShardId, Book>,
    tell: Vec<(HostId, ShardId)>,
    ops: HashMap<OpId, Op>,
    next_op: u64,
    next_read: Millis,
    reading: bool,
    renewing: bool,
    store_silent: bool,
    round: Option<Round>,
    retired: bool,
    stopping: bool,
}

/// The parts of the host with which the station works.
#[derive(Clone, Copy)]
pub struct Parts<'a> {
    /// The owners on this host.
    pub hosted: &'a Hosted,
    /// The tickets that this host holds.
    pub holder: &'a Holder,
}

/// Names an action until its result is in.
#[id]
pub struct OpId(pub u64);

/// Something to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads rows of the table.
    Read {
        /// The keys.
        keys: Vec<String>,
    },
    /// Writes rows of the table.
    Commit {
        /// The transaction.
        txn: Txn,
    },
    /// Asks another host.
    Call {
        /// The host.
        to: HostId,
        /// The message.
        req: Request,
        /// The longest wait for the reply.
        timeout: Millis,
    },
}

/// The result of an action.
#[derive(Clone, Debug)]
pub enum Done {
    /// Of [`Action::Read`].
    Read(Result<Vec<Option<Row>>, table::Error>),
    /// Of [`Action::Commit`].
    Commit(table::Outcome),
    /// Of [`Action::Call`].
    Call(Result<Reply, Unreachable>),
}

/// Why an action was given.
#[derive(Clone, Debug)]
enum Op {
    Read(Vec<ShardId>),
    Renew(Vec<(ShardId, Write)>),
    Claim(ShardId, Write),
    Fence(ShardId, Epoch, HostId),
    Withhold(Millis, HostId),
    HandOver(ShardId, HostId),
    Release(ShardId, Option<HostId>, Write),
    HandedOver,
}

/// What a stopping owner handed over.
#[derive(Clone, Debug)]
struct Book {
    epoch: Epoch,
    held: Vec<Held>,
    complete: bool,
    at: Millis,
}

impl Station {
    /// A station that owns nothing. `token` is drawn at random by each process.
    pub fn new(
        me: Me,
        token: u64,
        now: Millis,
        pick: Arc<dyn Pick>,
        snapshot: Arc<Snapshot>,
    ) -> Self {
        let mut station = Self {
            me,
            token,
            started: now,
            pick,
            snapshot: snapshot.clone(),
            hosts: Vec::new(),
            suspects: Vec::new(),
            leases: BTreeMap::new(),
            terms: BTreeMap::new(),
            claimed: HashMap::new(),
            books: HashMap::new(),
            tell: Vec::new(),
            ops: HashMap::new(),
            next_op: 0,
            next_read: now,
            reading: false,
            renewing: false,
            store_silent: true,
            round: None,
            retired: false,
            stopping: false,
        };
        station.configure(snapshot);
        station
    }

    /// Takes over a configuration.
    pub fn configure(&mut self, snapshot: Arc<Snapshot>) {
        for index in 0..snapshot.network.owner_shards {
            let shard = ShardId { region: self.me.region.clone(), index };
            let fresh = || Lease::new(shard.clone(), self.me.host.clone(), self.token);
            self.leases.entry(shard.clone()).or_insert_with(fresh);
        }
        self.snapshot = snapshot;
    }

    /// Takes over the platform's list of hosts, whole, and those of them that seem dead.
    ///
    /// A host is `Leaving` here only by its own word, given after [`Station::retire`].
    pub fn set_hosts(&mut self, hosts: &[HostEntry], suspects: &[HostId]) {
        self.hosts = hosts.to_vec();
        self.suspects = suspects.to_vec();
    }

    /// Takes over nothing any more; what is owned stays owned.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Begins to hand over all that this host owns.
    pub fn stop(&mut self) {
        self.retire();
        self.stopping = true;
    }

    /// Whether nothing is owned any more after [`Station::stop`].
    pub fn stopped(&self) -> bool {
        self.stopping && self.terms.is_empty() && !self.claiming()
    }

    /// Moves on to the time `now`, and gives what is to be done.
    pub fn poll(&mut self, now: Millis, cx: Parts<'_>) -> Vec<(OpId, Action)> {
        let mut actions = Vec::new();
        self.read(now, &mut actions);
        self.renew(now, cx, &mut actions);
        self.claim(now, &mut actions);
        self.run_terms(now, cx, &mut actions);
        self.ask_to_withhold(now, &mut actions);
        self.hand_over(now, cx, &mut actions);
        self.tell_successors(&mut actions);
        actions
    }

    /// Takes the result of an action.
    pub fn done(&mut self, now: Millis, cx: Parts<'_>, id: OpId, done: Done) {
        let Some(op) = self.ops.remove(&id) else { return };
        match (op, done) {
            (Op::Read(shards), Done::Read(rows)) => self.read_done(now, cx, &shards, rows),
            (Op::Renew(writes), Done::Commit(outcome)) => self.renew_done(now, writes, outcome),
            (Op::Claim(shard, write), Done::Commit(outcome)) => {
                self.claim_done(now, &shard, &write, outcome);
            }
            (Op::Fence(shard, epoch, to), Done::Call(reply)) => {
                self.fence_done(now, cx, &shard, epoch, &to, reply);
            }
            (Op::Withhold(sent, to), Done::Call(reply)) => self.withhold_done(sent, &to, reply),
            (Op::HandOver(shard, to), Done::Call(reply)) => {
                self.hand_over_done(now, &shard, to, reply);
            }
            (Op::Release(shard, to, write), Done::Commit(outcome)) => {
                self.release_done(now, &shard, to, &write, outcome);
            }
            (Op::HandedOver, _) => {}
            (op, done) => unreachable!("the result {done:?} is not one of {op:?}"),
        }
    }

    fn act(&mut self, op: Op, action: Action, actions: &mut Vec<(OpId, Action)>) {
        self.next_op += 1;
        let id = OpId(self.next_op);
        self.ops.insert(id, op);
        actions.push((id, action));
    }

    /// The other hosts of the region that may take over: all but those that have retired.
    fn kin(&self) -> impl Iterator<Item = &HostId> {
        let others = self.hosts.iter().filter(|host| host.id != self.me.host);
        let kin = others.filter(|host| host.region == self.me.region);
        kin.filter(|host| host.state == HostState::Live).map(|host| &host.id)
    }

    /// Those of them that seem to be alive.
    fn live_kin(&self) -> impl Iterator<Item = &HostId> {
        self.kin().filter(|host| !self.suspects.contains(host))
    }

    fn claiming(&self) -> bool {
        self.ops.values().any(|op| matches!(op, Op::Claim(..)))
    }
}
