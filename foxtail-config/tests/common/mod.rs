//! The shipped templates, and sites with or without upstreams.

#![allow(dead_code, reason = "each test binary uses only some of the functions")]

use std::collections::BTreeMap;
use std::path::PathBuf;

use foxtail_config::{Params, Site, Template};
use foxtail_steer::Upstream;
use foxtail_types::prelude::*;

/// The regions of the site, each with two zones, `<region>-a` and `<region>-b`.
pub(crate) const REGIONS: [&str; 6] = ["peninsula", "sabah", "sarawak", "pampeana", "cuyo", "noa"];

/// The number of upstreams of each service in each zone. Each has three slots.
const UPSTREAMS_PER_ZONE: usize = 2;

/// Reads the shipped file of `kind`, `template` or `params`, for the workspace `name`.
pub(crate) fn shipped_file(name: &str, kind: &str) -> serde_json::Value {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../templates");
    let path = path.join(format!("{name}.{kind}.json"));
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

pub(crate) fn tali_selamat_files() -> (Template, Params) {
    let read = |kind| shipped_file("tali-selamat", kind);
    (
        serde_json::from_value(read("template")).unwrap(),
        serde_json::from_value(read("params")).unwrap(),
    )
}

/// Returns a site with all regions and no upstreams.
pub(crate) fn site_without_upstreams() -> Site {
    let zones: BTreeMap<ZoneId, RegionId> = REGIONS
        .iter()
        .flat_map(|region| ["a", "b"].map(|zone| (format!("{region}-{zone}"), *region)))
        .map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()))
        .collect();
    Site { zones, ..Site::default() }
}

/// Returns a site of `regions` with upstreams for each service of `template` in each zone.
pub(crate) fn site_with_upstreams(template: &Template, regions: &[&str]) -> Site {
    let mut site = site_without_upstreams();
    site.zones.retain(|_, region| regions.contains(&region.as_str()));
    for zone in site.zones.keys() {
        for service in template.services.keys() {
            for n in 0..UPSTREAMS_PER_ZONE {
                site.upstreams.push(Upstream {
                    id: format!("{service}-{zone}-{n}").parse().unwrap(),
                    service: service.parse().unwrap(),
                    addr: "127.0.0.1:80".parse().unwrap(),
                    zone: zone.clone(),
                    slots: 3,
                    draining: false,
                    cold_for: Millis::ZERO,
                    started: None,
                });
            }
        }
    }
    site
}
