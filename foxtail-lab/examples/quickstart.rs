//! Runs the sites of both customers' workspaces, with all their hosts and upstreams, in one process
//! over loopback, one after the other.
//!
//! Callers look up hosts and send HTTP requests; one zone is drained and one host is stopped under
//! load. The exit status is 0 only if no promise was broken. `FOXTAIL_SECS` sets the duration of
//! the load of each site in seconds, `FOXTAIL_LOAD_PERCENT` the share of the capacity in percent,
//! and `FOXTAIL_SEED` the seed.

#![allow(clippy::print_stdout, reason = "printing is what this program does")]

use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use foxtail_lab::load::{self, Options};
use foxtail_lab::report::{Events, Report};
use foxtail_lab::site::Site;
use foxtail_lab::spec::{SiteSpec, fondo, tali_selamat};

const DEFAULT_LOAD_SECS: u64 = 15;
const DEFAULT_LOAD_PERCENT: u64 = 30;
const DEFAULT_SEED: u64 = 1;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let filter = tracing_subscriber::EnvFilter::try_from_env("FOXTAIL_LOG");
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("off"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let mut breaches = 0;
    for spec in [tali_selamat(), fondo()] {
        let report = run_workspace(spec).await?;
        println!("{report}");
        breaches += report.breaches();
    }
    println!("{breaches} broken promises");
    Ok(if breaches == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run_workspace(spec: SiteSpec) -> Result<Report> {
    let duration = Duration::from_secs(env_or("FOXTAIL_SECS", DEFAULT_LOAD_SECS));
    let load = env_or("FOXTAIL_LOAD_PERCENT", DEFAULT_LOAD_PERCENT) as f64 / 100.0;
    println!("{}: starting 48 upstreams and 18 hosts", spec.params.workspace);
    let site = Site::start(spec).await?;
    println!("load of {:.0}% of the capacity for {duration:?}", load * 100.0);
    let options = Options { load, duration, seed: env_or("FOXTAIL_SEED", DEFAULT_SEED) };
    let (attempts, events) =
        tokio::join!(load::run(&site, options), inject_events(&site, duration));
    let report = Report::new(&site, &attempts, &events?);
    site.stop().await;
    Ok(report)
}

/// Drains one zone after a third of `duration` and then stops a host in another zone.
async fn inject_events(site: &Site, duration: Duration) -> Result<Events> {
    tokio::time::sleep(duration / 3).await;
    let zone = site.spec().zones.keys().next_back().context("the site has no zones")?.clone();
    site.drain(&zone, true).await?;
    let drained_at = Instant::now();
    let first = site.spec().zones.keys().next().context("the site has no zones")?;
    let host: foxtail_types::HostId = format!("{first}-1").parse()?;
    site.stop_host(&host).await?;
    Ok(Events { drains: vec![(zone, drained_at)] })
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
