//! What a run is judged by: checks that count breaches, and a short readable report.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use foxtail_config::DrainTarget;
use foxtail_node::stop;
use foxtail_standin::upstream::{Run, Stats};
use foxtail_types::prelude::*;

use crate::fleet::Fleet;
use crate::load::Record;

/// How long an upstream that is drained may still get new work.
const DRAIN_GRACE: Millis = Millis::secs(3);
/// The share of the requests that must be answered while the load is below the capacity.
const ANSWERED_MIN: f64 = 0.99;

/// One invariant and how often it was broken.
#[derive(Clone, Debug)]
pub struct Check {
    /// What must hold.
    pub name: &'static str,
    /// How often it did not.
    pub breaches: u64,
    /// The figures, or the first breaches.
    pub detail: String,
}

/// A drain that was carried out during the run.
#[derive(Clone, Debug)]
pub struct Drained {
    /// What was drained.
    pub target: DrainTarget,
    /// When the drain was accepted, by the boot clock.
    pub at: Millis,
}

/// What happened during a run, besides the load.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// The drains.
    pub drains: Vec<Drained>,
    /// The graceful stops.
    pub stops: Vec<(HostId, stop::Report)>,
    /// How long the load ran.
    pub span: Millis,
}

/// The report of one run.
pub struct Report {
    title: String,
    record: Record,
    links: Vec<Line>,
    regions: Vec<Line>,
    notes: Vec<String>,
    /// The checks.
    pub checks: Vec<Check>,
}

/// A name and its figures.
struct Line {
    name: String,
    text: String,
}

impl Report {
    /// Judges a run of `fleet`.
    pub fn new(fleet: &Fleet, record: Record, events: &Events) -> Self {
        let runs = fleet.audit().runs();
        let stats = fleet.upstreams().stats();
        let checks = vec![
            own_answers(&record),
            enough_answered(&record),
            keys_once(fleet, &record),
            not_run_did_not(&record, &runs),
            slots(&stats),
            links_within_rate(fleet),
            shift_within_cap(fleet),
            drained_get_nothing(fleet, &runs, events),
            stops_cut_nothing_off(events),
        ];
        Self {
            title: fleet.shape().workspace_id().to_string(),
            links: link_lines(fleet),
            regions: region_lines(fleet, events.span),
            notes: notes(fleet, &runs, events, &record),
            record,
            checks,
        }
    }

    /// All breaches of all checks.
    pub fn breaches(&self) -> u64 {
        self.checks.iter().map(|check| check.breaches).sum()
    }

    /// How the requests ended.
    pub fn record(&self) -> &Record {
        &self.record
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "== {}: {} requests", self.title, self.record.total())?;
        writeln!(f, "{:<14} {:>8} {:>8} {:>8}  outcomes", "service", "p50 ms", "p99", "p99.9")?;
        for (name, service) in &self.record.services {
            let quantile = |q| service.latency.value_at_quantile(q) as f64 / 1_000.0;
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(quantile);
            let endings: Vec<_> =
                service.endings.iter().map(|(name, n)| format!("{name} {n}")).collect();
            let endings = endings.join(", ");
            writeln!(f, "{name:<14} {p50:>8.1} {p99:>8.1} {p999:>8.1}  {endings}")?;
        }
        for (title, lines) in [("links", &self.links), ("regions", &self.regions)] {
            writeln!(f, "{title}")?;
            for line in lines {
                writeln!(f, "  {:<22} {}", line.name, line.text)?;
            }
        }
        for note in &self.notes {
            writeln!(f, "{note}")?;
        }
        writeln!(f, "invariants")?;
        for check in &self.checks {
            let verdict = if check.breaches == 0 { "ok  " } else { "FAIL" };
            let Check { name, breaches, detail } = check;
            writeln!(f, "  {verdict} {name}: {breaches} breaches ({detail})")?;
        }
        Ok(())
    }
}

fn own_answers(record: &Record) -> Check {
    let detail = match record.broken.first() {
        Some(first) => format!("first: {first}"),
        None => format!("{} answers checked", record.count("answered")),
    };
    let name = "every caller gets its own whole answer or a stated outcome";
    Check { name, breaches: record.broken.len() as u64, detail }
}

fn enough_answered(record: &Record) -> Check {
    let share = record.count("answered") as f64 / record.total().max(1) as f64;
    let breaches = u64::from(share < ANSWERED_MIN);
    let detail = format!("{:.2}% answered", share * 100.0);
    Check { name: "at least 99% are answered below the capacity", breaches, detail }
}

fn keys_once(fleet: &Fleet, record: &Record) -> Check {
    let repeated = fleet.audit().repeated_keys();
    let detail = match repeated.first() {
        Some((key, n)) => format!("key {key} ran {n} times"),
        None => format!("{} keys answered", record.answered_keys.len()),
    };
    Check { name: "a key runs at most once", breaches: repeated.len() as u64, detail }
}

fn not_run_did_not(record: &Record, runs: &[Run]) -> Check {
    let ran: HashSet<&str> = runs.iter().map(|run| run.call.as_str()).collect();
    let broken: Vec<_> = record.not_run.iter().filter(|call| ran.contains(call.as_str())).collect();
    let detail = match broken.first() {
        Some(first) => format!("first: {first}"),
        None => format!("{} requests told \"not run\"", record.not_run.len()),
    };
    Check { name: "\"not run\" means that it did not", breaches: broken.len() as u64, detail }
}

fn slots(stats: &HashMap<UpstreamId, Stats>) -> Check {
    let breaches = stats.values().map(|stats| stats.over_slots).sum();
    let inside_max = stats.values().map(|stats| stats.inside_max).max().unwrap_or(0);
    let detail = format!("at most {inside_max} requests inside one upstream");
    Check { name: "no upstream gets more than its slots", breaches, detail }
}

fn links_within_rate(fleet: &Fleet) -> Check {
    let mut breaches = 0;
    let mut worst: f64 = 0.0;
    for link in &fleet.shape().network.links {
        let traffic = fleet.fabric().traffic(&link.id.from, &link.id.to);
        let rate = f64::from(link.mbit_per_s) * 1e6 / 8.0;
        breaches +=
            traffic.bytes_by_second.iter().filter(|bytes| **bytes as f64 > rate).count() as u64;
        worst = worst.max(traffic.peak_bytes_per_s() as f64 / rate);
    }
    let detail = format!("busiest second {:.1}% of its rate", worst * 100.0);
    Check { name: "no link gets more than its rate in any second", breaches, detail }
}

fn shift_within_cap(fleet: &Fleet) -> Check {
    let cap = fleet.shift_per_s();
    let peaks = fleet.audit().shifted_peak_per_s();
    let breaches = peaks.values().map(|peak| peak.saturating_sub(cap) as u64).sum();
    let peak = peaks.values().max().copied().unwrap_or(0);
    let detail = format!("at most {peak} in any second, cap {cap}");
    Check { name: "no region shifts more than the cap", breaches, detail }
}

fn drained_get_nothing(fleet: &Fleet, runs: &[Run], events: &Events) -> Check {
    let late = |drain: &Drained| {
        let began = drain.at + DRAIN_GRACE;
        runs_at(fleet, runs, &drain.target).filter(|run| run.began > began).count() as u64
    };
    let breaches = events.drains.iter().map(late).sum();
    let detail = format!("{} drains", events.drains.len());
    Check { name: "a drained upstream gets no new work after 3 s", breaches, detail }
}

fn stops_cut_nothing_off(events: &Events) -> Check {
    let breaches = events.stops.iter().map(|(_, report)| u64::from(report.cut_off)).sum();
    let detail = format!("{} graceful stops", events.stops.len());
    Check { name: "a planned stop cuts nothing off", breaches, detail }
}

fn runs_at<'a>(
    fleet: &'a Fleet,
    runs: &'a [Run],
    target: &'a DrainTarget,
) -> impl Iterator<Item = &'a Run> {
    let placed = fleet.upstreams().all().iter();
    let drained: HashSet<&UpstreamId> = placed
        .filter(|placed| match target {
            DrainTarget::Zone(zone) => placed.zone == *zone,
            DrainTarget::Region(region) => placed.server.options().region == *region,
            DrainTarget::Upstream(id) => placed.server.options().id == *id,
            DrainTarget::Host(_) => false,
        })
        .map(|placed| &placed.server.options().id)
        .collect();
    runs.iter().filter(move |run| drained.contains(&run.upstream))
}

fn link_lines(fleet: &Fleet) -> Vec<Line> {
    let mut lines = Vec::new();
    for link in &fleet.shape().network.links {
        let traffic = fleet.fabric().traffic(&link.id.from, &link.id.to);
        let peak_mbit = traffic.peak_bytes_per_s() as f64 * 8.0 / 1e6;
        let free = 100.0 * (1.0 - peak_mbit / f64::from(link.mbit_per_s));
        let text = format!(
            "busiest second {peak_mbit:.1} of {} Mbit/s, headroom {free:.1}%, longest wait {}",
            link.mbit_per_s, traffic.waited_max
        );
        lines.push(Line { name: link.id.to_string(), text });
    }
    lines
}

fn region_lines(fleet: &Fleet, span: Millis) -> Vec<Line> {
    let mut busy: BTreeMap<RegionId, (Millis, u64)> = BTreeMap::new();
    for placed in fleet.upstreams().all() {
        let options = placed.server.options();
        let (time, slots) = busy.entry(options.region.clone()).or_default();
        *time = *time + placed.server.stats().busy;
        *slots += u64::from(options.slots);
    }
    let line = |(region, (time, slots)): (RegionId, (Millis, u64))| {
        let used = time.as_secs_f64() / (span.as_secs_f64() * slots as f64);
        let free = 100.0 * (1.0 - used);
        Line { name: region.to_string(), text: format!("{slots} slots, headroom {free:.1}%") }
    };
    busy.into_iter().map(line).collect()
}

fn notes(fleet: &Fleet, runs: &[Run], events: &Events, record: &Record) -> Vec<String> {
    let mut notes = vec![format!("sent again by callers: {}", record.sent_again)];
    for drain in &events.drains {
        let last = runs_at(fleet, runs, &drain.target).map(|run| run.began).max();
        let took = last.unwrap_or_default().since(drain.at);
        notes.push(format!("drain of {:?}: last new work after {took}", drain.target));
    }
    for (host, report) in &events.stops {
        notes.push(format!("stop of {host}: took {}", report.took));
    }
    notes
}
