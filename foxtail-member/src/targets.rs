//! Whom a host pulls from in a period.

use std::collections::BTreeSet;

use foxtail_types::prelude::*;

use crate::members::Members;
use crate::msg::Scope;
use crate::record::Record;
use crate::relay;

/// Zones with more hosts than this pull every other period.
const LARGE_ZONE_HOSTS: usize = 2 * relay::HOSTS_PER_RELAY;
/// Other regions are asked once in so many periods, at the least and at the most; in between, once
/// in as many periods as there are regions.
const REGIONS_EVERY: (u64, u64) = (2, 16);

impl Members {
    /// Once in how many periods a gateway asks each other region.
    pub(crate) fn regions_every(&self) -> u64 {
        (self.book.regions().len() as u64).clamp(REGIONS_EVERY.0, REGIONS_EVERY.1)
    }

    pub(crate) fn targets(&self, now: Millis) -> Vec<(HostId, Scope)> {
        let relays = self.relays(&self.me.zone, now);
        let own_turn = self.is_own_turn();
        match relays.iter().position(|id| *id == self.me.id) {
            None if own_turn => {
                self.first_of(&relays).map(|id| (id, Scope::World)).into_iter().collect()
            }
            None => Vec::new(),
            Some(rank) => {
                let others = relays.iter().filter(|id| own_turn && **id != self.me.id);
                let mut targets: Vec<_> = others.map(|id| (id.clone(), Scope::World)).collect();
                if rank < relay::GATEWAYS {
                    self.other_zones(now, &mut targets);
                    self.other_regions(rank as u64, now, &mut targets);
                }
                targets
            }
        }
    }

    /// The relays of `zone`, as far as they can be reached; all of them if none can.
    pub(crate) fn relays(&self, zone: &ZoneId, now: Millis) -> Vec<HostId> {
        let id = |record: &'_ Record| record.entry.identity.id.clone();
        let reachable = |record: &&Record| {
            let avoid = self.avoid.get(&record.entry.identity.id);
            record.takes_part() && avoid.is_none_or(|until| *until <= now)
        };
        let mut candidates: Vec<_> = self.book.in_zone(zone).filter(reachable).map(id).collect();
        if candidates.iter().all(|id| *id == self.me.id) {
            candidates = self.book.in_zone(zone).map(id).collect();
        }
        relay::relays(zone, candidates.iter()).into_iter().cloned().collect()
    }

    /// In a large zone, half of the hosts pull in each period.
    fn is_own_turn(&self) -> bool {
        let large = self.book.in_zone(&self.me.zone).count() > LARGE_ZONE_HOSTS;
        !large || self.period.is_multiple_of(2)
    }

    /// The relay that this host has to pull from.
    fn first_of(&self, relays: &[HostId]) -> Option<HostId> {
        relay::turns(&self.me.id, relays.iter()).first().map(|id| (*id).clone())
    }

    /// One relay of each other zone of the region.
    fn other_zones(&self, now: Millis, targets: &mut Vec<(HostId, Scope)>) {
        let zones = self.book.regions().get(&self.me.region).into_iter().flatten();
        let others = zones.filter(|zone| **zone != self.me.zone);
        let relays = others.filter_map(|zone| self.turn_of(zone, now));
        targets.extend(relays.map(|id| (id, Scope::Zone)));
    }

    /// A relay of some other regions; over `regions_every` periods, of each of them. The gateways of
    /// a zone go through the regions half a round apart.
    fn other_regions(&self, rank: u64, now: Millis, targets: &mut Vec<(HostId, Scope)>) {
        let every = self.regions_every();
        let shift = rank * every / relay::GATEWAYS as u64;
        for (at, (region, zones)) in self.book.regions().iter().enumerate() {
            let due = (self.period + shift + at as u64).is_multiple_of(every);
            if *region != self.me.region && due {
                targets.extend(self.relay_in(zones, now).map(|id| (id, Scope::Region)));
            }
        }
    }

    /// A relay of one of `zones`, another one each time.
    fn relay_in(&self, zones: &BTreeSet<ZoneId>, now: Millis) -> Option<HostId> {
        let round = self.period / self.regions_every();
        let zone = zones.iter().nth(round as usize % zones.len().max(1))?;
        self.turn_of(zone, now)
    }

    /// The relay of `zone` whose turn it is.
    fn turn_of(&self, zone: &ZoneId, now: Millis) -> Option<HostId> {
        let relays = self.relays(zone, now);
        let turns = relay::turns(&self.me.id, relays.iter());
        turns.get(self.period as usize % turns.len().max(1)).map(|id| (*id).clone())
    }
}
