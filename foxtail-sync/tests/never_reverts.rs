//! Whatever fails, no host goes back to a lower version, what was accepted is never lost, and all
//! hosts end at the newest one.
//!
//! `FOXTAIL_CASES` runs more cases, `FOXTAIL_SEED` other ones.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::Fleet;
use foxtail_config::{DrainTarget, Snapshot};
use foxtail_standin::platform::Down;
use foxtail_sync::admin::Error;
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::sync::watch;

const HOSTS: usize = 6;
const CASES: u32 = 24;
const SEED: u64 = 42;

#[derive(Clone, Debug)]
enum Step {
    /// The operator at this host sets the shift cap, from what is in force.
    Apply(usize, u64),
    Drain(usize, bool),
    Restart(usize),
    Cut(usize),
    Join(usize),
    Store(Option<Down>),
    LoseReplies(u32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..HOSTS, 1..1_000u64).prop_map(|(at, cap)| Step::Apply(at, cap)),
        1 => (0..HOSTS, any::<bool>()).prop_map(|(at, on)| Step::Drain(at, on)),
        2 => (0..HOSTS).prop_map(Step::Restart),
        1 => (0..HOSTS).prop_map(Step::Cut),
        2 => (0..HOSTS).prop_map(Step::Join),
        2 => prop_oneof![Just(None), Just(Some(Down::Refuse)), Just(Some(Down::Hang))]
            .prop_map(Step::Store),
        1 => (0..800u32).prop_map(Step::LoseReplies),
        4 => (50..4_000u64).prop_map(Step::Pass),
    ]
}

type Shown = watch::Receiver<Option<Arc<Snapshot>>>;

/// What each run of a host has shown, and the highest version known to be accepted.
struct Watch {
    fleet: Arc<Fleet>,
    /// For each host the least version that it may show next.
    runs: BTreeMap<HostId, (Shown, Version)>,
    accepted: Arc<Mutex<BTreeMap<Version, u32>>>,
}

impl Watch {
    fn start(&mut self, id: &HostId) {
        self.fleet.start(id);
        let shown = self.fleet.spread(id).unwrap().subscribe();
        let floor = self.newest_reachable(id);
        self.runs.insert(id.clone(), (shown, floor));
    }

    /// The highest version that another host could tell `id`, which has just started.
    fn newest_reachable(&self, id: &HostId) -> Version {
        let cut = self.fleet.cut.lock();
        if cut.contains(id) {
            return Version(0);
        }
        let hosts = self.fleet.hosts.lock();
        let others = hosts.iter().filter(|(other, _)| *other != id && !cut.contains(*other));
        others.map(|(_, host)| host.spread.held()).max().unwrap_or_default()
    }

    fn check(&mut self) {
        for (id, (shown, highest)) in &mut self.runs {
            let Some(snapshot) = shown.borrow_and_update().clone() else { continue };
            assert!(snapshot.version >= *highest, "{id} went back to {}", snapshot.version);
            *highest = snapshot.version;
            let accepted = self.accepted.lock();
            if let Some(cap) = accepted.get(&snapshot.version) {
                let shows = snapshot.workspaces[0].shift_per_s;
                assert!(shows <= *cap, "{id} shows a cap of {shows}, above the accepted {cap}");
            }
        }
    }

    /// Hosts that have shown nothing yet may have relied on a host that is gone now.
    fn forget_unshown(&mut self) {
        let unshown = |run: &&mut (Shown, Version)| run.0.borrow().is_none();
        for (_, floor) in self.runs.values_mut().filter(unshown) {
            *floor = Version(0);
        }
    }

    async fn pass(&mut self, span: Millis) {
        let mut left = span;
        while left > Millis::ZERO {
            let step = left.min(Millis(250));
            self.fleet.pass(step).await;
            left = left.since(step);
            self.check();
        }
    }

    async fn apply(&self, at: usize, cap: u64) {
        let Some(admin) = self.fleet.admin(&self.fleet.name(at)) else { return };
        let id = WorkspaceId::new("tali-selamat").unwrap();
        let Ok(mut input) = admin.workspace_show(&id).await else { return };
        input.params.shift_per_s = Some(cap);
        match admin.workspace_apply("aminah", &input, "").await {
            Ok(accepted) if accepted.changed => {
                let former = self.accepted.lock().insert(accepted.version, cap as u32);
                assert_eq!(former, None, "version {} was accepted twice", accepted.version);
            }
            Ok(_) | Err(Error::Unavailable(_) | Error::Unsettled { .. } | Error::Conflict(_)) => {}
            Err(e) => panic!("unexpected: {e}"),
        }
    }

    async fn run(&mut self, step: &Step) {
        match step {
            Step::Apply(at, cap) => self.apply(*at, *cap).await,
            Step::Drain(at, on) => self.drain(*at, *on).await,
            Step::Restart(at) => {
                let id = self.fleet.name(*at);
                self.fleet.stop(&id).await;
                self.forget_unshown();
                self.start(&id);
            }
            Step::Cut(at) => {
                self.fleet.cut.lock().insert(self.fleet.name(*at));
                self.forget_unshown();
            }
            Step::Join(at) => {
                self.fleet.cut.lock().remove(&self.fleet.name(*at));
            }
            Step::Store(down) => self.fleet.platform.fault(|faults| faults.down = *down),
            Step::LoseReplies(per_mille) => {
                self.fleet.platform.fault(|faults| faults.lose_replies_per_mille = *per_mille);
            }
            Step::Pass(ms) => self.pass(Millis(*ms)).await,
        }
        self.check();
    }

    async fn drain(&self, at: usize, on: bool) {
        let Some(admin) = self.fleet.admin(&self.fleet.name(at)) else { return };
        let target = DrainTarget::Host(self.fleet.name(at));
        let _ = match on {
            true => admin.drain_start("ravi", &target).await,
            false => admin.drain_stop("ravi", &target).await,
        };
    }
}

async fn scenario(steps: Vec<Step>, seed: u64) {
    let fleet = Fleet::new(HOSTS, seed);
    let accepted = Arc::default();
    let mut watch = Watch { fleet: Arc::clone(&fleet), runs: BTreeMap::new(), accepted };
    for i in 0..HOSTS {
        watch.start(&fleet.name(i));
    }
    let admin = fleet.admin(&fleet.name(0)).unwrap();
    admin.network_apply("aminah", &common::network(), Version(0)).await.unwrap();
    admin.workspace_apply("aminah", &common::input(), "").await.unwrap();
    watch.pass(Millis::secs(3)).await;
    for step in &steps {
        watch.run(step).await;
    }
    fleet.cut.lock().clear();
    fleet.platform.fault(|faults| *faults = foxtail_standin::platform::Faults::default());
    watch.pass(Millis::secs(70)).await;
    let newest = admin.show().await.unwrap().version;
    let last = watch.accepted.lock().last_key_value().map(|(version, _)| *version);
    assert!(last.is_none_or(|last| last <= newest), "version {last:?} was accepted and is lost");
    let in_force: Vec<_> = watch.runs.values().map(|(shown, _)| shown.borrow().clone()).collect();
    for shown in &in_force {
        assert_eq!(shown.as_ref().map(|s| s.version), Some(newest));
        assert_eq!(shown, &in_force[0], "hosts that have settled show the same");
    }
    for i in 0..HOSTS {
        fleet.stop(&fleet.name(i)).await;
    }
}

#[test]
fn versions_never_fall_and_nothing_accepted_is_lost() {
    let env = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seed = env("FOXTAIL_SEED").unwrap_or(SEED);
    let cases = env("FOXTAIL_CASES").map_or(CASES, |cases| cases as u32);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 10..40);
    let run = TestRunner::new(config).run(&(steps, any::<u64>()), |(steps, seed)| {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build().unwrap();
        runtime.block_on(scenario(steps, seed));
        Ok(())
    });
    run.unwrap();
}
