//! Simulates hosts, callers and an upstream on virtual time, and checks the at-most-once
//! invariants.

use std::collections::HashMap;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_once::commit::CommitOutcome;
use foxtail_once::relay::{Peers, commit_for_peer, msg};
use foxtail_once::{Answer, AtMostOnce, BeginOutcome, Commit, GroupCommitter, RelayClient, commit};
use foxtail_platform::Table;
use foxtail_platform::table::{Error, Options, Outcome, Row, Txn};
use foxtail_standin::platform::{LocalStore, Outage, Platform};
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use parking_lot::Mutex;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::naive::NaiveAtMostOnce;
use super::{Host, TokioClock, WALL_START, claim_request, host_with_table, key, workspace};

pub(crate) const HOST_COUNT: usize = 3;
pub(crate) const KEY_COUNT: usize = 4;

/// Index of the host that relays the writes of the others.
const RELAY_HOST_INDEX: usize = 1;

/// One step of a history. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Submit {
        host: usize,
        key: usize,
        wait_ms: u64,
    },
    /// The host checks whether it may send, and sends.
    Send {
        nth: usize,
    },
    /// The upstream runs a request that was sent, possibly much later.
    Run {
        nth: usize,
    },
    /// The upstream proves that it did not run the request.
    Refuse {
        nth: usize,
    },
    Answer {
        nth: usize,
    },
    LoseAnswer {
        nth: usize,
    },
    Release {
        nth: usize,
    },
    Crash {
        host: usize,
    },
    Pause {
        host: usize,
        paused: bool,
    },
    Outage {
        how: Option<Outage>,
    },
    LoseReplies {
        n: u32,
    },
    Slow {
        by_ms: u64,
    },
    Advance {
        ms: u64,
    },
}

/// A table that can pause its host before and after each commit and read.
struct PausableTable {
    inner: LocalStore,
    paused: watch::Receiver<bool>,
}

impl PausableTable {
    async fn wait_while_paused(&self) {
        let mut paused = self.paused.clone();
        let _ = paused.wait_for(|paused| !paused).await;
    }
}

#[async_trait]
impl Table for PausableTable {
    async fn commit(&self, txn: &Txn, options: Options) -> Outcome {
        self.wait_while_paused().await;
        let outcome = self.inner.commit(txn, options).await;
        self.wait_while_paused().await;
        outcome
    }

    async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error> {
        self.wait_while_paused().await;
        let rows = self.inner.read(keys, options).await;
        self.wait_while_paused().await;
        rows
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        options: Options,
    ) -> Result<Vec<(String, Row)>, Error> {
        self.inner.scan(prefix, after, limit, options).await
    }
}

/// The committers of all hosts, by which hosts reach each other.
type Committers = Arc<Mutex<HashMap<usize, Arc<GroupCommitter>>>>;

struct InProcessPeers(Committers);

#[async_trait]
impl Peers for InProcessPeers {
    async fn commit(
        &self,
        to: &HostId,
        relayed: msg::RelayedWrite,
        timeout: Millis,
    ) -> Option<CommitOutcome> {
        let found =
            self.0.lock().iter().find(|(i, _)| host_id(**i) == *to).map(|entry| entry.1.clone());
        let committer = found?;
        tokio::time::timeout(timeout.duration(), commit_for_peer(&*committer, relayed)).await.ok()
    }
}

/// A simulated host. After a crash, a new one with another incarnation takes its place.
struct SimulatedHost {
    once: Arc<dyn AtMostOnce>,
    _host: Option<Host>,
    paused: watch::Sender<bool>,
    incarnation: usize,
    tasks: Vec<JoinHandle<()>>,
}

/// A call of `begin` for a key.
struct Submission {
    key: usize,
    reported_not_run: bool,
}

/// An attempt that a submission was granted.
struct TrackedAttempt {
    host: usize,
    incarnation: usize,
    key: usize,
    submission: usize,
    attempt: foxtail_once::Attempt,
    stage: Stage,
}

/// Progress of a granted attempt.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// The host holds the claim and has not sent the request.
    Held,
    /// The request is on its way to the upstream.
    Sent,
    /// The upstream ran the request; the host has not ended the attempt.
    Ran,
    /// The host has ended the attempt, or crashed before it sent the request.
    Over,
}

/// Outcomes that the real implementation returned to callers, over all histories.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeCounts {
    pub(crate) run: u64,
    pub(crate) replay: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) upstream_runs: u64,
}

pub(crate) static OUTCOME_COUNTS: Mutex<OutcomeCounts> =
    Mutex::new(OutcomeCounts { run: 0, replay: 0, not_run: 0, unknown: 0, upstream_runs: 0 });

/// Outcomes that `begin` returned: index of the submission, index of the host, the host's
/// incarnation and the outcome.
type Reports = Arc<Mutex<Vec<(usize, usize, usize, BeginOutcome)>>>;

pub(crate) struct Simulation {
    rt: Runtime,
    platform: Arc<Platform>,
    clock: Arc<dyn Clock>,
    naive: bool,
    hosts: Vec<SimulatedHost>,
    submissions: Vec<Submission>,
    attempts: Vec<TrackedAttempt>,
    reports: Reports,
    /// Submissions that ran, by key, as counted by the upstream.
    runs: HashMap<usize, Vec<usize>>,
    /// Answered keys, with the host that recorded the answer and its incarnation.
    answered: HashMap<usize, (usize, usize)>,
    incarnations: usize,
    committers: Committers,
}

impl Simulation {
    pub(crate) fn new(naive: bool) -> Self {
        let rt = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        let (platform, clock) = {
            let _guard = rt.enter();
            (Platform::new(&Default::default()), TokioClock::start(WALL_START))
        };
        let mut simulation = Self {
            rt,
            platform,
            clock,
            naive,
            hosts: Vec::new(),
            submissions: Vec::new(),
            attempts: Vec::new(),
            reports: Reports::default(),
            runs: HashMap::new(),
            answered: HashMap::new(),
            incarnations: 0,
            committers: Committers::default(),
        };
        for i in 0..HOST_COUNT {
            let host = simulation.start_host(i);
            simulation.hosts.push(host);
        }
        simulation
    }

    fn start_host(&mut self, i: usize) -> SimulatedHost {
        self.incarnations += 1;
        let _guard = self.rt.enter();
        let paused = watch::Sender::new(false);
        let local = LocalStore::new(Arc::clone(&self.platform));
        let table: Arc<dyn Table> =
            Arc::new(PausableTable { inner: local.clone(), paused: paused.subscribe() });
        let clock = Arc::clone(&self.clock);
        let (once, host): (Arc<dyn AtMostOnce>, _) = if self.naive {
            (Arc::new(NaiveAtMostOnce { table, clock }), None)
        } else {
            let options = commit::Options {
                seed: Some(self.incarnations as u64),
                ..commit::Options::default()
            };
            let peers = Arc::new(InProcessPeers(Arc::clone(&self.committers)));
            let make_relay = |committer: Arc<GroupCommitter>| -> Arc<dyn Commit> {
                self.committers.lock().insert(i, Arc::clone(&committer));
                let relay = RelayClient::new(peers, committer, Arc::clone(&self.clock));
                relay.set_target((i != RELAY_HOST_INDEX).then(|| host_id(RELAY_HOST_INDEX)));
                relay
            };
            let host =
                host_with_table(host_id(i).as_str(), table, local, clock, options, make_relay);
            (Arc::clone(&host.claims) as Arc<dyn AtMostOnce>, Some(host))
        };
        SimulatedHost {
            once,
            _host: host,
            paused,
            incarnation: self.incarnations,
            tasks: Vec::new(),
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Submit { host, key, wait_ms } => {
                self.submit(host % HOST_COUNT, key % KEY_COUNT, wait_ms)
            }
            Step::Send { nth } => self.send(nth),
            Step::Run { nth } => self.run(nth),
            Step::Refuse { nth } => self.release(nth, Stage::Sent),
            Step::Answer { nth } => self.answer(nth),
            Step::LoseAnswer { nth } => self.lose_answer(nth),
            Step::Release { nth } => self.release(nth, Stage::Held),
            Step::Crash { host } => self.crash(host % HOST_COUNT),
            Step::Pause { host, paused } => {
                self.hosts[host % HOST_COUNT].paused.send_replace(paused);
            }
            Step::Outage { how } => self.platform.update_faults(|f| f.down = how),
            Step::LoseReplies { n } => self.platform.update_faults(|f| f.lose_next_replies = n),
            Step::Slow { by_ms } => self.platform.update_faults(|f| f.added_delay = Millis(by_ms)),
            Step::Advance { ms } => self.advance(ms),
        }
        self.advance(1);
        self.check_reports();
    }

    /// Returns the virtual time, which can only be read inside the runtime.
    fn now(&self) -> Millis {
        let _guard = self.rt.enter();
        self.clock.now()
    }

    fn advance(&self, ms: u64) {
        self.rt.block_on(async { tokio::time::sleep(Millis(ms).duration()).await });
    }

    fn submit(&mut self, host: usize, k: usize, wait_ms: u64) {
        let resent = self.submissions.iter().any(|submission| submission.key == k);
        let n = self.submissions.len();
        self.submissions.push(Submission { key: k, reported_not_run: false });
        let (once, reports) = (Arc::clone(&self.hosts[host].once), Arc::clone(&self.reports));
        let (incarnation, deadline) = (self.hosts[host].incarnation, self.now() + Millis(wait_ms));
        let task = self.rt.spawn(async move {
            let ws = workspace();
            let req = foxtail_once::ClaimRequest {
                resent,
                ..claim_request(&ws, key(WALL_START, k as u64), deadline)
            };
            let outcome = once.begin(req).await;
            reports.lock().push((n, host, incarnation, outcome));
        });
        self.hosts[host].tasks.push(task);
    }

    /// Checks the outcomes that callers received against the upstream's own count.
    fn check_reports(&mut self) {
        let reports = std::mem::take(&mut *self.reports.lock());
        for (n, host, incarnation, outcome) in reports {
            let k = self.submissions[n].key;
            let runs = self.runs.get(&k).map_or(&[][..], Vec::as_slice);
            self.count_outcome(&outcome);
            match outcome {
                BeginOutcome::Run(attempt) => self.attempts.push(TrackedAttempt {
                    host,
                    incarnation,
                    key: k,
                    submission: n,
                    attempt,
                    stage: Stage::Held,
                }),
                BeginOutcome::Replay(answer) => {
                    assert!(runs.len() == 1, "replayed a request that did not run exactly once");
                    assert_eq!(
                        answer,
                        expected_answer(k, runs[0]),
                        "replayed the answer of another request"
                    );
                }
                BeginOutcome::NotRun(reason, _) => {
                    let ran_earlier = runs.iter().any(|submission| *submission <= n);
                    let ran_at_all = !runs.is_empty() && reason != Reason::StoreUnavailable;
                    assert!(!ran_earlier && !ran_at_all, "reported as not run after it ran");
                    self.submissions[n].reported_not_run = true;
                }
                BeginOutcome::Unknown(..) => {}
                BeginOutcome::Refused(reason) => panic!("refused: {reason:?}"),
            }
        }
    }

    fn count_outcome(&self, outcome: &BeginOutcome) {
        if self.naive {
            return;
        }
        let mut counts = OUTCOME_COUNTS.lock();
        match outcome {
            BeginOutcome::Run(_) => counts.run += 1,
            BeginOutcome::Replay(_) => counts.replay += 1,
            BeginOutcome::NotRun(..) => counts.not_run += 1,
            BeginOutcome::Unknown(..) | BeginOutcome::Refused(_) => counts.unknown += 1,
        }
    }

    /// Returns the index of the `nth` attempt in `stage`, or `None` if there is none. If `running`,
    /// only attempts whose host has neither crashed nor paused count.
    fn pick_attempt(&self, nth: usize, stage: Stage, running: bool) -> Option<usize> {
        let matches = |tracked: &TrackedAttempt| {
            tracked.stage == stage && (!running || self.is_host_running(tracked))
        };
        let found: Vec<_> =
            (0..self.attempts.len()).filter(|i| matches(&self.attempts[*i])).collect();
        (!found.is_empty()).then(|| found[nth % found.len()])
    }

    fn is_host_running(&self, tracked: &TrackedAttempt) -> bool {
        let host = &self.hosts[tracked.host];
        host.incarnation == tracked.incarnation && !*host.paused.borrow()
    }

    fn send(&mut self, nth: usize) {
        let Some(i) = self.pick_attempt(nth, Stage::Held, true) else { return };
        let once = &self.hosts[self.attempts[i].host].once;
        let _guard = self.rt.enter();
        if once.may_send(&self.attempts[i].attempt) {
            self.attempts[i].stage = Stage::Sent;
        }
    }

    fn run(&mut self, nth: usize) {
        let Some(i) = self.pick_attempt(nth, Stage::Sent, false) else { return };
        let (k, submission) = (self.attempts[i].key, self.attempts[i].submission);
        assert!(
            !self.submissions[submission].reported_not_run,
            "ran after it was reported as not run"
        );
        let runs = self.runs.entry(k).or_default();
        runs.push(submission);
        OUTCOME_COUNTS.lock().upstream_runs += u64::from(!self.naive);
        assert!(runs.len() <= 1, "key {k} ran {} times", runs.len());
        self.attempts[i].stage = Stage::Ran;
    }

    fn answer(&mut self, nth: usize) {
        let Some(i) = self.pick_attempt(nth, Stage::Ran, true) else { return };
        let TrackedAttempt { host, incarnation, key, submission, .. } = self.attempts[i];
        self.answered.insert(key, (host, incarnation));
        let once = Arc::clone(&self.hosts[host].once);
        let attempt = self.attempts[i].attempt.clone();
        self.rt.block_on(once.record_answer(attempt, expected_answer(key, submission)));
        self.attempts[i].stage = Stage::Over;
    }

    fn lose_answer(&mut self, nth: usize) {
        let Some(i) = self.pick_attempt(nth, Stage::Ran, true) else { return };
        let once = Arc::clone(&self.hosts[self.attempts[i].host].once);
        self.rt.block_on(once.mark_lost(self.attempts[i].attempt.clone()));
        self.attempts[i].stage = Stage::Over;
    }

    fn release(&mut self, nth: usize, stage: Stage) {
        let Some(i) = self.pick_attempt(nth, stage, true) else { return };
        let once = Arc::clone(&self.hosts[self.attempts[i].host].once);
        self.rt.block_on(once.release(self.attempts[i].attempt.clone()));
        self.attempts[i].stage = Stage::Over;
    }

    fn crash(&mut self, host: usize) {
        for task in &self.hosts[host].tasks {
            task.abort();
        }
        let restarted = self.start_host(host);
        self.hosts[host] = restarted;
        let incarnation = self.hosts[host].incarnation;
        for tracked in &mut self.attempts {
            if tracked.host == host
                && tracked.incarnation != incarnation
                && tracked.stage == Stage::Held
            {
                tracked.stage = Stage::Over;
            }
        }
    }

    /// Ends all faults and all attempts, then checks that every key has a definite outcome at every
    /// host.
    pub(crate) fn finish_and_check(&mut self) {
        self.platform.update_faults(|f| *f = Default::default());
        for host in &self.hosts {
            host.paused.send_replace(false);
        }
        self.advance(10_000);
        self.check_reports();
        while self.pick_attempt(0, Stage::Sent, false).is_some() {
            self.run(0);
        }
        while self.pick_attempt(0, Stage::Ran, true).is_some() {
            self.answer(0);
        }
        while self.pick_attempt(0, Stage::Held, true).is_some() {
            self.release(0, Stage::Held);
        }
        self.advance(60_000);
        self.check_reports();
        for k in 0..KEY_COUNT {
            for host in 0..HOST_COUNT {
                self.check_definite(k, host);
            }
        }
    }

    fn check_definite(&self, k: usize, host: usize) {
        let once = Arc::clone(&self.hosts[host].once);
        let ws = workspace();
        let deadline = self.now() + Millis(5_000);
        let req = foxtail_once::ClaimRequest {
            resent: true,
            ..claim_request(&ws, key(WALL_START, k as u64), deadline)
        };
        let runs = self.runs.get(&k).map_or(0, Vec::len);
        match self.rt.block_on(once.begin(req)) {
            BeginOutcome::Run(attempt) => {
                assert_eq!(runs, 0, "a key that ran was granted again");
                self.rt.block_on(once.release(attempt));
                self.advance(1_000);
            }
            BeginOutcome::Replay(_) => assert_eq!(runs, 1),
            BeginOutcome::Unknown(Reason::AnswerLost, _) => {
                let host_still_running = self
                    .answered
                    .get(&k)
                    .map(|(host, incarnation)| self.hosts[*host].incarnation == *incarnation);
                assert_ne!(host_still_running, Some(true), "a recorded answer is not replayed");
            }
            other => panic!("no definite outcome: {other:?}"),
        }
    }
}

fn host_id(i: usize) -> HostId {
    HostId::new(&format!("h{i}")).unwrap()
}

/// Returns the upstream's answer to the submission that ran.
fn expected_answer(k: usize, submission: usize) -> Answer {
    let body = vec![k as u8, submission as u8];
    Answer { status: 201, headers: Vec::new(), size: 2, body: Some(body), digest: [0; 32] }
}
