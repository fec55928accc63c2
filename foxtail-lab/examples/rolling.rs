//! Replaces every host of a fleet, one after another, under load.
//!
//! `cargo run --release --example rolling` prints how long each stop took, the requests by outcome,
//! and the checks; it ends with 0 only if no check was broken. `FOXTAIL_LOAD_PERCENT` sets the load.

#![allow(clippy::print_stdout)]

use std::process::ExitCode;
use std::time::Instant;

use anyhow::Result;
use foxtail_lab::fleet::Fleet;
use foxtail_lab::load;
use foxtail_lab::report::{Events, Report};
use foxtail_lab::shape::{Shape, fondo};
use foxtail_types::prelude::*;

const HOSTS_PER_ZONE: usize = 1;
const DEFAULT_LOAD_PERCENT: f64 = 20.0;
const ONCE_SHARE: f64 = 0.05;
const SEED: u64 = 1;
/// How long the load runs: a stop takes 7 s, and a start about two.
const SPAN: Millis = Millis::secs(65);

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let shape = Shape { hosts_per_zone: HOSTS_PER_ZONE, ..fondo() };
    let percent = std::env::var("FOXTAIL_LOAD_PERCENT").ok().and_then(|text| text.parse().ok());
    let load = percent.unwrap_or(DEFAULT_LOAD_PERCENT) / 100.0;
    let fleet = Fleet::start(shape, SEED).await?;
    let options = load::Options { load, span: SPAN, once_share: ONCE_SHARE, seed: SEED };
    let (record, stops) = tokio::join!(load::run(&fleet, options), replace_all(&fleet));
    let events = Events { stops: stops?, span: SPAN, ..Events::default() };
    let report = Report::new(&fleet, record, &events);
    println!("{report}");
    let breaches = report.breaches();
    fleet.stop().await;
    Ok(if breaches == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn replace_all(fleet: &Fleet) -> Result<Vec<(HostId, foxtail_node::stop::Report)>> {
    let mut stops = Vec::new();
    for host in fleet.shape().hosts() {
        let started = Instant::now();
        let report = fleet.replace_host(&host.id).await?;
        println!("{} replaced in {:.1} s", host.id, started.elapsed().as_secs_f64());
        stops.push((host.id, report));
    }
    Ok(stops)
}
