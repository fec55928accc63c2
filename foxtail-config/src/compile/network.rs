use std::collections::BTreeSet;

use foxtail_types::prelude::*;

use super::Error;
use crate::params::LinkParams;
use crate::{ClientBlock, Link, Network, NetworkParams, Region};

const BLOCKS_MAX: usize = 10_000;
const OWNER_SHARDS_MAX: u16 = 1_024;
const MBIT_PER_S_MAX: u32 = 1_000_000;
const DELAY_MS_MAX: u64 = 1_000;

/// Checks `params` and makes the network of them.
///
/// # Errors
///
/// [`Error`] with every parameter that is not accepted.
pub fn network(params: &NetworkParams) -> Result<Network, Error> {
    let mut errors = Error::default();
    let regions = regions(params, &mut errors);
    check_link("every_link", &params.every_link, &mut errors);
    for (i, over) in params.links.iter().enumerate() {
        check_link(&format!("links.{i}.link"), &over.link, &mut errors);
        check_ends(i, [&over.from, &over.to], &regions, &mut errors);
    }
    if !(1..=OWNER_SHARDS_MAX).contains(&params.owner_shards) {
        let accepted = format!("1 to {OWNER_SHARDS_MAX}");
        errors.push("owner_shards", format!("{} is out of bounds", params.owner_shards), accepted);
    }
    check_blocks(&params.blocks, &regions, &mut errors);
    let links = links(params, &regions);
    let (owner_shards, blocks) = (params.owner_shards, params.blocks.clone());
    errors.into_result(Network { regions, links, owner_shards, blocks })
}

fn regions(params: &NetworkParams, errors: &mut Error) -> Vec<Region> {
    if params.regions.is_empty() {
        errors.push("regions", "there is none", "at least one region with a zone");
    }
    let mut seen = BTreeSet::new();
    let mut regions = Vec::new();
    for (name, zones) in &params.regions {
        let path = format!("regions.{name}");
        if zones.is_empty() {
            errors.push(&path, "the region has no zone", "at least one zone");
        }
        for zone in zones.iter().filter(|&zone| !seen.insert(zone.clone())) {
            errors.push(&path, format!("zone {zone} stands twice"), "each zone in one region");
        }
        match RegionId::new(name) {
            Ok(id) => regions.push(Region { id, zones: zones.clone() }),
            Err(e) => errors.push(&path, e.to_string(), "a name by these rules"),
        }
    }
    regions
}

fn check_blocks(blocks: &[ClientBlock], regions: &[Region], errors: &mut Error) {
    if blocks.len() > BLOCKS_MAX {
        let reason = format!("{} are too many", blocks.len());
        errors.push("blocks", reason, format!("at most {BLOCKS_MAX}"));
    }
    let mut seen = BTreeSet::new();
    for (i, block) in blocks.iter().enumerate() {
        let path = format!("blocks.{i}");
        if !seen.insert(block.net.trunc()) {
            errors.push(format!("{path}.net"), format!("{} stands twice", block.net), "once");
        }
        let Some(region) = regions.iter().find(|region| region.id == block.region) else {
            let names: Vec<_> = regions.iter().map(|region| region.id.as_str()).collect();
            let reason = format!("there is no region {}", block.region);
            errors.push(format!("{path}.region"), reason, names.join(", "));
            continue;
        };
        if let Some(zone) = block.zone.as_ref().filter(|zone| !region.zones.contains(zone)) {
            let zones: Vec<_> = region.zones.iter().map(ZoneId::as_str).collect();
            let reason = format!("region {} has no zone {zone}", region.id);
            errors.push(format!("{path}.zone"), reason, zones.join(", "));
        }
    }
}

fn links(params: &NetworkParams, regions: &[Region]) -> Vec<Link> {
    let mut links = Vec::new();
    for from in regions {
        for to in regions.iter().filter(|to| to.id != from.id) {
            let over = params.links.iter().find(|o| o.from == from.id && o.to == to.id);
            let link = over.map_or(&params.every_link, |over| &over.link);
            links.push(Link {
                id: LinkId { from: from.id.clone(), to: to.id.clone() },
                mbit_per_s: link.mbit_per_s,
                delay: Millis(link.delay_ms),
                archive_mbit_per_s: link.archive_mbit_per_s,
            });
        }
    }
    links
}

fn check_link(path: &str, link: &LinkParams, errors: &mut Error) {
    if !(1..=MBIT_PER_S_MAX).contains(&link.mbit_per_s) {
        let reason = format!("{} is out of bounds", link.mbit_per_s);
        errors.push(format!("{path}.mbit_per_s"), reason, format!("1 to {MBIT_PER_S_MAX}"));
    }
    if link.delay_ms > DELAY_MS_MAX {
        let reason = format!("{} is out of bounds", link.delay_ms);
        errors.push(format!("{path}.delay_ms"), reason, format!("0 to {DELAY_MS_MAX}"));
    }
    let half = (link.mbit_per_s / 2).max(1);
    if !(1..=half).contains(&link.archive_mbit_per_s) {
        let reason = format!("{} is out of bounds", link.archive_mbit_per_s);
        let accepted = format!("1 to {half}, half of the link");
        errors.push(format!("{path}.archive_mbit_per_s"), reason, accepted);
    }
}

fn check_ends(i: usize, ends: [&RegionId; 2], regions: &[Region], errors: &mut Error) {
    for (field, end) in ["from", "to"].into_iter().zip(ends) {
        if !regions.iter().any(|region| region.id == *end) {
            let names: Vec<_> = regions.iter().map(|region| region.id.as_str()).collect();
            let reason = format!("there is no region {end}");
            errors.push(format!("links.{i}.{field}"), reason, names.join(", "));
        }
    }
}
