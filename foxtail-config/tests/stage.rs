//! While versions spread, the tickets for one server never add up to more than one version allows.
//!
//! `FOXTAIL_CASES` runs more cases, `FOXTAIL_SEED` other ones.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;

use foxtail_config::stage::{Reach, Stager};
use foxtail_config::{NetworkParams, Params, Snapshot, Template, compile};
use foxtail_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde::de::DeserializeOwned;

const HOSTS: usize = 3;
const CASES: u32 = 300;
const SEED: u64 = 42;

fn shipped<T: DeserializeOwned>(name: &str) -> T {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../templates").join(name);
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// Where the one server is, if it is in a pool, and its slots.
type Place = Option<(usize, u32)>;

/// The shipped workspace with a single server at `place`.
fn snapshot(version: u64, place: Place) -> Arc<Snapshot> {
    let network: NetworkParams = shipped("tali-selamat.network.json");
    let network = compile::network(&network).unwrap();
    let template: Template = shipped("tali-selamat.template.json");
    let params: Params = shipped("tali-selamat.params.json");
    let mut workspace = compile::workspace(&template, &params, &network).unwrap();
    workspace.services.truncate(1);
    let service = &mut workspace.services[0];
    service.upstreams.truncate(1);
    match place {
        None => service.upstreams.clear(),
        Some((region, slots)) => {
            service.upstreams[0].region = network.regions[region].id.clone();
            service.upstreams[0].slots = slots;
        }
    }
    let workspaces = vec![Arc::new(workspace)];
    let (version, drains) = (Version(version), Vec::new());
    Arc::new(Snapshot { version, network: Arc::new(network), workspaces, drains })
}

fn slots(snapshot: &Snapshot, region: usize) -> u32 {
    let id = &snapshot.network.regions[region].id;
    snapshot.workspaces[0].services[0].upstreams_in(id).map(|upstream| upstream.slots).sum()
}

#[derive(Clone, Debug)]
enum Step {
    Change(Place),
    /// A host takes the next version, or the newest one at once.
    Spread(usize, bool),
    /// The owner of the pool in this region grants a ticket, if it may.
    Grant(usize),
    Release(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop::option::weighted(0.8, (0..2usize, 1..4u32)).prop_map(Step::Change),
        3 => (0..HOSTS, prop::bool::weighted(0.2)).prop_map(|(host, skip)| Step::Spread(host, skip)),
        4 => (0..2usize).prop_map(Step::Grant),
        2 => any::<usize>().prop_map(Step::Release),
    ]
}

struct Ticket {
    region: usize,
    granted_under: Version,
}

struct World {
    versions: Vec<(Arc<Snapshot>, Place)>,
    hosts: Vec<Stager>,
    tickets: Vec<Ticket>,
    /// The versions that all hosts held at one time.
    everywhere: BTreeSet<Version>,
}

impl World {
    fn new() -> Self {
        let first = (snapshot(1, Some((0, 2))), Some((0, 2)));
        let mut hosts = vec![Stager::new(Arc::clone(&first.0)); HOSTS];
        hosts.iter_mut().for_each(|host| host.reached(Version(1), Reach::Settled));
        Self { versions: vec![first], hosts, tickets: Vec::new(), everywhere: BTreeSet::new() }
    }

    /// What the owner of the pool in `region`, the host of that number, may grant.
    fn slots(&self, region: usize) -> u32 {
        slots(self.hosts[region].in_force(), region)
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Change(place) => {
                let version = self.versions.len() as u64 + 1;
                self.versions.push((snapshot(version, *place), *place));
            }
            Step::Spread(host, skip) => {
                let next = self.hosts[*host].target().version.0 as usize;
                let next = if *skip { next.max(self.versions.len() - 1) } else { next };
                if let Some((snapshot, _)) = self.versions.get(next) {
                    let before = self.hosts[*host].clone();
                    self.hosts[*host].offer(Arc::clone(snapshot));
                    for region in 0..2 {
                        let (was, wanted) =
                            (slots(before.in_force(), region), slots(snapshot, region));
                        let now = slots(self.hosts[*host].in_force(), region);
                        assert!(now <= wanted, "lowered limits hold on sight");
                        let in_pool = slots(before.target(), region) > 0;
                        assert!(now <= was || !in_pool, "raised limits wait");
                    }
                }
            }
            Step::Grant(region) => self.grant(*region),
            Step::Release(i) if !self.tickets.is_empty() => {
                self.tickets.swap_remove(i % self.tickets.len());
            }
            Step::Release(_) => {}
        }
        self.tell_reach();
    }

    fn grant(&mut self, region: usize) {
        let out = self.tickets.iter().filter(|ticket| ticket.region == region).count();
        if out >= self.slots(region) as usize {
            return;
        }
        let granted_under = self.hosts[region].target().version;
        self.tickets.push(Ticket { region, granted_under });
        let oldest = self.hosts.iter().map(|host| host.target().version).min().unwrap();
        let oldest = self.tickets.iter().map(|t| t.granted_under).min().unwrap().min(oldest);
        let alive = self.versions.iter().filter(|(snapshot, _)| snapshot.version >= oldest);
        let cap = alive.filter_map(|(_, place)| *place).map(|(_, slots)| slots).max().unwrap_or(0);
        let total = self.tickets.len();
        assert!(total <= cap as usize, "{total} tickets for a server of {cap} slots");
    }

    /// Tells each host how far its version has got. It may learn late, when others have moved on.
    fn tell_reach(&mut self) {
        let first = self.hosts[0].target().version;
        if self.hosts.iter().all(|host| host.target().version == first) {
            self.everywhere.insert(first);
        }
        for host in &mut self.hosts {
            let version = host.target().version;
            if !self.everywhere.contains(&version) {
                continue;
            }
            let settled = self.tickets.iter().all(|ticket| ticket.granted_under >= version);
            host.reached(version, if settled { Reach::Settled } else { Reach::Held });
        }
    }
}

#[test]
fn tickets_of_old_and_new_limits_never_add_up() {
    let env = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let config = Config {
        cases: env("FOXTAIL_CASES").map_or(CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(env("FOXTAIL_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 10..80);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new();
        steps.iter().for_each(|step| world.run(step));
        world.tickets.clear();
        while world.hosts.iter().any(|host| host.target().version.0 < world.versions.len() as u64) {
            (0..HOSTS).for_each(|host| world.run(&Step::Spread(host, true)));
        }
        world.tell_reach();
        let newest = &world.versions.last().unwrap().0;
        assert!(world.hosts.iter().all(|host| host.in_force() == newest), "all limits are raised");
        Ok(())
    });
    run.unwrap();
}
