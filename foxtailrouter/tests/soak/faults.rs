//! Injects faults that a seed determines; several may be active at the same time.

use std::time::{Duration, Instant};

use foxtail_standin::store::Fault;
use foxtail_standin::upstream::Behavior;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;

use crate::caller::{FIRST_SEED_WITH_LONG_BODIES, LONG_ANSWER_BYTES};
use crate::host::STOP_S;
use crate::links::Cut;
use crate::proxy::Mode;
use crate::site::{Disturbance, HOST_ZONES, TestSite};

/// The number of kinds of faults for seeds below [`FIRST_LATER_SEED`]. It stays as it is,
/// so that seeds that failed once still lead to the same faults.
const EARLY_SEED_FAULT_KINDS: u32 = 12;
/// The number of kinds of faults for seeds below [`FIRST_SEED_WITH_CUTS`].
const LATER_SEED_FAULT_KINDS: u32 = 15;
const FIRST_LATER_SEED: u64 = 100;
/// The number of kinds of faults for seeds below [`FIRST_SEED_WITH_NOTICES`].
const CUT_SEED_FAULT_KINDS: u32 = 17;
const FIRST_SEED_WITH_CUTS: u64 = 1_000;
/// The number of kinds of faults for seeds below [`FIRST_SEED_WITH_LONG_BODIES`].
const NOTICE_SEED_FAULT_KINDS: u32 = 21;
/// The number of kinds of faults for all other seeds.
const FAULT_KINDS: u32 = 23;
const FIRST_SEED_WITH_NOTICES: u64 = 2_000;

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
    EndCut(Vec<usize>),
    EndPause(usize),
}

/// Injects faults for `span`, then undoes all faults.
pub(crate) async fn inject(site: &mut TestSite, seed: u64, span: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let fault_kinds = match seed {
        ..FIRST_LATER_SEED => EARLY_SEED_FAULT_KINDS,
        FIRST_LATER_SEED..FIRST_SEED_WITH_CUTS => LATER_SEED_FAULT_KINDS,
        FIRST_SEED_WITH_CUTS..FIRST_SEED_WITH_NOTICES => CUT_SEED_FAULT_KINDS,
        FIRST_SEED_WITH_NOTICES..FIRST_SEED_WITH_LONG_BODIES => NOTICE_SEED_FAULT_KINDS,
        _ => FAULT_KINDS,
    };
    let end = Instant::now() + span;
    let mut pending: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        inject_one(site, fault_kinds, &mut rng, &mut pending).await;
        let pause = Duration::from_millis(rng.random_range(50..600));
        tokio::time::sleep(pause).await;
        let (due, later) = pending.into_iter().partition(|(due_at, _)| *due_at <= Instant::now());
        pending = later;
        undo(site, due);
    }
    // Graceful shutdowns get their full time; all other faults are undone at once.
    while !pending.is_empty() {
        let now = Instant::now();
        let is_due = |(due_at, undo): &(Instant, Undo)| {
            *due_at <= now || !matches!(undo, Undo::FinishStop(_))
        };
        let (due, later) = pending.into_iter().partition(is_due);
        pending = later;
        undo(site, due);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn inject_one(
    site: &mut TestSite,
    fault_kinds: u32,
    rng: &mut SmallRng,
    pending: &mut Vec<(Instant, Undo)>,
) {
    let now = Instant::now();
    let duration = Duration::from_millis(rng.random_range(200..3_000));
    let ends_at = now + duration;
    let host = rng.random_range(0..site.hosts.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let restores_host = |undo: &Undo| matches!(undo, Undo::StartHost(n) | Undo::ResumeHost(n) | Undo::FinishStop(n) if *n == host);
    let host_is_free = !pending.iter().any(|(_, undo)| restores_host(undo));
    let interrupted = pending.iter().filter(|(_, undo)| {
        matches!(undo, Undo::StartHost(_) | Undo::ResumeHost(_) | Undo::FinishStop(_))
    });
    let may_interrupt = host_is_free
        && interrupted.count() < MAX_INTERRUPTED_HOSTS
        && site.hosts[host].is_running();
    match rng.random_range(0..fault_kinds) {
        0 if may_interrupt => {
            site.hosts[host].kill();
            record_interruption(site, host, now, ends_at);
            pending.push((ends_at, Undo::StartHost(host)));
        }
        1 if may_interrupt => {
            site.hosts[host].signal(Signal::STOP);
            record_interruption(site, host, now, ends_at);
            pending.push((ends_at, Undo::ResumeHost(host)));
        }
        2 | 3 if may_interrupt && site.hosts[host].handles_signals() => {
            site.hosts[host].signal(Signal::TERM);
            // A graceful shutdown is planned work: it suspends the guarantees with a time limit,
            // but no request may be cut off, so it is not recorded as an interruption.
            site.disturbances
                .push(Disturbance { from: now, to: now + Duration::from_secs_f64(STOP_S) });
            let stop_limit = Duration::from_secs_f64(STOP_S) + STOP_TOLERANCE;
            site.stops.push((host, Disturbance { from: now, to: now + stop_limit }));
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
            site.store_endpoints[host].set_fault(*faults.choose(rng).expect("at least one fault"));
            site.disturbances.push(Disturbance { from: now, to: ends_at });
            pending.push((ends_at, Undo::ClearStoreFault(host)));
        }
        6 => {
            let modes = [
                Mode::Delay(Duration::from_millis(150)),
                Mode::HoldToUpstream,
                Mode::HoldFromUpstream,
                Mode::Reset,
            ];
            site.upstreams[upstream].proxy.set(*modes.choose(rng).expect("at least one mode"));
            let disturbance = Disturbance { from: now, to: ends_at };
            site.upstreams[upstream].disturbances.push(disturbance);
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
            site.upstreams[upstream]
                .server
                .set_behavior(behaviors.choose(rng).expect("at least one behavior").clone());
            pending.push((ends_at, Undo::ResetBehavior(upstream)));
        }
        8 if site.upstreams[upstream].draining_since.is_none()
            && !site.upstreams[upstream].crashed =>
        {
            let (service_name, zone) =
                (site.upstreams[upstream].service_name, site.upstreams[upstream].zone);
            site.add_upstream(service_name, zone).await;
            site.register(&site.upstreams[upstream], "draining");
            site.upstreams[upstream].draining_since = Some(Instant::now());
            site.upstreams[upstream].server.set_leaving(fault_kinds >= NOTICE_SEED_FAULT_KINDS);
        }
        9 if !site.upstreams[upstream].crashed => {
            let (service_name, zone) =
                (site.upstreams[upstream].service_name, site.upstreams[upstream].zone);
            site.add_upstream(service_name, zone).await;
            let up = &mut site.upstreams[upstream];
            up.crashed = true;
            up.proxy.close().await;
            let id = up.server.id().to_owned();
            site.store.delete_row("servers", &id);
        }
        10 => {
            let service = if rng.random_bool(0.5) { "books" } else { "seats" };
            site.configure(service);
        }
        11 => site.store.clear_history(),
        // The store applies calls late, when the hosts may have given them up.
        12 => {
            site.store_endpoints[host].set_fault(Fault::Held);
            site.disturbances.push(Disturbance { from: now, to: ends_at });
            pending.push((ends_at, Undo::ClearStoreFault(host)));
        }
        13 if site.hosts[host].handles_signals() => {
            site.hosts[host].corrupt_settings();
            site.hosts[host].signal(Signal::HUP);
            pending.push((ends_at, Undo::RestoreSettings(host)));
        }
        14 if site.evacuations.iter().all(|evacuation| evacuation.ended_at.is_some()) => {
            let zone = site.upstreams[upstream].zone;
            site.evacuate(zone);
            pending.push((ends_at, Undo::EndEvacuation(zone)));
        }
        15 | 16 if !pending.iter().any(|(_, undo)| matches!(undo, Undo::EndCut(_))) => {
            let cuts = [Cut::Hang, Cut::Reset, Cut::RefuseNew];
            let zone = HOST_ZONES[host];
            let extent = rng.random_range(0..3);
            let affected: Vec<usize> = (0..site.hosts.len())
                .filter(|other| match extent {
                    0 => *other == host,
                    1 => HOST_ZONES[*other] == zone,
                    _ => *other != host,
                })
                .collect();
            site.cut_off(&affected, *cuts.choose(rng).expect("at least one cut"));
            let lasts = Duration::from_millis(rng.random_range(2_000..9_000));
            pending.push((now + lasts, Undo::EndCut(affected)));
        }
        // An upstream that leaves and does not change its registration.
        17 if !site.upstreams[upstream].crashed => {
            let (service_name, zone) =
                (site.upstreams[upstream].service_name, site.upstreams[upstream].zone);
            site.add_upstream(service_name, zone).await;
            site.upstreams[upstream].server.set_leaving(true);
        }
        18..=20 => {
            let pause = Duration::from_millis(rng.random_range(700..3_500));
            let several = rng.random_bool(0.3);
            let service_name = site.upstreams[upstream].service_name;
            if several {
                site.service_pauses.push(Disturbance { from: now, to: ends_at + pause });
            }
            for (n, up) in site.upstreams.iter().enumerate() {
                if n == upstream || (several && up.service_name == service_name) {
                    up.server.set_requested_pause(Some(pause));
                    pending.push((ends_at, Undo::EndPause(n)));
                }
            }
        }
        21 => {
            let len = rng.random_range(LONG_ANSWER_BYTES..3_000_000);
            site.upstreams[upstream].server.set_behavior(Behavior::AnswerOf(len));
            pending.push((ends_at, Undo::ResetBehavior(upstream)));
        }
        22 => {
            let (start, filler) = *ENDLESS_ANSWERS.choose(rng).expect("at least one answer");
            let (start, filler) = (start.to_owned(), filler.to_owned());
            let up = &site.upstreams[upstream].server;
            up.set_behavior(Behavior::Endless { start, filler });
            pending.push((ends_at, Undo::ResetBehavior(upstream)));
        }
        _ => {}
    }
}

/// Answers that never end: how they start, and what is repeated.
const ENDLESS_ANSWERS: [(&str, &[u8]); 3] = [
    ("HTTP/1.1 200 OK\r\nx-filler: ", b"more"),
    ("", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\n\r\n", b"more"),
];

fn record_interruption(site: &mut TestSite, host: usize, from: Instant, to: Instant) {
    site.disturbances.push(Disturbance { from, to });
    site.interruptions.push((host, Disturbance { from, to }));
}

fn undo(site: &mut TestSite, due: Vec<(Instant, Undo)>) {
    for (_, undo) in due {
        match undo {
            Undo::StartHost(host) => site.hosts[host].start(),
            Undo::ResumeHost(host) => site.hosts[host].signal(Signal::CONT),
            Undo::FinishStop(host) => {
                match site.hosts[host].take_exit_code() {
                    Some(Some(0)) => {}
                    Some(code) => site.violations.push(format!(
                        "h-{host} was told to stop and exited with code {code:?}, not 0"
                    )),
                    None => {
                        site.violations
                            .push(format!("h-{host} did not stop within its time limit"));
                        site.hosts[host].kill();
                    }
                }
                site.hosts[host].start();
            }
            Undo::ClearStoreFault(host) => site.store_endpoints[host].set_fault(Fault::None),
            Undo::ResetProxy(upstream) => site.upstreams[upstream].proxy.set(Mode::Pass),
            Undo::ResetBehavior(upstream) => {
                site.upstreams[upstream].server.set_behavior(Behavior::Answer)
            }
            Undo::RestoreSettings(host) => {
                site.hosts[host].restore_settings();
                if site.hosts[host].handles_signals() {
                    site.hosts[host].signal(Signal::HUP);
                }
            }
            Undo::EndEvacuation(zone) => site.end_evacuation(zone),
            Undo::EndCut(hosts) => site.end_cut(&hosts),
            Undo::EndPause(upstream) => site.upstreams[upstream].server.set_requested_pause(None),
        }
    }
}
