//! The order in which an entry host tries the pools of a service.

use std::fmt;

use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;

/// The most pools (regions) that one decision weighs; a plan is stored inline.
pub const POOLS_MAX: usize = 32;

/// A request to be routed, and what the entry host knows of the pools that could serve it.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The region of the entry host.
    pub home: &'a RegionId,
    /// The class of the request.
    pub class: Class,
    /// The time of the decision.
    pub now: Millis,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// How long the service usually takes to answer, zero if unknown.
    pub service_time: Millis,
    /// Bytes that a link has to carry for this request, both ways.
    pub link_bytes: u64,
    /// Spreads requests over pools that are equally good; any well-mixed number.
    pub seed: u64,
    /// The pools, at most [`POOLS_MAX`].
    pub pools: &'a [PoolView<'a>],
}

/// What an entry host knows of one pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolView<'a> {
    /// The region of the pool.
    pub region: &'a RegionId,
    /// Whether it may take new work.
    pub state: State,
    /// One-way delay from the entry host.
    pub delay: Millis,
    /// The last report of its load. An aged one counts as none.
    pub report: Option<Report>,
    /// Bytes left on the links to and from the region. Not looked at for the own region.
    pub link: Option<Headroom>,
    /// Requests that may still be shifted to other regions. Not looked at for the own region.
    pub shift: Option<Headroom>,
}

/// Whether a pool may take new work.
#[id]
pub enum State {
    /// It may.
    Open,
    /// The operator, the host list or all its upstreams say that it is leaving.
    Draining,
    /// Nothing was heard from its region for too long.
    Silent,
    /// It has no upstreams.
    Empty,
}

/// A report of a pool's load by its owner.
#[id]
pub struct Report {
    /// When it was made or received, by the entry host's clock.
    pub at: Millis,
    /// Free slots.
    pub free: u32,
    /// The expected wait for a slot.
    pub wait: Millis,
}

/// What is left of a shared budget.
#[id]
pub struct Headroom {
    /// When this was known, by the entry host's clock.
    pub at: Millis,
    /// What was left: bytes or requests.
    pub left: u64,
}

/// Bounds of the decision.
#[id]
pub struct Options {
    /// Reports and headroom older than this count as unknown.
    pub report_max_age: Millis,
    /// How much sooner another region must be able to answer to be tried before the own one.
    pub overflow_margin: Millis,
}

/// How a pool was judged.
#[id]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The pool of the own region.
    Home,
    /// Another region that answers sooner than the own one, or in time where the own one can't.
    Sooner,
    /// Another region with a free slot, to be tried if the own one refuses.
    Backup,
    /// Another region, because the own one takes no work.
    Substitute,
    /// Nothing better is left than a region that is not heard from.
    LastResort,
    /// Not needed: the own region serves the request.
    NotNeeded,
    /// It takes no new work.
    Draining,
    /// Not heard from, and others are.
    Silent,
    /// It has no upstreams.
    Empty,
    /// The link has no room.
    NoLink,
    /// The shift cap has no room.
    NoShift,
    /// No answer could come before the deadline.
    TooLate,
}

/// The pools to try, in order, and the verdict on each pool of the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    order: [u8; POOLS_MAX],
    len: u8,
    verdicts: [Verdict; POOLS_MAX],
    weighed: u8,
}

/// A plan with its query, to be written into a log line as one value.
#[derive(Clone, Copy, Debug)]
pub struct Explain<'a> {
    plan: &'a Plan,
    query: &'a Query<'a>,
}

/// The place of a usable pool in the order: smaller is tried first.
type Rank = (u8, Millis, u64);

/// What is known of the own region's pool.
#[derive(Clone, Copy, Debug)]
struct Home {
    usable: bool,
    in_time: bool,
    wait: Option<Millis>,
}

impl Default for Options {
    fn default() -> Self {
        Self { report_max_age: Millis::secs(1), overflow_margin: Millis(20) }
    }
}

impl Verdict {
    /// Whether a pool so judged is tried.
    pub const fn is_tried(self) -> bool {
        matches!(
            self,
            Verdict::Home
                | Verdict::Sooner
                | Verdict::Backup
                | Verdict::Substitute
                | Verdict::LastResort
        )
    }

    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::Home => "home",
            Verdict::Sooner => "sooner",
            Verdict::Backup => "backup",
            Verdict::Substitute => "substitute",
            Verdict::LastResort => "last-resort",
            Verdict::NotNeeded => "not-needed",
            Verdict::Draining => "draining",
            Verdict::Silent => "silent",
            Verdict::Empty => "empty",
            Verdict::NoLink => "no-link",
            Verdict::NoShift => "no-shift",
            Verdict::TooLate => "too-late",
        }
    }
}

impl Plan {
    /// The indices into the query's pools, in the order to try them.
    pub fn order(&self) -> impl Iterator<Item = usize> + '_ {
        self.order[..usize::from(self.len)].iter().map(|&index| usize::from(index))
    }

    /// The index of the pool to try first.
    pub fn first(&self) -> Option<usize> {
        self.order().next()
    }

    /// The verdict on the pool at `index` of the query.
    pub fn verdict(&self, index: usize) -> Verdict {
        self.verdicts[..usize::from(self.weighed)][index]
    }

    /// Why the request can't be sent anywhere, if no pool is to be tried.
    pub fn refusal(&self) -> Option<Reason> {
        if self.len > 0 {
            return None;
        }
        let verdicts = &self.verdicts[..usize::from(self.weighed)];
        let any = |wanted: Verdict| verdicts.contains(&wanted);
        Some(if any(Verdict::NoLink) || any(Verdict::NoShift) {
            Reason::NoHeadroom
        } else if any(Verdict::TooLate) {
            Reason::DeadlinePassed
        } else {
            Reason::NoUpstream
        })
    }

    /// The decision in a form for the log: each region with its verdict.
    pub fn explain<'a>(&'a self, query: &'a Query<'a>) -> Explain<'a> {
        Explain { plan: self, query }
    }
}

impl fmt::Display for Explain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, pool) in self.query.pools.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{}:{}", pool.region, self.plan.verdict(index).as_str())?;
            if let Some(report) = pool.report {
                let age = self.query.now.since(report.at);
                write!(f, "/free={}/wait={}/age={age}", report.free, report.wait)?;
            }
        }
        Ok(())
    }
}

impl Report {
    /// The expected wait for a slot.
    fn wait(&self) -> Millis {
        if self.free > 0 { Millis::ZERO } else { self.wait }
    }
}

/// Orders the pools of `query` for one attempt.
///
/// The own region comes first unless it takes no work, can't meet the deadline, or another region
/// answers sooner by a margin. Another region is tried for load only on fresh knowledge of its
/// load, so that lost measurements never move traffic. A region that is merely not heard from is
/// the last resort, so that lost measurements never leave a request without a candidate either.
///
/// # Panics
///
/// If the query has more than [`POOLS_MAX`] pools.
pub fn plan(query: &Query<'_>, options: &Options) -> Plan {
    assert!(query.pools.len() <= POOLS_MAX, "more pools than a plan holds");
    let mut plan = Plan {
        order: [0; POOLS_MAX],
        len: 0,
        verdicts: [Verdict::Empty; POOLS_MAX],
        weighed: query.pools.len() as u8,
    };
    let home = own_region(query, options);
    let mut ranks = [(0, Millis::ZERO, 0); POOLS_MAX];
    for (index, pool) in query.pools.iter().enumerate() {
        let (verdict, rank) = judge(query, options, &home, index, pool);
        plan.verdicts[index] = verdict;
        if verdict.is_tried() {
            insert(&mut plan, &mut ranks, index, rank);
        }
    }
    if plan.len == 0 {
        last_resort(query, &mut plan, &mut ranks);
    }
    plan
}

fn own_region(query: &Query<'_>, options: &Options) -> Home {
    let own = query.pools.iter().find(|pool| pool.region == query.home);
    let usable = |pool: &&PoolView<'_>| {
        pool.state == State::Open && answered_by(query, pool, Millis::ZERO) <= query.deadline
    };
    let Some(pool) = own.filter(usable) else {
        return Home { usable: false, in_time: false, wait: None };
    };
    let wait = fresh_wait(query, options, pool);
    let in_time = answered_by(query, pool, wait.unwrap_or_default()) <= query.deadline;
    Home { usable: true, in_time, wait }
}

fn judge(
    query: &Query<'_>,
    options: &Options,
    home: &Home,
    index: usize,
    pool: &PoolView<'_>,
) -> (Verdict, Rank) {
    match pool.state {
        State::Draining => return (Verdict::Draining, Rank::default()),
        State::Silent => return (Verdict::Silent, Rank::default()),
        State::Empty => return (Verdict::Empty, Rank::default()),
        State::Open => {}
    }
    if answered_by(query, pool, Millis::ZERO) > query.deadline {
        return (Verdict::TooLate, Rank::default());
    }
    if pool.region == query.home {
        return (Verdict::Home, (1, Millis::ZERO, 0));
    }
    if let Some(verdict) = headroom(query, options, pool) {
        return (verdict, Rank::default());
    }
    let wait = fresh_wait(query, options, pool);
    if wait.is_some_and(|wait| answered_by(query, pool, wait) > query.deadline) {
        return (Verdict::TooLate, Rank::default());
    }
    remote(query, options, home, index, pool, wait)
}

fn remote(
    query: &Query<'_>,
    options: &Options,
    home: &Home,
    index: usize,
    pool: &PoolView<'_>,
    wait: Option<Millis>,
) -> (Verdict, Rank) {
    let cost = wait.unwrap_or_default() + pool.delay * 2;
    let spread = mix(query.seed, index);
    if !home.usable {
        let rank = if wait.is_some() { 2 } else { 3 };
        return (Verdict::Substitute, (rank, cost, spread));
    }
    let Some(wait) = wait.filter(|_| query.class == Class::Interactive) else {
        return (Verdict::NotNeeded, Rank::default());
    };
    let sooner = home.wait.is_some_and(|own| cost + options.overflow_margin < own);
    if sooner || !home.in_time {
        return (Verdict::Sooner, (0, cost, spread));
    }
    if wait == Millis::ZERO {
        return (Verdict::Backup, (2, cost, spread));
    }
    (Verdict::NotNeeded, Rank::default())
}

/// Tries the silent regions when nothing else is left, the nearest first.
fn last_resort(query: &Query<'_>, plan: &mut Plan, ranks: &mut [Rank; POOLS_MAX]) {
    for (index, pool) in query.pools.iter().enumerate() {
        let in_time = answered_by(query, pool, Millis::ZERO) <= query.deadline;
        if pool.state == State::Silent && in_time {
            plan.verdicts[index] = Verdict::LastResort;
            insert(plan, ranks, index, (0, pool.delay, mix(query.seed, index)));
        }
    }
}

fn headroom(query: &Query<'_>, options: &Options, pool: &PoolView<'_>) -> Option<Verdict> {
    let short = |room: Option<Headroom>, need: u64| {
        room.is_some_and(|room| is_fresh(query, options, room.at) && room.left < need)
    };
    if short(pool.shift, 1) {
        return Some(Verdict::NoShift);
    }
    short(pool.link, query.link_bytes).then_some(Verdict::NoLink)
}

fn fresh_wait(query: &Query<'_>, options: &Options, pool: &PoolView<'_>) -> Option<Millis> {
    pool.report.filter(|report| is_fresh(query, options, report.at)).map(|report| report.wait())
}

fn is_fresh(query: &Query<'_>, options: &Options, at: Millis) -> bool {
    query.now.since(at) <= options.report_max_age
}

fn answered_by(query: &Query<'_>, pool: &PoolView<'_>, wait: Millis) -> Millis {
    query.now + wait + pool.delay * 2 + query.service_time
}

fn insert(plan: &mut Plan, ranks: &mut [Rank; POOLS_MAX], index: usize, rank: Rank) {
    let mut at = usize::from(plan.len);
    while at > 0 && ranks[at - 1] > rank {
        ranks[at] = ranks[at - 1];
        plan.order[at] = plan.order[at - 1];
        at -= 1;
    }
    ranks[at] = rank;
    plan.order[at] = index as u8;
    plan.len += 1;
}

/// Mixes `seed` and `index` into a number that orders equal candidates differently for each seed.
fn mix(seed: u64, index: usize) -> u64 {
    let mut x = seed ^ (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
