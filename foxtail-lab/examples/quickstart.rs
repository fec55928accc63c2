//! Both users' workspaces at their real shape, on embedded stand-ins over loopback, in one process.
//!
//! Callers send real HTTP requests through look-ups; one zone is drained and one host is stopped
//! under load. Ends with 0 only if no invariant was broken. `FOXTAIL_SECS` sets how long the load
//! of each user runs, `FOXTAIL_LOAD_PERCENT` how much of the capacity it takes, and
//! `FOXTAIL_SEED` the seed.

#![allow(clippy::print_stdout)]

use std::process::ExitCode;

use anyhow::Result;
use foxtail_config::DrainTarget;
use foxtail_lab::fleet::Fleet;
use foxtail_lab::load;
use foxtail_lab::report::{Drained, Events, Report};
use foxtail_lab::shape::{Shape, fondo, tali_selamat};
use foxtail_types::prelude::*;

const DEFAULT_SECS: u64 = 15;
const DEFAULT_LOAD_PERCENT: u64 = 30;
const DEFAULT_SEED: u64 = 1;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let filter = tracing_subscriber::EnvFilter::try_from_env("FOXTAIL_LOG");
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("off"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let mut breaches = 0;
    for shape in [tali_selamat(), fondo()] {
        let report = one_user(shape).await?;
        println!("{report}");
        breaches += report.breaches();
    }
    println!("{breaches} invariant breaches");
    Ok(if breaches == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn one_user(shape: Shape) -> Result<Report> {
    let span = Millis::secs(setting("FOXTAIL_SECS", DEFAULT_SECS));
    let seed = setting("FOXTAIL_SEED", DEFAULT_SEED);
    let hosts = shape.hosts().len();
    println!("{}: starting 48 upstreams and {hosts} hosts", shape.workspace_id());
    let fleet = Fleet::start(shape, seed).await?;
    let load = setting("FOXTAIL_LOAD_PERCENT", DEFAULT_LOAD_PERCENT) as f64 / 100.0;
    let options = load::Options::new(load, span, seed);
    println!("load of {:.0}% of the capacity for {span}", options.load * 100.0);
    let (record, events) = tokio::join!(load::run(&fleet, options), events(&fleet, span));
    let report = Report::new(&fleet, record, &events?);
    fleet.stop().await;
    Ok(report)
}

/// Drains one zone a third into the load and stops a host in another one; both under load.
async fn events(fleet: &Fleet, span: Millis) -> Result<Events> {
    let third = Millis(span.0 / 3);
    tokio::time::sleep(third.duration()).await;
    let target = DrainTarget::Zone(fleet.shape().zone(1, 1).clone());
    let at = fleet.drain(&target).await?;
    let host = fleet.shape().hosts()[0].id.clone();
    let report = fleet.stop_host(&host).await?;
    Ok(Events { drains: vec![Drained { target, at }], stops: vec![(host, report)], span })
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
