//! Measures what membership costs a host, by role and fleet size, in virtual time.
//!
//! `cargo run --release --example membership` prints, for each size, messages and encoded bytes a
//! second and processor time by role, and the memory of one host's table.
#![allow(clippy::print_stdout)]

use std::collections::BTreeMap;
use std::time::Instant;

use foxtail_member::relay;
use foxtail_standin::members::Fleet;
use foxtail_types::prelude::*;

/// Zones are counted in pairs, one pair a region.
const REGIONS: usize = 20;
/// Hosts of one zone, for each size.
const HOSTS_PER_ZONE: [usize; 3] = [3, 8, 16];
/// How long a fleet settles before it is measured.
const SETTLE: Millis = Millis::secs(30);
/// How long it is measured.
const MEASURE: Millis = Millis::secs(20);
/// What one message costs besides its encoded body, in bytes: frame, envelope and TCP/IP headers,
/// for the question and the answer together.
const ENVELOPE_BYTES: u64 = 250;

#[derive(Default)]
struct Role {
    hosts: u64,
    pulls: u64,
    bytes: u64,
}

fn main() {
    println!("hosts  role      hosts  pulls/s  bytes/s   cpu of one host  table of one host");
    for per_zone in HOSTS_PER_ZONE {
        measure(per_zone);
    }
}

fn measure(per_zone: usize) {
    let before = resident_bytes();
    let mut fleet = Fleet::new(REGIONS, per_zone);
    fleet.run(SETTLE);
    let table = resident_bytes().saturating_sub(before) / fleet.hosts.len() as u64;
    fleet.reset();
    let started = Instant::now();
    fleet.run(MEASURE);
    let cpu = started.elapsed().as_secs_f64() / MEASURE.as_secs_f64() / fleet.hosts.len() as f64;
    let mut roles: BTreeMap<&str, Role> = BTreeMap::new();
    for (host, traffic) in &fleet.traffic {
        let role = roles.entry(role(&fleet, host)).or_default();
        role.hosts += 1;
        role.pulls += traffic.sent + traffic.answered;
        role.bytes += traffic.bytes + (traffic.sent + traffic.answered) * ENVELOPE_BYTES;
    }
    for (name, role) in roles {
        let a_second = role.hosts as f64 * MEASURE.as_secs_f64();
        println!(
            "{:<6} {name:<9} {:<6} {:<8.1} {:<9.0} {:<16} {} KiB",
            fleet.hosts.len(),
            role.hosts,
            role.pulls as f64 / a_second,
            role.bytes as f64 / a_second,
            format!("{:.3} % of a core", cpu * 100.0),
            table / 1_024,
        );
    }
}

fn role(fleet: &Fleet, host: &HostId) -> &'static str {
    let view = fleet.view(host);
    let zone = &view.get(host).expect("a host knows itself").identity.zone;
    let hosts = view.live().filter(|member| member.identity.zone == *zone);
    let relays = relay::relays(zone, hosts.map(|member| &member.identity.id));
    match relays.iter().position(|relay| *relay == host) {
        Some(rank) if rank < relay::GATEWAYS => "gateway",
        Some(_) => "relay",
        None => "ordinary",
    }
}

/// The process's resident memory.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}
