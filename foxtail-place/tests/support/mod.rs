//! The test runner that the tests of this crate share.

use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Returns a test runner with a fixed seed. `FOXTAIL_SEED` sets another seed, and `FOXTAIL_CASES`
/// another number of cases:
/// `FOXTAIL_SEED=7 FOXTAIL_CASES=100000 cargo test --release -p <crate>`.
pub(crate) fn test_runner(cases: u32) -> TestRunner {
    let read_var = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    TestRunner::new(Config {
        cases: read_var("FOXTAIL_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(read_var("FOXTAIL_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..Config::default()
    })
}
