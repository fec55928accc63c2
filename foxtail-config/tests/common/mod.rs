//! The shipped templates, and a site of three regions.

#![allow(dead_code, reason = "each test uses a part")]

use std::collections::BTreeMap;
use std::path::PathBuf;

use foxtail_config::{Params, Site, Template};
use foxtail_steer::Upstream;
use foxtail_types::prelude::*;

/// The regions of the users, each with the zones `-a` and `-b`.
pub(crate) const REGIONS: [&str; 6] = ["peninsula", "sabah", "sarawak", "pampeana", "cuyo", "noa"];

/// The upstreams of each service in each zone, with three slots each.
const UPSTREAMS_PER_ZONE: usize = 2;

/// The shipped file of `kind` for the workspace `name`.
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

/// A site without upstreams.
pub(crate) fn site_without_upstreams() -> Site {
    let zones: BTreeMap<ZoneId, RegionId> = REGIONS
        .iter()
        .flat_map(|region| ["a", "b"].map(|zone| (format!("{region}-{zone}"), *region)))
        .map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()))
        .collect();
    Site { zones, ..Site::default() }
}

/// A site with upstreams of `template` in the zones of `regions`.
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
