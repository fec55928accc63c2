//! What entry hosts know of the load of pools.

use std::collections::HashMap;

use foxtail_route::plan::Report;

use super::owners::{PoolAt, clock};
use super::{Message, Owned};
use crate::model::{Micros, World};
use crate::shape::REGIONS;

/// The loads of one region's pools, on their way to the hosts of another.
pub struct Batch {
    viewer: usize,
    loads: Vec<(PoolAt, Report)>,
}

/// The last reports, as the hosts of each region know them.
#[derive(Default)]
pub(super) struct Reports {
    known: HashMap<(usize, PoolAt), Report>,
}

impl Reports {
    pub(super) fn take(&mut self, batch: Batch) {
        for (pool, report) in batch.loads {
            self.known.insert((batch.viewer, pool), report);
        }
    }

    /// What the hosts of `viewer` know of `pool`.
    pub(super) fn get(&self, viewer: usize, pool: PoolAt) -> Option<Report> {
        self.known.get(&(viewer, pool)).copied()
    }
}

impl Owned {
    /// Sends the load of every pool to the hosts of every region.
    pub(super) fn send_reports(&mut self, world: &mut World<'_, Message>) {
        for region in 0..REGIONS {
            let usage = self.owners.usage(world.now, region);
            for viewer in 0..REGIONS {
                let delay = if viewer == region { Micros(500) } else { world.region_delay() };
                let at = clock(world.now + delay);
                let loads = usage.iter().map(|(pool, usage)| {
                    let free = usage.slots.saturating_sub(usage.used + usage.withheld);
                    let free = free.saturating_sub(usage.waiting);
                    (*pool, Report { at, free, wait: usage.wait })
                });
                let batch = Batch { viewer, loads: loads.collect() };
                world.send(delay, Message::Reported(batch));
            }
        }
    }
}
