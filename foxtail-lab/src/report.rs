//! Checks that count the broken promises of a run, and a report of them as text.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use foxtail_types::prelude::*;
use hdrhistogram::Histogram;

use crate::load::{Attempt, Outcome};
use crate::site::Site;

/// The time after a drain during which upstreams of the zone may still get requests.
const MAX_DRAIN_DURATION: Duration = Duration::from_millis(2_500);

/// The minimum share of requests that are answered while the load is below the capacity.
const MIN_ANSWERED_SHARE: f64 = 0.99;

/// The longest latency in the histograms, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The operations on the site during a run.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Each drained zone, and when the drain was acknowledged.
    pub drains: Vec<(ZoneId, Instant)>,
}

/// A promise to callers and the number of times that it was broken.
#[derive(Clone, Debug)]
pub struct Check {
    /// The promise, as text.
    pub name: &'static str,
    /// The number of times that it was broken.
    pub breaches: usize,
    /// The number of answered requests, or the request, attempt or upstream of the first breach.
    pub detail: String,
}

/// The checks and latencies of a run.
pub struct Report {
    title: String,
    checks: Vec<Check>,
    routes: BTreeMap<String, RouteStats>,
}

/// The counts and latencies of the requests of one route, by their last attempts.
struct RouteStats {
    requests: usize,
    in_time: usize,
    latency: Histogram<u64>,
}

impl Default for RouteStats {
    fn default() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are in range");
        Self { requests: 0, in_time: 0, latency }
    }
}

/// Where and when an attempt ran.
struct Run {
    received_at: Instant,
    zone: ZoneId,
    upstream: String,
}

impl Report {
    /// Checks the attempts of callers against the requests that the upstreams of `site` received.
    pub fn new(site: &Site, attempts: &[Attempt], events: &Events) -> Self {
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        for up in site.upstreams() {
            for request in
                up.server.received_requests().into_iter().filter(|request| request.has_run)
            {
                let id =
                    request.headers.get("foxtailrouter-request-id").cloned().unwrap_or_default();
                let Some(received_at) = request.received_at else { continue };
                let (zone, upstream) = (up.spec.zone.clone(), up.spec.id.clone());
                runs.entry(id).or_default().push(Run { received_at, zone, upstream });
            }
        }
        let mut routes: BTreeMap<String, RouteStats> = BTreeMap::new();
        let mut last_attempts: HashMap<&str, &Attempt> = HashMap::new();
        for attempt in attempts {
            last_attempts.insert(&attempt.request, attempt);
        }
        for last in last_attempts.values() {
            let route = routes.entry(last.route.clone()).or_default();
            route.requests += 1;
            if is_answered(last) {
                route.latency.saturating_record(last.latency.as_micros() as u64);
                route.in_time += usize::from(last.latency <= last.objective.duration());
            }
        }
        let checks = vec![
            check_answered(&last_attempts),
            check_own_answers(attempts),
            check_at_most_once(attempts, &runs),
            check_refused_not_run(attempts, &runs),
            check_none_lost(attempts),
            check_drained(&runs, &events.drains),
        ];
        Self { title: site.spec().params.workspace.to_string(), checks, routes }
    }

    /// Returns the number of breaches of all promises together.
    pub fn breaches(&self) -> usize {
        self.checks.iter().map(|check| check.breaches).sum()
    }
}

fn is_answered(attempt: &Attempt) -> bool {
    matches!(&attempt.outcome, Outcome::Answered(answer) if answer.status == 200)
}

fn check_answered(last_attempts: &HashMap<&str, &Attempt>) -> Check {
    let all = last_attempts.len();
    let answered = last_attempts.values().filter(|attempt| is_answered(attempt)).count();
    let share = answered as f64 / all.max(1) as f64;
    Check {
        name: "requests are answered",
        breaches: usize::from(share < MIN_ANSWERED_SHARE),
        detail: format!("{answered} of {all}"),
    }
}

fn check_own_answers(attempts: &[Attempt]) -> Check {
    let foreign = attempts.iter().filter(|attempt| match &attempt.outcome {
        Outcome::Answered(answer) if answer.status == 200 => {
            !answer.body.ends_with(&format!(" ran {}", attempt.id))
        }
        _ => false,
    });
    new_check(
        "every answer belongs to its request and is complete",
        foreign.map(|attempt| attempt.id.clone()),
    )
}

fn check_at_most_once(attempts: &[Attempt], runs: &HashMap<String, Vec<Run>>) -> Check {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for attempt in attempts.iter().filter(|attempt| !attempt.idempotent) {
        *counts.entry(&attempt.request).or_default() += runs.get(&attempt.id).map_or(0, Vec::len);
    }
    let twice = counts.into_iter().filter(|(_, n)| *n > 1);
    new_check("a non-idempotent request runs at most once", twice.map(|(name, _)| name.to_owned()))
}

fn check_refused_not_run(attempts: &[Attempt], runs: &HashMap<String, Vec<Run>>) -> Check {
    let ran = attempts.iter().filter(|attempt| match &attempt.outcome {
        Outcome::Answered(answer) => {
            answer.promises_not_run() && !attempt.idempotent && runs.contains_key(&attempt.id)
        }
        _ => false,
    });
    new_check("a request refused as not run has not run", ran.map(|attempt| attempt.id.clone()))
}

fn check_none_lost(attempts: &[Attempt]) -> Check {
    let lost = attempts.iter().filter(|attempt| attempt.outcome == Outcome::Lost);
    new_check("no request loses its answer", lost.map(|attempt| attempt.id.clone()))
}

fn check_drained(runs: &HashMap<String, Vec<Run>>, drains: &[(ZoneId, Instant)]) -> Check {
    let late = runs.values().flatten().filter(|run| {
        drains.iter().any(|(zone, drained_at)| {
            run.zone == *zone && run.received_at > *drained_at + MAX_DRAIN_DURATION
        })
    });
    new_check("a drained zone gets no more requests", late.map(|run| run.upstream.clone()))
}

fn new_check(name: &'static str, breaches: impl Iterator<Item = String>) -> Check {
    let found: Vec<String> = breaches.collect();
    Check { name, breaches: found.len(), detail: found.first().cloned().unwrap_or_default() }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        for (name, route) in &self.routes {
            let ms = |q: f64| route.latency.value_at_quantile(q) as f64 / 1_000.0;
            let RouteStats { requests, in_time, .. } = route;
            let share = 100.0 * *in_time as f64 / (*requests).max(1) as f64;
            writeln!(
                f,
                "  {name}: {requests} requests, {share:.1}% in time, p50 {:.0} ms, p99 {:.0} ms",
                ms(0.5),
                ms(0.99)
            )?;
        }
        for Check { name, breaches, detail } in &self.checks {
            let verdict = if *breaches == 0 { "ok" } else { "BROKEN" };
            writeln!(f, "  {verdict}  {name}  {detail}")?;
        }
        Ok(())
    }
}
