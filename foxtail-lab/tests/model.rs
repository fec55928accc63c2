//! The model: determinism and what its policies must hold.

use foxtail_lab::model::policy::owned::{Options, Remote};
use foxtail_lab::model::policy::{Ideal, Owned, StaticShares, TwoChoices};
use foxtail_lab::model::{Figures, Health, Micros, Workload, run};
use foxtail_lab::shape::{Shape, fondo};

const SEED: u64 = 5;
const SPAN: Micros = Micros(12_000_000);

fn shape() -> Shape {
    fondo().with_even_demand().with_shift_per_s(400)
}

fn owned(load: f64, health: Health, remote: Remote) -> Figures {
    let shape = shape();
    let workload = Workload::new(&shape, load, health, SPAN, SEED);
    let options = Options { remote, report_period: Some(Micros(100_000)) };
    run(&shape, &workload, |world| Owned::new(world, options))
}

#[test]
fn owners_never_exceed_slots_or_the_shift_cap() {
    for remote in [Remote::Ticket, Remote::Forward] {
        for (load, health) in [(0.8, Health::ZoneLost), (1.2, Health::Healthy)] {
            let figures = owned(load, health, remote);
            assert_eq!(figures.breaches, 0);
            assert!(figures.shift_peak_per_s <= 400, "{}", figures.shift_peak_per_s);
            assert!(figures.link_peak <= 1.0);
        }
    }
}

#[test]
fn a_run_depends_on_its_seed_alone() {
    let of = || owned(0.8, Health::Healthy, Remote::Forward);
    assert_eq!(format!("{:?}", of()), format!("{:?}", of()));
}

#[test]
fn the_baselines_behave_as_known() {
    let shape = shape();
    let workload = Workload::new(&shape, 0.8, Health::Healthy, SPAN, SEED);
    let fixed = run(&shape, &workload, StaticShares::new);
    let choices = run(&shape, &workload, |_| TwoChoices::new(SEED));
    let ideal = run(&shape, &workload, Ideal::new);
    assert_eq!((fixed.breaches, ideal.breaches), (0, 0));
    assert!(choices.breaches > 0, "lagging reports must mislead");
    assert!(ideal.p99_ms() < fixed.p99_ms());
}
