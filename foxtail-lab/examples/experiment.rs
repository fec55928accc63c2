//! Compares policies side by side under the same arrivals, in virtual time.
//!
//! `FOXTAIL_SEED` sets the seed and `FOXTAIL_SECS` the virtual seconds of each run.

#![allow(clippy::print_stdout)]

use std::thread;

use foxtail_lab::model::policy::owned::{self, Remote};
use foxtail_lab::model::policy::{Ideal, Owned, StaticShares, TwoChoices};
use foxtail_lab::model::{Figures, Health, Micros, Workload, run};
use foxtail_lab::shape::{Shape, fondo, tali_selamat};

const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
/// A shift cap that lets a region pass on what the loss of one of its zones leaves over.
const SHIFT_PER_S: u64 = 400;
/// The targets: 99th percentiles at 80% load, and the goodput at 120%.
const P99_OF_STATIC_MAX: f64 = 0.5;
const P99_OF_IDEAL_MAX: f64 = 1.3;
const GOODPUT_MIN: f64 = 0.95;
const DEFAULT_SEED: u64 = 7;
const DEFAULT_SECS: u64 = 60;

/// The chosen policy as hosts run it today: a request leaves its region only if that serves none.
const OWNERS: owned::Options = owned::Options { remote: Remote::Ticket, report_period: None };
/// With overflow to other regions by reports of their load, and tickets of their owners.
const TICKETS: owned::Options = owned::Options { report_period: Some(Micros(100_000)), ..OWNERS };
/// With overflow through a host of the other region.
const FORWARD: owned::Options = owned::Options { remote: Remote::Forward, ..TICKETS };
const VARIANTS: [(&str, owned::Options); 3] =
    [("owners", OWNERS), ("own+tickets", TICKETS), ("own+forward", FORWARD)];

/// One line of the table.
struct Line {
    policy: &'static str,
    figures: Figures,
}

/// All policies under one workload.
struct Case {
    workspace: String,
    health: Health,
    load: f64,
    lines: Vec<Line>,
}

impl Case {
    fn figures(&self, policy: &str) -> &Figures {
        let line = self.lines.iter().find(|line| line.policy == policy);
        &line.expect("every policy runs in every case").figures
    }
}

fn main() {
    let seed = setting("FOXTAIL_SEED", DEFAULT_SEED);
    let secs = setting("FOXTAIL_SECS", DEFAULT_SECS);
    println!("seed {seed}, {secs} virtual seconds a run, of which the first sixth is not counted");
    println!("load: share of the whole capacity if healthy, of what is left if a zone is lost");
    let cases = all_cases(seed, secs);
    for case in &cases {
        print_case(case);
    }
    println!();
    for (policy, _) in VARIANTS {
        print_targets(policy, &cases);
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn all_cases(seed: u64, secs: u64) -> Vec<Case> {
    let mut handles = Vec::new();
    for shape in [tali_selamat(), fondo()] {
        let shape = shape.with_even_demand().with_shift_per_s(SHIFT_PER_S);
        for health in [Health::Healthy, Health::ZoneLost] {
            let shape = shape.clone();
            handles.push(thread::spawn(move || {
                LOADS.map(|load| one_case(&shape, load, health, seed, secs))
            }));
        }
    }
    let join = |handle: thread::JoinHandle<_>| handle.join().expect("a run does not panic");
    handles.into_iter().flat_map(join).collect()
}

fn one_case(shape: &Shape, load: f64, health: Health, seed: u64, secs: u64) -> Case {
    let workload = Workload::new(shape, load, health, Micros(secs * 1_000_000), seed);
    let mut lines = vec![
        Line { policy: "static", figures: run(shape, &workload, StaticShares::new) },
        Line { policy: "two-choices", figures: run(shape, &workload, |_| TwoChoices::new(seed)) },
        Line { policy: "ideal", figures: run(shape, &workload, Ideal::new) },
    ];
    for (name, options) in VARIANTS {
        let figures = run(shape, &workload, |world| Owned::new(world, options));
        lines.push(Line { policy: name, figures });
    }
    Case { workspace: shape.workspace_id().to_string(), health, load, lines }
}

/// Judges one policy by the targets, case by case.
fn print_targets(policy: &str, cases: &[Case]) {
    println!("targets of {policy}");
    let breaches: u64 = cases.iter().map(|case| case.figures(policy).breaches).sum();
    print_target("no breach in any case", breaches as f64, 0.0, breaches == 0);
    for case in cases {
        let chosen = case.figures(policy);
        if case.load == LOADS[1] {
            let of = |name: &str| chosen.p99_ms() / case.figures(name).p99_ms();
            let (fixed, ideal) = (of("static"), of("ideal"));
            let at = format!("{}, {:?}, 80%", case.workspace, case.health);
            let name = format!("{at}: p99 against static shares");
            print_target(&name, fixed, P99_OF_STATIC_MAX, fixed <= P99_OF_STATIC_MAX);
            let name = format!("{at}: p99 against the ideal queue");
            print_target(&name, ideal, P99_OF_IDEAL_MAX, ideal <= P99_OF_IDEAL_MAX);
        }
        if case.load == LOADS[3] {
            let name = format!("{}, {:?}, 120%: goodput", case.workspace, case.health);
            print_target(&name, chosen.goodput, GOODPUT_MIN, chosen.goodput >= GOODPUT_MIN);
        }
    }
}

fn print_target(name: &str, figure: f64, bound: f64, met: bool) {
    let verdict = if met { "met   " } else { "MISSED" };
    println!("  {verdict} {name}: {figure:.3}, bound {bound}");
}

fn print_case(case: &Case) {
    println!();
    println!("{}, {:?}, load {:.0}%", case.workspace, case.health, case.load * 100.0);
    println!(
        "{:>12} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7} {:>9}",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "answered",
        "archive",
        "goodput",
        "(min)",
        "slots",
        "link",
        "shift/s",
        "breaches"
    );
    for line in &case.lines {
        let f = &line.figures;
        let [p50, p99, p999] = f.interactive_ms;
        let archive = f.archive_answered.map_or("-".to_owned(), percent);
        println!(
            "{:>12} {p50:>8.1} {p99:>8.1} {p999:>8.1} {:>9} {archive:>8} {:>8} {:>8} {:>7} {:>6} \
             {:>7} {:>9}",
            line.policy,
            percent(f.answered),
            percent(f.goodput),
            percent(f.goodput_min),
            percent(f.slots_used),
            percent(f.link_peak),
            f.shift_peak_per_s,
            f.breaches
        );
    }
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
