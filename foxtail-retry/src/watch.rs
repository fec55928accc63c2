//! Keeps one request from bringing down more than two upstreams.
//!
//! A request runs in one of three ways:
//!
//! - proven: the same request was answered a short while ago. Nothing is asked.
//! - first: a guard, one host of the caller's region, lets it run once at a time.
//! - trial: an upstream broke under it. It runs one at a time in the whole system, by a row of the
//!   table; one answer clears it, a second crash convicts it. Without the table it does not run.
//!   A request whose guards do not answer runs in this way too.
//!
//! So the first crash happens under the guard, the second in a trial, and there is no third. While
//! a request's guard can't be reached from some hosts, a second guard may let a copy run at the
//! same time, and there may be one more.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_platform::Table;
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fingerprint::Fingerprint;
use crate::guard::{Begin, Guard, RunId};
use crate::msg::{Ask, Done, Ended, Leave, News};
use crate::proven::Proven;
use crate::record::{Evidence, MarkId, Standing};
use crate::suspect::Suspects;
use crate::trial::{self, Suspect, Trial, Trials};

/// How long to wait for a guard before the next host is asked.
const GUARD_TIMEOUT: Millis = Millis(250);
/// The most hosts that are asked in turn.
const GUARDS_MAX: usize = 2;
/// How often a guard looks whether the run that another request waits for has ended.
const WAIT_STEP: Millis = Millis(2);
/// The longest that a request waits at its guard before it asks again.
const WAIT_MAX: Millis = Millis(200);
/// How often a suspect looks whether the trial that it waits for has ended.
const TRIAL_STEP: Millis = Millis(50);
/// What a guard adds to a run's time before it counts as lost.
const GRACE: Millis = Millis::secs(2);
/// When a caller is told to come back while its request waits for the same one.
const RETRY_AFTER: Millis = Millis::secs(1);

/// Sends messages to other hosts.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Asks the guard on `host`.
    ///
    /// # Errors
    ///
    /// [`Unreachable`] if there was no answer in time.
    async fn ask(&self, host: &HostId, ask: Ask, timeout: Millis) -> Result<Leave, Unreachable>;

    /// Tells the guard on `host` that a run has ended; tried a few times, then given up.
    async fn done(&self, host: &HostId, done: Done);

    /// Tells all other hosts within seconds. Returns at once.
    fn spread(&self, news: News);
}

/// A host did not answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the host did not answer in time")]
pub struct Unreachable;

/// Watches over the requests of one host.
pub struct Watch {
    own: HostId,
    clock: Arc<dyn Clock>,
    table: Arc<dyn Table>,
    peers: Arc<dyn Peers>,
    suspects: Suspects,
    proven: Proven,
    guard: Guard,
    trials: Trials,
}

/// A request that asks leave for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Case<'a> {
    /// The workspace.
    pub workspace: &'a WorkspaceId,
    /// The service.
    pub service: &'a ServiceId,
    /// The fingerprint.
    pub fp: Fingerprint,
    /// The live hosts of the caller's region, by the caller's address and not by where it
    /// entered, so that all copies of a request that one caller sends meet at one guard.
    pub hosts: &'a [HostId],
    /// When the attempt ends, at the latest.
    pub deadline: Millis,
}

/// The leave to make one attempt, to be given back to [`Watch::finish`].
#[derive(Debug)]
#[must_use = "a permit that is not finished makes a suspect of the request"]
pub struct Permit {
    fp: Fingerprint,
    run: RunId,
    way: Way,
}

/// How an attempt runs.
#[derive(Debug)]
enum Way {
    Proven,
    First(Guards),
    Trial(Trial),
}

/// The guard that let a run begin, and those that were asked and may have done so unheard.
#[derive(Debug, Default)]
struct Guards(Vec<HostId>);

impl Permit {
    /// How the attempt runs, for logs.
    pub fn way(&self) -> &'static str {
        match self.way {
            Way::Proven => "proven",
            Way::First(_) => "first",
            Way::Trial(_) => "trial",
        }
    }

    /// Whether the attempt runs alone, as a suspect.
    pub fn is_trial(&self) -> bool {
        matches!(self.way, Way::Trial(_))
    }
}

impl Watch {
    /// Watches for the host `own`.
    pub fn new(
        own: HostId,
        clock: Arc<dyn Clock>,
        table: Arc<dyn Table>,
        peers: Arc<dyn Peers>,
    ) -> Self {
        Self {
            own,
            clock,
            table,
            peers,
            suspects: Suspects::default(),
            proven: Proven::default(),
            guard: Guard::default(),
            trials: Trials::default(),
        }
    }

    /// Asks leave for one attempt.
    ///
    /// # Errors
    ///
    /// The [`Outcome`] for the caller if the request may not run.
    pub async fn admit(&self, case: &Case<'_>) -> Result<Permit, Outcome> {
        let run = RunId(rand::random());
        let mut asked = Guards::default();
        let admitted = self.admit_run(case, run, &mut asked).await;
        match admitted {
            Ok(Way::First(_)) => Ok(Permit { fp: case.fp, run, way: Way::First(asked) }),
            other => {
                self.end_run(&asked, Done { fp: case.fp, run, ended: Ended::Nothing }).await;
                other.map(|way| Permit { fp: case.fp, run, way })
            }
        }
    }

    async fn admit_run(
        &self,
        case: &Case<'_>,
        run: RunId,
        asked: &mut Guards,
    ) -> Result<Way, Outcome> {
        while self.clock.now() < case.deadline {
            match self.standing(case.fp) {
                Standing::Convicted => return Err(convicted()),
                Standing::Suspect => return self.trial(case, run).await.map(Way::Trial),
                Standing::Clear if self.proven.contains(case.fp, self.clock.now()) => {
                    return Ok(Way::Proven);
                }
                Standing::Clear => {}
            }
            let Some(leave) = self.ask(case, run, asked).await else {
                return self.trial(case, run).await.map(Way::Trial);
            };
            match leave {
                Leave::Run => return Ok(Way::First(Guards::default())),
                Leave::Busy => {}
                Leave::Recorded(record) => self.receive(&News { fp: case.fp, record }),
            }
        }
        Err(not_run(Reason::DeadlinePassed))
    }

    /// Gives back a permit with how the attempt ended.
    pub async fn finish(&self, permit: Permit, ended: Ended) {
        let Permit { fp, run, way } = permit;
        let mark = match way {
            Way::Trial(_) => MarkId(run.0),
            Way::Proven | Way::First(_) => MarkId::OUTSIDE_TRIAL,
        };
        self.learn(fp, mark, ended);
        match way {
            Way::Proven => {}
            Way::First(guards) => self.end_run(&guards, Done { fp, run, ended }).await,
            Way::Trial(trial) => self.end_trial(fp, trial, ended).await,
        }
    }

    /// Answers a peer that asks this host's guard. May take up to [`WAIT_MAX`].
    pub async fn serve(&self, ask: Ask) -> Leave {
        let waited_from = self.clock.now();
        loop {
            let leave = self.leave(ask);
            let waited = self.clock.now().since(waited_from);
            if leave != Leave::Busy || waited >= WAIT_MAX.min(ask.within) {
                return leave;
            }
            tokio::time::sleep(WAIT_STEP.duration()).await;
        }
    }

    /// Takes note of a run that a peer has ended.
    pub fn done(&self, done: Done) {
        self.learn(done.fp, MarkId::OUTSIDE_TRIAL, done.ended);
        self.guard.end(done.fp, done.run);
    }

    /// Takes in news from a peer.
    pub fn receive(&self, news: &News) {
        self.proven.forget(news.fp);
        if let Some(more) = self.suspects.receive(news, self.clock.wall()) {
            tracing::warn!(event = "convicted", fingerprint = %news.fp);
            self.peers.spread(more);
        }
    }

    /// All that this host knows, for a host that joins.
    pub fn news(&self) -> Vec<News> {
        self.suspects.news(self.clock.wall())
    }

    /// How `fp` stands on this host.
    pub fn standing(&self, fp: Fingerprint) -> Standing {
        self.suspects.standing(fp, self.clock.wall())
    }

    /// Asks the guards in turn and takes the first answer, if there is one. `asked` gets those
    /// that may have let the run begin.
    async fn ask(&self, case: &Case<'_>, run: RunId, asked: &mut Guards) -> Option<Leave> {
        let within = case.deadline.since(self.clock.now()) + GRACE;
        let ask = Ask { fp: case.fp, run, within };
        for guard in guards(case.fp, case.hosts) {
            let answer = match *guard == self.own {
                true => Ok(self.serve(ask).await),
                false => self.ask_peer(guard, ask).await,
            };
            let may_run = !matches!(answer, Ok(Leave::Busy | Leave::Recorded(_)));
            if may_run && !asked.0.contains(guard) {
                asked.0.push(guard.clone());
            }
            if let Ok(leave) = answer {
                return Some(leave);
            }
            tracing::info!(event = "guard-unreachable", host = %guard, fingerprint = %case.fp);
        }
        None
    }

    async fn ask_peer(&self, guard: &HostId, ask: Ask) -> Result<Leave, Unreachable> {
        let timeout = GUARD_TIMEOUT + WAIT_MAX;
        match self.peers.ask(guard, ask, timeout).await {
            Ok(leave) => Ok(leave),
            Err(Unreachable) => self.peers.ask(guard, ask, timeout).await,
        }
    }

    async fn end_run(&self, guards: &Guards, done: Done) {
        for guard in &guards.0 {
            if *guard == self.own {
                self.guard.end(done.fp, done.run);
            } else {
                self.peers.done(guard, done).await;
            }
        }
    }

    fn leave(&self, ask: Ask) -> Leave {
        let Ask { fp, run, within } = ask;
        let now = self.clock.now();
        match self.standing(fp) {
            Standing::Convicted | Standing::Suspect => {
                return Leave::Recorded(self.suspects.record(fp));
            }
            Standing::Clear if self.proven.contains(fp, now) => return Leave::Run,
            Standing::Clear => {}
        }
        match self.guard.begin(fp, run, now + within, now) {
            Begin::Go => Leave::Run,
            Begin::Wait => Leave::Busy,
            Begin::AfterLost => {
                self.learn(fp, MarkId::OUTSIDE_TRIAL, Ended::Broke(Evidence::Break));
                Leave::Recorded(self.suspects.record(fp))
            }
        }
    }

    /// Draws the conclusions from a run.
    fn learn(&self, fp: Fingerprint, mark: MarkId, ended: Ended) {
        let wall = self.clock.wall();
        match ended {
            Ended::Nothing => {}
            Ended::Answered => {
                if mark != MarkId::OUTSIDE_TRIAL {
                    tracing::info!(event = "suspect-cleared", fingerprint = %fp);
                    self.peers.spread(self.suspects.clear(fp, wall));
                }
                if self.standing(fp) == Standing::Clear {
                    self.proven.answered(fp, self.clock.now());
                }
            }
            Ended::Broke(evidence) => {
                self.proven.forget(fp);
                let news = self.suspects.mark(fp, mark, evidence, wall);
                let standing = news.record.standing();
                tracing::warn!(event = "suspect", fingerprint = %fp, ?evidence, ?standing);
                self.peers.spread(news);
            }
        }
    }

    /// Waits until no other suspect of the service runs, then begins a trial.
    async fn trial(&self, case: &Case<'_>, run: RunId) -> Result<Trial, Outcome> {
        let fp = case.fp;
        while self.clock.now() < case.deadline {
            let within = case.deadline.since(self.clock.now());
            let Case { workspace, service, .. } = *case;
            let suspect = Suspect { workspace, service, fp, run, within };
            let (table, clock) = (self.table.as_ref(), self.clock.as_ref());
            match self.trials.begin(table, clock, &suspect).await {
                Ok(trial) => return self.begun(case, trial).await,
                Err(trial::Refusal::Busy) => tokio::time::sleep(TRIAL_STEP.duration()).await,
                Err(trial::Refusal::Lost(lost)) => {
                    self.learn(lost.fp, MarkId(lost.run.0), Ended::Broke(Evidence::Break));
                }
                Err(trial::Refusal::Store) => return Err(not_run(Reason::StoreUnavailable)),
                Err(trial::Refusal::Convicted(record)) => {
                    self.receive(&News { fp, record });
                    return Err(convicted());
                }
            }
        }
        Err(not_run(Reason::DeadlinePassed))
    }

    /// A trial has begun, and may have done so late, or after news of a conviction.
    async fn begun(&self, case: &Case<'_>, trial: Trial) -> Result<Trial, Outcome> {
        let fp = case.fp;
        let convicted_since = self.standing(fp) == Standing::Convicted;
        if !convicted_since && self.clock.now() < case.deadline {
            return Ok(trial);
        }
        self.end_trial(fp, trial, Ended::Nothing).await;
        Err(if convicted_since { convicted() } else { not_run(Reason::DeadlinePassed) })
    }

    async fn end_trial(&self, fp: Fingerprint, trial: Trial, ended: Ended) {
        let record = self.suspects.record(fp);
        if trial.end(self.table.as_ref(), &record).await.is_err() {
            tracing::warn!(event = "trial-end-not-recorded", fingerprint = %fp, ?ended);
        }
    }
}

/// The hosts to ask in turn: the same for all hosts that know the same `hosts`.
fn guards(fp: Fingerprint, hosts: &[HostId]) -> impl Iterator<Item = &HostId> {
    let score = |host: &HostId| xxh3_64_with_seed(host.as_str().as_bytes(), fp.hash64());
    let first = hosts.iter().max_by_key(|host| score(host));
    let rest = hosts.iter().filter(move |host| Some(*host) != first);
    let second = rest.max_by_key(|host| score(host));
    first.into_iter().chain(second).take(GUARDS_MAX)
}

fn convicted() -> Outcome {
    Outcome::Refused { reason: Reason::Convicted }
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun { reason, retry_after: RETRY_AFTER }
}
