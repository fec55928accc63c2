//! One routing decision at today's size and at the target size.

use std::hint::black_box;

use criterion::Criterion;
use foxtail_route::plan::{Headroom, Options, Report, State};
use foxtail_route::{PoolView, Query, plan};
use foxtail_types::prelude::*;

/// The sizes, by the number of regions.
const SIZES: [(&str, usize); 2] = [("today", 3), ("target", 20)];
const NOW: Millis = Millis(100_000);

fn regions(n: usize) -> Vec<RegionId> {
    (0..n).map(|at| RegionId::new(&format!("region-{at}")).expect("a valid name")).collect()
}

/// Home has no free slot, so that every other region is weighed.
fn pools(regions: &[RegionId]) -> Vec<PoolView<'_>> {
    let pool = |(at, region)| PoolView {
        region,
        state: State::Open,
        delay: Millis(35 * u64::from(at > 0)),
        report: Some(Report { at: NOW, free: at as u32 % 4, wait: Millis(200 - at as u64) }),
        link: Some(Headroom { at: NOW, left: 1_000_000 }),
        shift: Some(Headroom { at: NOW, left: 100 }),
    };
    regions.iter().enumerate().map(pool).collect()
}

fn bench_plan(c: &mut Criterion, name: &str, n: usize) {
    let names = regions(n);
    let pools = pools(&names);
    let mut seed = 0;
    c.bench_function(&format!("plan/{name}"), |b| {
        b.iter(|| {
            seed += 1;
            let query = Query {
                home: &names[0],
                class: Class::Interactive,
                now: NOW,
                deadline: NOW + Millis::secs(2),
                service_time: Millis(10),
                link_bytes: 1_000,
                seed,
                pools: &pools,
            };
            black_box(plan(black_box(&query), &Options::default())).first()
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let c = &mut criterion;
    for (name, regions) in SIZES {
        bench_plan(c, name, regions);
    }
    criterion.final_summary();
}
