//! Prints the results of all policies under the same load, simulated in virtual time.
//! `FOXTAIL_SEED` sets the seed.

#![allow(clippy::print_stdout, reason = "printing is what this program does")]

use foxtail_lab::model::{Policy, Setup, run};
use foxtail_lab::spec::{fondo, tali_selamat};

/// The loads as shares of the capacity with nothing cached, each with the amplitude of its waves as
/// a share of the mean.
const LOADS: [(f64, f64); 4] = [(0.8, 0.0), (1.35, 0.0), (1.35, 0.55), (2.0, 0.55)];

const DEFAULT_SEED: u64 = 7;

fn main() {
    let seed = std::env::var("FOXTAIL_SEED").ok().and_then(|text| text.parse().ok());
    for spec in [tali_selamat(), fondo()] {
        for (load, swing) in LOADS {
            let setup =
                Setup::new(spec.clone(), load, seed.unwrap_or(DEFAULT_SEED)).with_swing(swing);
            println!("{}, load {:.0}%, swing {swing}", spec.params.workspace, load * 100.0);
            for policy in Policy::ALL {
                println!("  {:12} {}", policy.as_str(), run(&setup, policy));
            }
        }
    }
}
