//! Injects faults that a seed determines; several may be active at the same time.

use std::time::{Duration, Instant};

use foxtail_standin::store::Fault;
use foxtail_standin::upstream::Behavior;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;

use crate::deployment::{Deployment, Disturbance};
use crate::host::STOP_S;
use crate::proxy::Mode;

/// The number of kinds of faults for seeds below [`FIRST_SEED_WITH_ALL_KINDS`]. It stays as it is,
/// so that seeds that failed once still lead to the same faults.
const EARLY_SEED_FAULT_KINDS: u32 = 12;
/// The number of kinds of faults for all other seeds.
const FAULT_KINDS: u32 = 15;
const FIRST_SEED_WITH_ALL_KINDS: u64 = 100;

/// The maximum number of hosts that are down or paused at the same time.
const MAX_INTERRUPTED_HOSTS: usize = 3;

/// How much longer than the time in the settings a graceful shutdown may take.
const STOP_TOLERANCE: Duration = Duration::from_secs(1);

/// How an injected fault is undone. Numbers are indices of hosts or upstreams.
enum Undo {
    StartHost(usize),
    ResumeHost(usize),
    /// Checks that the host has shut down gracefully, and starts it again.
    FinishStop(usize),
    ClearStoreFault(usize),
    ResetProxy(usize),
    ResetBehavior(usize),
    RestoreSettings(usize),
    EndEvacuation(&'static str),
}

/// Injects faults for `span`, then undoes all faults.
pub(crate) async fn inject(deployment: &mut Deployment, seed: u64, span: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let fault_kinds =
        if seed >= FIRST_SEED_WITH_ALL_KINDS { FAULT_KINDS } else { EARLY_SEED_FAULT_KINDS };
    let end = Instant::now() + span;
    let mut pending: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        inject_one(deployment, fault_kinds, &mut rng, &mut pending).await;
        let pause = Duration::from_millis(rng.random_range(50..600));
        tokio::time::sleep(pause).await;
        let (due, later) = pending.into_iter().partition(|(due_at, _)| *due_at <= Instant::now());
        pending = later;
        undo(deployment, due);
    }
    // Graceful shutdowns get their full time; all other faults are undone at once.
    while !pending.is_empty() {
        let now = Instant::now();
        let is_due = |(due_at, undo): &(Instant, Undo)| {
            *due_at <= now || !matches!(undo, Undo::FinishStop(_))
        };
        let (due, later) = pending.into_iter().partition(is_due);
        pending = later;
        undo(deployment, due);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn inject_one(
    deployment: &mut Deployment,
    fault_kinds: u32,
    rng: &mut SmallRng,
    pending: &mut Vec<(Instant, Undo)>,
) {
    let now = Instant::now();
    let duration = Duration::from_millis(rng.random_range(200..3_000));
    let ends_at = now + duration;
    let host = rng.random_range(0..deployment.hosts.len());
    let upstream = rng.random_range(0..deployment.upstreams.len());
    let restores_host = |undo: &Undo| matches!(undo, Undo::StartHost(n) | Undo::ResumeHost(n) | Undo::FinishStop(n) if *n == host);
    let host_is_free = !pending.iter().any(|(_, undo)| restores_host(undo));
    let interrupted = pending.iter().filter(|(_, undo)| {
        matches!(undo, Undo::StartHost(_) | Undo::ResumeHost(_) | Undo::FinishStop(_))
    });
    let may_interrupt = host_is_free
        && interrupted.count() < MAX_INTERRUPTED_HOSTS
        && deployment.hosts[host].is_running();
    match rng.random_range(0..fault_kinds) {
        0 if may_interrupt => {
            deployment.hosts[host].kill();
            record_interruption(deployment, host, now, ends_at);
            pending.push((ends_at, Undo::StartHost(host)));
        }
        1 if may_interrupt => {
            deployment.hosts[host].signal(Signal::STOP);
            record_interruption(deployment, host, now, ends_at);
            pending.push((ends_at, Undo::ResumeHost(host)));
        }
        2 | 3 if may_interrupt && deployment.hosts[host].handles_signals() => {
            deployment.hosts[host].signal(Signal::TERM);
            // A graceful shutdown is planned work: it suspends the guarantees with a time limit,
            // but no request may be cut off, so it is not recorded as an interruption.
            deployment
                .disturbances
                .push(Disturbance { from: now, to: now + Duration::from_secs_f64(STOP_S) });
            let stop_limit = Duration::from_secs_f64(STOP_S) + STOP_TOLERANCE;
            pending.push((now + stop_limit, Undo::FinishStop(host)));
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
            deployment.store_endpoints[host]
                .set_fault(*faults.choose(rng).expect("at least one fault"));
            deployment.disturbances.push(Disturbance { from: now, to: ends_at });
            pending.push((ends_at, Undo::ClearStoreFault(host)));
        }
        6 => {
            let modes = [
                Mode::Delay(Duration::from_millis(150)),
                Mode::HoldToUpstream,
                Mode::HoldFromUpstream,
                Mode::Reset,
            ];
            deployment.upstreams[upstream]
                .proxy
                .set(*modes.choose(rng).expect("at least one mode"));
            pending.push((ends_at, Undo::ResetProxy(upstream)));
        }
        7 => {
            let behaviors = [
                Behavior::RunAndClose,
                Behavior::TruncateBody,
                Behavior::WrongRequestId,
                Behavior::AnswerTwice,
                Behavior::Shed,
                Behavior::Fail(500),
                Behavior::Silent,
            ];
            deployment.upstreams[upstream]
                .server
                .set_behavior(behaviors.choose(rng).expect("at least one behavior").clone());
            pending.push((ends_at, Undo::ResetBehavior(upstream)));
        }
        8 if deployment.upstreams[upstream].draining_since.is_none()
            && !deployment.upstreams[upstream].crashed =>
        {
            let (service_name, zone) =
                (deployment.upstreams[upstream].service_name, deployment.upstreams[upstream].zone);
            deployment.add_upstream(service_name, zone).await;
            deployment.register(&deployment.upstreams[upstream], "draining");
            deployment.upstreams[upstream].draining_since = Some(Instant::now());
        }
        9 if !deployment.upstreams[upstream].crashed => {
            let (service_name, zone) =
                (deployment.upstreams[upstream].service_name, deployment.upstreams[upstream].zone);
            deployment.add_upstream(service_name, zone).await;
            let up = &mut deployment.upstreams[upstream];
            up.crashed = true;
            up.proxy.close().await;
            let id = up.server.id().to_owned();
            deployment.store.delete_row("servers", &id);
        }
        10 => {
            let service = if rng.random_bool(0.5) { "books" } else { "seats" };
            deployment.configure(service);
        }
        11 => deployment.store.clear_history(),
        // The store applies calls late, when the hosts may have given them up.
        12 => {
            deployment.store_endpoints[host].set_fault(Fault::Held);
            deployment.disturbances.push(Disturbance { from: now, to: ends_at });
            pending.push((ends_at, Undo::ClearStoreFault(host)));
        }
        13 if deployment.hosts[host].handles_signals() => {
            deployment.hosts[host].corrupt_settings();
            deployment.hosts[host].signal(Signal::HUP);
            pending.push((ends_at, Undo::RestoreSettings(host)));
        }
        14 if deployment.evacuations.iter().all(|evacuation| evacuation.ended_at.is_some()) => {
            let zone = deployment.upstreams[upstream].zone;
            deployment.evacuate(zone);
            pending.push((ends_at, Undo::EndEvacuation(zone)));
        }
        _ => {}
    }
}

fn record_interruption(deployment: &mut Deployment, host: usize, from: Instant, to: Instant) {
    deployment.disturbances.push(Disturbance { from, to });
    deployment.interruptions.push((host, Disturbance { from, to }));
}

fn undo(deployment: &mut Deployment, due: Vec<(Instant, Undo)>) {
    for (_, undo) in due {
        match undo {
            Undo::StartHost(host) => deployment.hosts[host].start(),
            Undo::ResumeHost(host) => deployment.hosts[host].signal(Signal::CONT),
            Undo::FinishStop(host) => {
                match deployment.hosts[host].take_exit_code() {
                    Some(Some(0)) => {}
                    Some(code) => deployment.violations.push(format!(
                        "h-{host} was told to stop and exited with code {code:?}, not 0"
                    )),
                    None => {
                        deployment
                            .violations
                            .push(format!("h-{host} did not stop within its time limit"));
                        deployment.hosts[host].kill();
                    }
                }
                deployment.hosts[host].start();
            }
            Undo::ClearStoreFault(host) => deployment.store_endpoints[host].set_fault(Fault::None),
            Undo::ResetProxy(upstream) => deployment.upstreams[upstream].proxy.set(Mode::Pass),
            Undo::ResetBehavior(upstream) => {
                deployment.upstreams[upstream].server.set_behavior(Behavior::Answer)
            }
            Undo::RestoreSettings(host) => {
                deployment.hosts[host].restore_settings();
                if deployment.hosts[host].handles_signals() {
                    deployment.hosts[host].signal(Signal::HUP);
                }
            }
            Undo::EndEvacuation(zone) => deployment.end_evacuation(zone),
        }
    }
}
