//! What a run is judged by: checks that count breaches, and a short readable report.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use foxtail_types::prelude::*;
use hdrhistogram::Histogram;

use crate::load::{Ended, Sent};
use crate::site::Site;

/// How long an upstream in a drained zone may still get new work.
const DRAIN_MOST: Duration = Duration::from_millis(2_500);

/// The share of the requests that must be answered while the load is below the capacity.
const ANSWERED_LEAST: f64 = 0.99;

/// The longest latency that is told apart, in microseconds.
const LATENCY_MOST: u64 = 60_000_000;

/// What happened during a run, besides the load.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Zones that were drained, and when that was acknowledged.
    pub drains: Vec<(ZoneId, Instant)>,
}

/// One promise and how often it was broken.
#[derive(Clone, Debug)]
pub struct Check {
    /// What must hold.
    pub name: &'static str,
    /// How often it did not.
    pub breaches: usize,
    /// The figures, or the first breach.
    pub detail: String,
}

/// What a run came to.
pub struct Report {
    title: String,
    checks: Vec<Check>,
    routes: BTreeMap<String, Latencies>,
}

struct Latencies {
    requests: usize,
    in_time: usize,
    took: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let took = Histogram::new_with_max(LATENCY_MOST, 3).expect("the bounds are in range");
        Self { requests: 0, in_time: 0, took }
    }
}

/// Where a sending ran, and when.
struct Run {
    at: Instant,
    zone: ZoneId,
    upstream: String,
}

impl Report {
    /// Judges what callers and the upstreams of `site` saw.
    pub fn new(site: &Site, sent: &[Sent], events: &Events) -> Self {
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        for up in site.upstreams() {
            for seen in up.service.seen().into_iter().filter(|seen| seen.run) {
                let id = seen.headers.get("foxtailrouter-request-id").cloned().unwrap_or_default();
                let Some(at) = seen.at else { continue };
                let (zone, upstream) = (up.shape.zone.clone(), up.shape.id.clone());
                runs.entry(id).or_default().push(Run { at, zone, upstream });
            }
        }
        let mut routes: BTreeMap<String, Latencies> = BTreeMap::new();
        let mut requests: HashMap<&str, &Sent> = HashMap::new();
        for one in sent {
            requests.insert(&one.request, one);
        }
        for last in requests.values() {
            let route = routes.entry(last.route.clone()).or_default();
            route.requests += 1;
            if is_answered(last) {
                route.took.saturating_record(last.took.as_micros() as u64);
                route.in_time += usize::from(last.took <= last.objective.duration());
            }
        }
        let checks = vec![
            answered(&requests),
            own_answers(sent),
            at_most_once(sent, &runs),
            not_run(sent, &runs),
            nothing_lost(sent),
            drained(&runs, &events.drains),
        ];
        Self { title: site.shape().params.workspace.to_string(), checks, routes }
    }

    /// How many promises were broken, all times counted.
    pub fn breaches(&self) -> usize {
        self.checks.iter().map(|check| check.breaches).sum()
    }
}

fn is_answered(one: &Sent) -> bool {
    matches!(&one.ended, Ended::Got(got) if got.status == 200)
}

fn answered(requests: &HashMap<&str, &Sent>) -> Check {
    let all = requests.len();
    let answered = requests.values().filter(|one| is_answered(one)).count();
    let share = answered as f64 / all.max(1) as f64;
    Check {
        name: "requests are answered",
        breaches: usize::from(share < ANSWERED_LEAST),
        detail: format!("{answered} of {all}"),
    }
}

fn own_answers(sent: &[Sent]) -> Check {
    let foreign = sent.iter().filter(|one| match &one.ended {
        Ended::Got(got) if got.status == 200 => !got.body.ends_with(&format!(" ran {}", one.id)),
        _ => false,
    });
    check("every answer is the request's own, and whole", foreign.map(|one| one.id.clone()))
}

fn at_most_once(sent: &[Sent], runs: &HashMap<String, Vec<Run>>) -> Check {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for one in sent.iter().filter(|one| !one.idempotent) {
        *counts.entry(&one.request).or_default() += runs.get(&one.id).map_or(0, Vec::len);
    }
    let twice = counts.into_iter().filter(|(_, n)| *n > 1);
    check("what must not be repeated runs at most once", twice.map(|(name, _)| name.to_owned()))
}

fn not_run(sent: &[Sent], runs: &HashMap<String, Vec<Run>>) -> Check {
    let ran = sent.iter().filter(|one| match &one.ended {
        Ended::Got(got) => got.promises_not_run() && !one.idempotent && runs.contains_key(&one.id),
        _ => false,
    });
    check("what is refused as not run has not run", ran.map(|one| one.id.clone()))
}

fn nothing_lost(sent: &[Sent]) -> Check {
    let lost = sent.iter().filter(|one| one.ended == Ended::Lost);
    check("no request is cut off", lost.map(|one| one.id.clone()))
}

fn drained(runs: &HashMap<String, Vec<Run>>, drains: &[(ZoneId, Instant)]) -> Check {
    let late = runs.values().flatten().filter(|run| {
        drains.iter().any(|(zone, at)| run.zone == *zone && run.at > *at + DRAIN_MOST)
    });
    check("a drained zone gets nothing more", late.map(|run| run.upstream.clone()))
}

fn check(name: &'static str, breaches: impl Iterator<Item = String>) -> Check {
    let found: Vec<String> = breaches.collect();
    Check { name, breaches: found.len(), detail: found.first().cloned().unwrap_or_default() }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        for (name, route) in &self.routes {
            let ms = |q: f64| route.took.value_at_quantile(q) as f64 / 1_000.0;
            let Latencies { requests, in_time, .. } = route;
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
