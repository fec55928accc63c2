//! How long an accepted change takes until every host holds it, with 18 hosts over loopback and the
//! delays of the real network, with and without an outage of the platform right after acceptance.
//!
//! `FOXTAIL_ROUNDS` sets how many changes are made of each kind. Ends with 0 only if every change
//! was in force everywhere within 5 s.

#![allow(clippy::print_stdout)]

use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use foxtail_config::stage::Reach;
use foxtail_lab::fleet::{Fleet, OPERATOR_TOKEN};
use foxtail_lab::shape::tali_selamat;
use foxtail_standin::platform::Down;
use foxtail_sync::admin::Input;
use foxtail_types::prelude::*;
use foxtail_wire::operator::OperatorClient;
use jsonrpsee::http_client::{HeaderMap, HttpClient, HttpClientBuilder};

const DEFAULT_ROUNDS: usize = 20;
const BOUND: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(5);
const REST: Duration = Duration::from_secs(1);

/// The time that each host took to hold a version, and to use its raised limits.
struct Round {
    held: Vec<Duration>,
    raised: Duration,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let rounds = std::env::var("FOXTAIL_ROUNDS").ok().and_then(|text| text.parse().ok());
    let rounds = rounds.unwrap_or(DEFAULT_ROUNDS);
    let fleet = Fleet::start(tali_selamat(), 1).await?;
    let mut worst = Duration::ZERO;
    for outage in [false, true] {
        let mut all = Vec::new();
        for i in 0..rounds {
            all.push(round(&fleet, i, outage).await?);
        }
        worst = worst.max(print(outage, &all));
    }
    fleet.stop().await;
    println!("bound: {} ms", BOUND.as_millis());
    Ok(if worst <= BOUND { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// One change, accepted at one host and followed on all.
async fn round(fleet: &Fleet, i: usize, outage: bool) -> Result<Round> {
    let operators = fleet.operators();
    let client = client(&format!("http://{}", operators[i % operators.len()]))?;
    let mut input = show(fleet, &client).await?;
    let now = input.params.shift_per_s.context("the shape sets a shift cap")?;
    input.params.shift_per_s = Some(if now % 2 == 0 { now + 1 } else { now - 1 });
    let accepted = client.workspace_apply(input, String::new()).await?;
    let started = Instant::now();
    if outage {
        fleet.platform().fault(|faults| faults.down = Some(Down::Refuse));
    }
    let round = follow(fleet, accepted.version, started).await;
    fleet.platform().fault(|faults| faults.down = None);
    tokio::time::sleep(REST).await;
    Ok(round)
}

/// The input in force; a host leaves the store alone for a while after an outage.
async fn show(fleet: &Fleet, client: &HttpClient) -> Result<Input> {
    let deadline = Instant::now() + REST * 60;
    loop {
        match client.workspace_show(fleet.shape().workspace_id().clone()).await {
            Ok(input) => return Ok(input),
            Err(e) if Instant::now() > deadline => return Err(e.into()),
            Err(_) => tokio::time::sleep(REST / 4).await,
        }
    }
}

async fn follow(fleet: &Fleet, version: Version, started: Instant) -> Round {
    let mut held: Vec<Option<Duration>> = vec![None; fleet.config().len()];
    loop {
        let config = fleet.config();
        let elapsed = started.elapsed();
        for (at, _) in held.iter_mut().zip(&config).filter(|(_, (theirs, _))| *theirs >= version) {
            at.get_or_insert(elapsed);
        }
        let raised =
            config.iter().all(|(theirs, reach)| *theirs >= version && *reach > Reach::Seen);
        if raised || elapsed > BOUND * 4 {
            let held = held.into_iter().map(|at| at.unwrap_or(elapsed)).collect();
            return Round { held, raised: elapsed };
        }
        tokio::time::sleep(POLL).await;
    }
}

fn client(url: &str) -> Result<HttpClient> {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", format!("Bearer {OPERATOR_TOKEN}").parse()?);
    Ok(HttpClientBuilder::default().set_headers(headers).build(url)?)
}

/// Prints the figures of one kind; the longest time of any host.
fn print(outage: bool, rounds: &[Round]) -> Duration {
    let mut held: Vec<Duration> = rounds.iter().flat_map(|round| round.held.clone()).collect();
    held.sort();
    let mut raised: Vec<Duration> = rounds.iter().map(|round| round.raised).collect();
    raised.sort();
    let kind = if outage { "outage right after acceptance" } else { "no outage" };
    let max = held.last().copied().unwrap_or_default();
    println!(
        "{kind}: {} changes on {} hosts; held p50 {} ms, max {} ms; raised limits in use everywhere \
         p50 {} ms, max {} ms",
        rounds.len(),
        rounds.first().map_or(0, |round| round.held.len()),
        held[held.len() / 2].as_millis(),
        max.as_millis(),
        raised[raised.len() / 2].as_millis(),
        raised.last().map_or(0, Duration::as_millis),
    );
    max
}
