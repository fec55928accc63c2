//! What control costs a host: bytes a second and processor share at 6, 18 and 60 hosts.
//!
//! All hosts run in one process over loopback, without requests, and with the idle stand-ins beside
//! them, whose processor time is counted too. `FOXTAIL_SECS` sets how long each size is measured.

#![allow(clippy::print_stdout)]

use anyhow::{Context, Result};
use foxtail_lab::fleet::Fleet;
use foxtail_lab::shape::{Shape, tali_selamat};
use foxtail_types::prelude::*;
use tokio::time::Instant;

const HOSTS_PER_ZONE: [usize; 3] = [1, 3, 10];
const SETTLE: Millis = Millis::secs(5);
const DEFAULT_SECS: u64 = 10;
const SEED: u64 = 1;
/// Clock ticks a second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// The fields of `/proc/self/stat` after the process's name that hold its processor time.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// The figures of one size, each for one host.
struct Line {
    hosts: f64,
    peer_bytes_per_s: f64,
    store_bytes_per_s: f64,
    core_percent: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let secs = std::env::var("FOXTAIL_SECS").ok().and_then(|text| text.parse().ok());
    let span = Millis::secs(secs.unwrap_or(DEFAULT_SECS));
    let mut lines = Vec::new();
    println!("{:>6} {:>14} {:>15} {:>8}", "hosts", "peers B/s", "platform B/s", "core %");
    for hosts_per_zone in HOSTS_PER_ZONE {
        let line = measure(Shape { hosts_per_zone, ..tali_selamat() }, span).await?;
        println!(
            "{:>6} {:>14.0} {:>15.0} {:>8.3}",
            line.hosts, line.peer_bytes_per_s, line.store_bytes_per_s, line.core_percent
        );
        lines.push(line);
    }
    print_fit("peers B/s", &lines, |line| line.peer_bytes_per_s);
    print_fit("platform B/s", &lines, |line| line.store_bytes_per_s);
    print_fit("core %", &lines, |line| line.core_percent);
    Ok(())
}

async fn measure(shape: Shape, span: Millis) -> Result<Line> {
    let hosts = shape.hosts().len() as f64;
    let fleet = Fleet::start(shape, SEED).await?;
    tokio::time::sleep(SETTLE.duration()).await;
    let (peers, store) = fleet.control_bytes();
    let busy = busy_s()?;
    let began = Instant::now();
    tokio::time::sleep(span.duration()).await;
    let (peers_after, store_after) = fleet.control_bytes();
    let took = began.elapsed().as_secs_f64() * hosts;
    let line = Line {
        hosts,
        peer_bytes_per_s: (peers_after - peers) as f64 / took,
        store_bytes_per_s: (store_after - store) as f64 / took,
        core_percent: (busy_s()? - busy) / took * 100.0,
    };
    fleet.stop().await;
    Ok(line)
}

/// The processor time of this process so far, in seconds.
fn busy_s() -> Result<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let (_, after) = stat.rsplit_once(')').context("the process's name ends with a bracket")?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = TIME_FIELDS.iter().map(|at| fields[*at].parse::<f64>());
    Ok(ticks.sum::<Result<f64, _>>()? / TICKS_PER_S)
}

/// Prints the straight line of least squares through the figures of all sizes.
fn print_fit(name: &str, lines: &[Line], figure: impl Fn(&Line) -> f64) {
    let n = lines.len() as f64;
    let mean_x = lines.iter().map(|line| line.hosts).sum::<f64>() / n;
    let mean_y = lines.iter().map(&figure).sum::<f64>() / n;
    let xy: f64 = lines.iter().map(|l| (l.hosts - mean_x) * (figure(l) - mean_y)).sum();
    let xx: f64 = lines.iter().map(|l| (l.hosts - mean_x).powi(2)).sum();
    let slope = xy / xx;
    println!("{name} of one host: {:.3} + {slope:.4} x hosts", mean_y - slope * mean_x);
}
