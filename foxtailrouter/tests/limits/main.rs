//! Host processes keep together to the limit that an upstream names, while they are paused, killed
//! and stopped, and use the upstream as before once it names none.

#![allow(clippy::print_stdout, reason = "the test reports what it measures")]

#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/caller.rs"]
mod caller;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/host.rs"]
mod host;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/links.rs"]
mod links;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/proxy.rs"]
mod proxy;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/site.rs"]
mod site;

use std::time::{Duration, Instant};

use rustix::process::Signal;
use site::TestSite;

const LIMIT_PER_S: f64 = 2.0;
/// The window in which a platform counts the requests of a limited upstream.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the arrivals at an upstream between two times, in order.
fn arrivals(site: &TestSite, upstream: usize, from: Instant, to: Instant) -> Vec<Instant> {
    let received = site.upstreams[upstream].server.received_requests();
    let times = received.iter().filter_map(|request| request.received_at);
    times.filter(|at| (from..to).contains(at)).collect()
}

fn busiest_window(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        times.iter().filter(|at| *at >= from && at.duration_since(*from) < WINDOW).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_of_an_upstream_holds_over_processes_that_are_paused_killed_and_stopped() {
    let mut site = TestSite::start(1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let limited = 0;
    let before =
        arrivals(&site, limited, Instant::now() - Duration::from_secs(2), Instant::now()).len();
    site.upstreams[limited].server.set_named_limit(Some(LIMIT_PER_S));
    // Every host gets an answer with the limit within a second.
    let named_at = Instant::now() + Duration::from_secs(1);
    for step in 0..4 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (paused, killed, stopped) = (step % 6, (step + 2) % 6, (step + 4) % 6);
        site.hosts[paused].signal(Signal::STOP);
        site.hosts[killed].kill();
        site.hosts[stopped].signal(Signal::TERM);
        tokio::time::sleep(Duration::from_secs(4)).await;
        site.hosts[paused].signal(Signal::CONT);
        site.hosts[killed].start();
        site.hosts[stopped].kill();
        site.hosts[stopped].start();
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    let limit_ended_at = Instant::now();
    site.upstreams[limited].server.set_named_limit(None);
    tokio::time::sleep(Duration::from_secs(12)).await;

    let times = arrivals(&site, limited, named_at, limit_ended_at);
    let allowed = 1.5 * WINDOW.as_secs_f64() * LIMIT_PER_S + 5.0;
    let busiest = busiest_window(&times);
    println!("{} requests under the limit, {busiest} in the busiest window", times.len());
    assert!(busiest as f64 <= allowed, "{busiest} requests in 4 s, allowed are {allowed}");
    let calm = Duration::from_secs(6);
    let in_calm = arrivals(&site, limited, limit_ended_at - calm, limit_ended_at).len() as f64;
    assert!(
        in_calm >= 0.3 * LIMIT_PER_S * calm.as_secs_f64(),
        "the upstream got only {in_calm} requests in the {calm:?} before the limit ended"
    );
    let after = arrivals(
        &site,
        limited,
        limit_ended_at + Duration::from_secs(10),
        limit_ended_at + Duration::from_secs(12),
    )
    .len();
    assert!(after * 3 >= before, "{after} requests after the limit, {before} before it");
    let violations: Vec<String> = std::mem::take(&mut site.violations);
    assert!(violations.is_empty(), "{violations:?}");
    site.stop_callers.cancel();
    for caller in std::mem::take(&mut site.callers) {
        caller.await.expect("the caller task finishes");
    }
}
