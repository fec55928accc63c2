//! Hosts, callers and an upstream on virtual time, and what must hold among them.

use std::collections::HashMap;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_once::commit::Done;
use foxtail_once::relay::{Peers, msg, serve};
use foxtail_once::{Answer, Begin, Commit, Gate, Group, Relay, commit};
use foxtail_platform::Table;
use foxtail_platform::table::{Error, Options, Outcome, Row, Txn};
use foxtail_standin::platform::{LocalStore, Outage, Platform};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::naive::Naive;
use super::{Host, TokioClock, WALL, ask, host_over, key, workspace};

pub(crate) const HOSTS: usize = 3;
pub(crate) const KEYS: usize = 4;

/// The host that gathers the writes of the others.
const RELAY: usize = 1;

/// One step; indices are taken modulo what there is.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Ask {
        host: usize,
        key: usize,
        wait: u64,
    },
    /// The host asks whether it may send, and sends.
    Send {
        nth: usize,
    },
    /// The upstream runs what was sent, maybe long after.
    Run {
        nth: usize,
    },
    /// The upstream proves that it did not run it.
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
        on: bool,
    },
    Down {
        how: Option<Outage>,
    },
    LoseReplies {
        n: u32,
    },
    Slow {
        by: u64,
    },
    Pass {
        ms: u64,
    },
}

/// Stops a host between any two of its steps with the store.
struct Pausing {
    inner: LocalStore,
    paused: watch::Receiver<bool>,
}

impl Pausing {
    async fn point(&self) {
        let mut paused = self.paused.clone();
        let _ = paused.wait_for(|paused| !paused).await;
    }
}

#[async_trait]
impl Table for Pausing {
    async fn commit(&self, txn: &Txn, options: Options) -> Outcome {
        self.point().await;
        let outcome = self.inner.commit(txn, options).await;
        self.point().await;
        outcome
    }

    async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error> {
        self.point().await;
        let rows = self.inner.read(keys, options).await;
        self.point().await;
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

/// The hosts' committers, as other hosts reach them.
type Groups = Arc<Mutex<HashMap<usize, Arc<Group>>>>;

struct Neighbours(Groups);

#[async_trait]
impl Peers for Neighbours {
    async fn commit(&self, to: &HostId, relayed: msg::Relayed, timeout: Millis) -> Option<Done> {
        let found = self.0.lock().iter().find(|(i, _)| host_id(**i) == *to).map(|at| at.1.clone());
        let group = found?;
        tokio::time::timeout(timeout.duration(), serve(&*group, relayed)).await.ok()
    }
}

struct Node {
    gate: Arc<dyn Gate>,
    _host: Option<Host>,
    paused: watch::Sender<bool>,
    life: usize,
    asking: Vec<JoinHandle<()>>,
}

struct Sending {
    key: usize,
    told_not_run: bool,
}

struct Attempted {
    host: usize,
    life: usize,
    key: usize,
    sending: usize,
    attempt: foxtail_once::Attempt,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Held,
    Sent,
    Ran,
    Over,
}

/// What callers were told by the real gate, over all histories.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) run: u64,
    pub(crate) replay: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) upstream_runs: u64,
}

pub(crate) static TALLY: Mutex<Tally> =
    Mutex::new(Tally { run: 0, replay: 0, not_run: 0, unknown: 0, upstream_runs: 0 });

type Told = Arc<Mutex<Vec<(usize, usize, usize, Begin)>>>;

pub(crate) struct World {
    rt: Runtime,
    platform: Arc<Platform>,
    clock: Arc<dyn Clock>,
    naive: bool,
    nodes: Vec<Node>,
    sendings: Vec<Sending>,
    attempts: Vec<Attempted>,
    told: Told,
    /// The runs of each key by sending: the upstream's own count.
    runs: HashMap<usize, Vec<usize>>,
    /// Answered keys, with the host and its life that has the answer.
    answered: HashMap<usize, (usize, usize)>,
    lives: usize,
    groups: Groups,
}

impl World {
    pub(crate) fn new(naive: bool) -> Self {
        let rt = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        let (platform, clock) = {
            let _in = rt.enter();
            (Platform::new(&Default::default()), TokioClock::start(WALL))
        };
        let mut world = Self {
            rt,
            platform,
            clock,
            naive,
            nodes: Vec::new(),
            sendings: Vec::new(),
            attempts: Vec::new(),
            told: Told::default(),
            runs: HashMap::new(),
            answered: HashMap::new(),
            lives: 0,
            groups: Groups::default(),
        };
        for i in 0..HOSTS {
            let node = world.node(i);
            world.nodes.push(node);
        }
        world
    }

    fn node(&mut self, i: usize) -> Node {
        self.lives += 1;
        let _in = self.rt.enter();
        let paused = watch::Sender::new(false);
        let local = LocalStore::new(Arc::clone(&self.platform));
        let table: Arc<dyn Table> =
            Arc::new(Pausing { inner: local.clone(), paused: paused.subscribe() });
        let clock = Arc::clone(&self.clock);
        let (gate, host): (Arc<dyn Gate>, _) = if self.naive {
            (Arc::new(Naive { table, clock }), None)
        } else {
            let options =
                commit::Options { seed: Some(self.lives as u64), ..commit::Options::default() };
            let peers = Arc::new(Neighbours(Arc::clone(&self.groups)));
            let relayed = |own: Arc<Group>| -> Arc<dyn Commit> {
                self.groups.lock().insert(i, Arc::clone(&own));
                let relay = Relay::new(peers, own, Arc::clone(&self.clock));
                relay.set_target((i != RELAY).then(|| host_id(RELAY)));
                relay
            };
            let host = host_over(host_id(i).as_str(), table, local, clock, options, relayed);
            (Arc::clone(&host.claims) as Arc<dyn Gate>, Some(host))
        };
        Node { gate, _host: host, paused, life: self.lives, asking: Vec::new() }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Ask { host, key, wait } => self.ask(host % HOSTS, key % KEYS, wait),
            Step::Send { nth } => self.send(nth),
            Step::Run { nth } => self.run(nth),
            Step::Refuse { nth } => self.release(nth, Stage::Sent),
            Step::Answer { nth } => self.answer(nth),
            Step::LoseAnswer { nth } => self.lose_answer(nth),
            Step::Release { nth } => self.release(nth, Stage::Held),
            Step::Crash { host } => self.crash(host % HOSTS),
            Step::Pause { host, on } => {
                self.nodes[host % HOSTS].paused.send_replace(on);
            }
            Step::Down { how } => self.platform.update_faults(|f| f.down = how),
            Step::LoseReplies { n } => self.platform.update_faults(|f| f.lose_next_replies = n),
            Step::Slow { by } => self.platform.update_faults(|f| f.added_delay = Millis(by)),
            Step::Pass { ms } => self.pass(ms),
        }
        self.pass(1);
        self.hear();
    }

    /// Virtual time, which only the runtime knows.
    fn now(&self) -> Millis {
        let _in = self.rt.enter();
        self.clock.now()
    }

    fn pass(&self, ms: u64) {
        self.rt.block_on(async { tokio::time::sleep(Millis(ms).duration()).await });
    }

    fn ask(&mut self, host: usize, k: usize, wait: u64) {
        let resent = self.sendings.iter().any(|sending| sending.key == k);
        let n = self.sendings.len();
        self.sendings.push(Sending { key: k, told_not_run: false });
        let (gate, told) = (Arc::clone(&self.nodes[host].gate), Arc::clone(&self.told));
        let (life, deadline) = (self.nodes[host].life, self.now() + Millis(wait));
        let task = self.rt.spawn(async move {
            let ws = workspace();
            let ask = foxtail_once::Ask { resent, ..ask(&ws, key(WALL, k as u64), deadline) };
            let begin = gate.begin(ask).await;
            told.lock().push((n, host, life, begin));
        });
        self.nodes[host].asking.push(task);
    }

    /// Takes in what callers were told, and checks it against the upstream's own count.
    fn hear(&mut self) {
        let told = std::mem::take(&mut *self.told.lock());
        for (n, host, life, begin) in told {
            let k = self.sendings[n].key;
            let runs = self.runs.get(&k).map_or(&[][..], Vec::as_slice);
            self.count(&begin);
            match begin {
                Begin::Run(attempt) => self.attempts.push(Attempted {
                    host,
                    life,
                    key: k,
                    sending: n,
                    attempt,
                    stage: Stage::Held,
                }),
                Begin::Replay(answer) => {
                    assert!(runs.len() == 1, "replay of what did not run once");
                    assert_eq!(answer, answer_of(k, runs[0]), "another request's answer");
                }
                Begin::NotRun(reason, _) => {
                    let earlier = runs.iter().any(|by| *by <= n);
                    let any = !runs.is_empty() && reason != Reason::StoreUnavailable;
                    assert!(!earlier && !any, "told not run, but ran");
                    self.sendings[n].told_not_run = true;
                }
                Begin::Unknown(..) => {}
                Begin::Refused(reason) => panic!("refused: {reason:?}"),
            }
        }
    }

    fn count(&self, begin: &Begin) {
        if self.naive {
            return;
        }
        let mut tally = TALLY.lock();
        match begin {
            Begin::Run(_) => tally.run += 1,
            Begin::Replay(_) => tally.replay += 1,
            Begin::NotRun(..) => tally.not_run += 1,
            Begin::Unknown(..) | Begin::Refused(_) => tally.unknown += 1,
        }
    }

    fn pick(&self, nth: usize, stage: Stage, alive: bool) -> Option<usize> {
        let fits = |at: &Attempted| at.stage == stage && (!alive || self.lives_on(at));
        let found: Vec<_> = (0..self.attempts.len()).filter(|i| fits(&self.attempts[*i])).collect();
        (!found.is_empty()).then(|| found[nth % found.len()])
    }

    fn lives_on(&self, attempted: &Attempted) -> bool {
        let node = &self.nodes[attempted.host];
        node.life == attempted.life && !*node.paused.borrow()
    }

    fn send(&mut self, nth: usize) {
        let Some(i) = self.pick(nth, Stage::Held, true) else { return };
        let gate = &self.nodes[self.attempts[i].host].gate;
        let _in = self.rt.enter();
        if gate.may_send(&self.attempts[i].attempt) {
            self.attempts[i].stage = Stage::Sent;
        }
    }

    fn run(&mut self, nth: usize) {
        let Some(i) = self.pick(nth, Stage::Sent, false) else { return };
        let (k, sending) = (self.attempts[i].key, self.attempts[i].sending);
        assert!(!self.sendings[sending].told_not_run, "told not run, then ran");
        let runs = self.runs.entry(k).or_default();
        runs.push(sending);
        TALLY.lock().upstream_runs += u64::from(!self.naive);
        assert!(runs.len() <= 1, "key {k} ran {} times", runs.len());
        self.attempts[i].stage = Stage::Ran;
    }

    fn answer(&mut self, nth: usize) {
        let Some(i) = self.pick(nth, Stage::Ran, true) else { return };
        let Attempted { host, life, key, sending, .. } = self.attempts[i];
        self.answered.insert(key, (host, life));
        let gate = Arc::clone(&self.nodes[host].gate);
        let attempt = self.attempts[i].attempt.clone();
        self.rt.block_on(gate.answered(attempt, answer_of(key, sending)));
        self.attempts[i].stage = Stage::Over;
    }

    fn lose_answer(&mut self, nth: usize) {
        let Some(i) = self.pick(nth, Stage::Ran, true) else { return };
        let gate = Arc::clone(&self.nodes[self.attempts[i].host].gate);
        self.rt.block_on(gate.lost(self.attempts[i].attempt.clone()));
        self.attempts[i].stage = Stage::Over;
    }

    fn release(&mut self, nth: usize, stage: Stage) {
        let Some(i) = self.pick(nth, stage, true) else { return };
        let gate = Arc::clone(&self.nodes[self.attempts[i].host].gate);
        self.rt.block_on(gate.released(self.attempts[i].attempt.clone()));
        self.attempts[i].stage = Stage::Over;
    }

    fn crash(&mut self, host: usize) {
        for task in &self.nodes[host].asking {
            task.abort();
        }
        let node = self.node(host);
        self.nodes[host] = node;
        let life = self.nodes[host].life;
        for at in &mut self.attempts {
            if at.host == host && at.life != life && at.stage == Stage::Held {
                at.stage = Stage::Over;
            }
        }
    }

    /// Brings everything back, ends every attempt, and asks for every key at every host.
    pub(crate) fn finish(&mut self) {
        self.platform.update_faults(|f| *f = Default::default());
        for node in &self.nodes {
            node.paused.send_replace(false);
        }
        self.pass(10_000);
        self.hear();
        while self.pick(0, Stage::Sent, false).is_some() {
            self.run(0);
        }
        while self.pick(0, Stage::Ran, true).is_some() {
            self.answer(0);
        }
        while self.pick(0, Stage::Held, true).is_some() {
            self.release(0, Stage::Held);
        }
        self.pass(60_000);
        self.hear();
        for k in 0..KEYS {
            for host in 0..HOSTS {
                self.check_definite(k, host);
            }
        }
    }

    fn check_definite(&self, k: usize, host: usize) {
        let gate = Arc::clone(&self.nodes[host].gate);
        let ws = workspace();
        let deadline = self.now() + Millis(5_000);
        let ask = foxtail_once::Ask { resent: true, ..ask(&ws, key(WALL, k as u64), deadline) };
        let runs = self.runs.get(&k).map_or(0, Vec::len);
        match self.rt.block_on(gate.begin(ask)) {
            Begin::Run(attempt) => {
                assert_eq!(runs, 0, "it would run again");
                self.rt.block_on(gate.released(attempt));
                self.pass(1_000);
            }
            Begin::Replay(_) => assert_eq!(runs, 1),
            Begin::Unknown(Reason::AnswerLost, _) => {
                let kept =
                    self.answered.get(&k).map(|(host, life)| self.nodes[*host].life == *life);
                assert_ne!(kept, Some(true), "an answer was given and is not replayed");
            }
            other => panic!("no definite outcome: {other:?}"),
        }
    }
}

fn host_id(i: usize) -> HostId {
    HostId::new(&format!("h{i}")).unwrap()
}

/// What the upstream answered to the sending that ran.
fn answer_of(k: usize, sending: usize) -> Answer {
    let body = vec![k as u8, sending as u8];
    Answer { status: 201, headers: Vec::new(), size: 2, body: Some(body), digest: [0; 32] }
}
