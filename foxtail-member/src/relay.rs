//! Which hosts are relays, by rendezvous hashing: every host works it out alike.

use foxtail_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many hosts share one relay.
pub const HOSTS_PER_RELAY: usize = 16;
/// The fewest relays of a zone, so that losing one leaves another.
pub const RELAYS_MIN: usize = 2;
/// How many relays of a zone pull from other zones and regions.
pub const GATEWAYS: usize = 2;
/// How many relays a host takes turns with.
pub const TURNS: usize = 2;

/// The relays among the `hosts` of `zone`, the highest-ranked first.
pub fn relays<'a>(zone: &ZoneId, hosts: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let mut ranked = ranked(zone.as_str(), hosts);
    let count = ranked.len().div_ceil(HOSTS_PER_RELAY).max(RELAYS_MIN);
    ranked.truncate(count);
    ranked
}

/// The relays of `relays` that `host` takes turns with.
pub fn turns<'a>(host: &HostId, relays: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let mut ranked = ranked(host.as_str(), relays);
    ranked.truncate(TURNS);
    ranked
}

/// The `hosts` in an order that depends on `salt` alone, so that each salt has its own first host
/// and losing a host moves only what it came first for.
pub fn ranked<'a>(salt: &str, hosts: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let seed = xxh3_64_with_seed(salt.as_bytes(), 0);
    let mut ranked: Vec<_> = hosts.collect();
    ranked.sort_by_key(|id| (xxh3_64_with_seed(id.as_str().as_bytes(), seed), (*id).clone()));
    ranked
}
