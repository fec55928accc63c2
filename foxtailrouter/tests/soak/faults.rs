//! Faults, drawn from a seed, in series that overlap.

use std::time::{Duration, Instant};

use foxtail_standin::store::Fault;
use foxtail_standin::upstream::Behavior;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;

use crate::host::STOP_S;
use crate::proxy::Mode;
use crate::world::{Disturbed, World};

/// Faults of the first seeds, and of those from [`ALL_FROM`] on. The first ones keep what they drew
/// when they failed.
const FIRST_FAULTS: u32 = 12;
const ALL_FAULTS: u32 = 15;
const ALL_FROM: u64 = 100;

/// At most this many hosts are down or paused at a time.
const HOSTS_HIT_MOST: usize = 3;

/// A stop may take this much longer than the settings say.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// What is to be undone, and when.
enum Undo {
    Start(usize),
    Continue(usize),
    Stopped(usize),
    Door(usize),
    Proxy(usize),
    Behave(usize),
    Settings(usize),
    Evacuation(&'static str),
}

/// Injects faults for `span`, then undoes all of them.
pub(crate) async fn inject(world: &mut World, seed: u64, span: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let faults = if seed >= ALL_FROM { ALL_FAULTS } else { FIRST_FAULTS };
    let end = Instant::now() + span;
    let mut undos: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        fault(world, faults, &mut rng, &mut undos).await;
        let pause = Duration::from_millis(rng.random_range(50..600));
        tokio::time::sleep(pause).await;
        let (due, later) = undos.into_iter().partition(|(at, _)| *at <= Instant::now());
        undos = later;
        undo(world, due);
    }
    // Stops take their time; everything else ends now.
    while !undos.is_empty() {
        let now = Instant::now();
        let ready = |(at, undo): &(Instant, Undo)| *at <= now || !matches!(undo, Undo::Stopped(_));
        let (due, later) = undos.into_iter().partition(ready);
        undos = later;
        undo(world, due);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn fault(
    world: &mut World,
    faults: u32,
    rng: &mut SmallRng,
    undos: &mut Vec<(Instant, Undo)>,
) {
    let now = Instant::now();
    let lasts = Duration::from_millis(rng.random_range(200..3_000));
    let until = now + lasts;
    let host = rng.random_range(0..world.hosts.len());
    let at = rng.random_range(0..world.upstreams.len());
    let busy = |undo: &Undo| matches!(undo, Undo::Start(n) | Undo::Continue(n) | Undo::Stopped(n) if *n == host);
    let free = !undos.iter().any(|(_, undo)| busy(undo));
    let hit = undos
        .iter()
        .filter(|(_, undo)| matches!(undo, Undo::Start(_) | Undo::Continue(_) | Undo::Stopped(_)));
    let may_hit = free && hit.count() < HOSTS_HIT_MOST && world.hosts[host].runs();
    match rng.random_range(0..faults) {
        0 if may_hit => {
            world.hosts[host].kill();
            disturb(world, host, now, until);
            undos.push((until, Undo::Start(host)));
        }
        1 if may_hit => {
            world.hosts[host].signal(Signal::STOP);
            disturb(world, host, now, until);
            undos.push((until, Undo::Continue(host)));
        }
        2 | 3 if may_hit && world.hosts[host].handles_signals() => {
            world.hosts[host].signal(Signal::TERM);
            // A stop is planned work: it excuses nothing but the host's absence.
            world
                .disturbed
                .push(Disturbed { from: now, to: now + Duration::from_secs_f64(STOP_S) });
            let most = Duration::from_secs_f64(STOP_S) + STOP_SLACK;
            undos.push((now + most, Undo::Stopped(host)));
        }
        4 | 5 => {
            let faults = [
                Fault::Unavailable,
                Fault::Throttled,
                Fault::Silent,
                Fault::Reset,
                Fault::AnswerLost,
                Fault::Slow(Duration::from_millis(400)),
            ];
            world.doors[host].set_fault(*faults.choose(rng).expect("there are faults"));
            world.disturbed.push(Disturbed { from: now, to: until });
            undos.push((until, Undo::Door(host)));
        }
        6 => {
            let modes = [
                Mode::Delay(Duration::from_millis(150)),
                Mode::SilentTo,
                Mode::SilentFrom,
                Mode::Reset,
            ];
            world.upstreams[at].proxy.set(*modes.choose(rng).expect("there are modes"));
            undos.push((until, Undo::Proxy(at)));
        }
        7 => {
            let acts = [
                Behavior::RunAndClose,
                Behavior::TruncateBody,
                Behavior::WrongRequestId,
                Behavior::AnswerTwice,
                Behavior::Shed,
                Behavior::Fail(500),
                Behavior::Silent,
            ];
            world.upstreams[at]
                .service
                .set_behavior(acts.choose(rng).expect("there are acts").clone());
            undos.push((until, Undo::Behave(at)));
        }
        8 if world.upstreams[at].left.is_none() && !world.upstreams[at].crashed => {
            let (serves, zone) = (world.upstreams[at].serves, world.upstreams[at].zone);
            world.add_upstream(serves, zone).await;
            world.register(&world.upstreams[at], "draining");
            world.upstreams[at].left = Some(Instant::now());
        }
        9 if !world.upstreams[at].crashed => {
            let (serves, zone) = (world.upstreams[at].serves, world.upstreams[at].zone);
            world.add_upstream(serves, zone).await;
            let up = &mut world.upstreams[at];
            up.crashed = true;
            up.proxy.close().await;
            let id = up.service.id().to_owned();
            world.store.delete_row("servers", &id);
        }
        10 => {
            let service = if rng.random_bool(0.5) { "books" } else { "seats" };
            world.configure(service);
        }
        11 => world.store.clear_history(),
        // Calls are done late, when their callers may have given up.
        12 => {
            world.doors[host].set_fault(Fault::Held);
            world.disturbed.push(Disturbed { from: now, to: until });
            undos.push((until, Undo::Door(host)));
        }
        13 if world.hosts[host].handles_signals() => {
            world.hosts[host].spoil_settings();
            world.hosts[host].signal(Signal::HUP);
            undos.push((until, Undo::Settings(host)));
        }
        14 if world.evacuated.iter().all(|evacuation| evacuation.ended.is_some()) => {
            let zone = world.upstreams[at].zone;
            world.evacuate(zone);
            undos.push((until, Undo::Evacuation(zone)));
        }
        _ => {}
    }
}

fn disturb(world: &mut World, host: usize, from: Instant, to: Instant) {
    world.disturbed.push(Disturbed { from, to });
    world.hit.push((host, Disturbed { from, to }));
}

fn undo(world: &mut World, due: Vec<(Instant, Undo)>) {
    for (_, undo) in due {
        match undo {
            Undo::Start(host) => world.hosts[host].start(),
            Undo::Continue(host) => world.hosts[host].signal(Signal::CONT),
            Undo::Stopped(host) => {
                match world.hosts[host].ended() {
                    Some(Some(0)) => {}
                    Some(code) => world.breaches.push(format!("h-{host} ended with {code:?}")),
                    None => {
                        world.breaches.push(format!("h-{host} has not stopped in time"));
                        world.hosts[host].kill();
                    }
                }
                world.hosts[host].start();
            }
            Undo::Door(host) => world.doors[host].set_fault(Fault::None),
            Undo::Proxy(at) => world.upstreams[at].proxy.set(Mode::Pass),
            Undo::Behave(at) => world.upstreams[at].service.set_behavior(Behavior::Answer),
            Undo::Settings(host) => {
                world.hosts[host].mend_settings();
                if world.hosts[host].handles_signals() {
                    world.hosts[host].signal(Signal::HUP);
                }
            }
            Undo::Evacuation(zone) => world.end_evacuation(zone),
        }
    }
}
