//! What plans say of a change, and which changes they refuse.

mod common;

use common::{site_with, tali_selamat};
use foxtail_config::plan::{self, Inputs, Loaded, Plan};
use foxtail_config::{Limit, Params, Part, Site, Template, compile};
use foxtail_steer::Config;
use foxtail_types::prelude::*;

const REGIONS: [&str; 3] = ["peninsula", "sabah", "sarawak"];

fn part(template: &Template, params: &Params, site: &Site) -> (Part, Config) {
    let part = compile(template, params, site).unwrap();
    let cfg = part.laid_over(&Config::default(), &params.workspace, Version(1));
    (part, cfg)
}

fn change(template: &Template, old: &Params, new: &Params, site: &Site) -> Plan {
    let ((was, was_cfg), (is, is_cfg)) = (part(template, old, site), part(template, new, site));
    let inputs = Inputs { old: Some((template, old)), new: (template, new) };
    let (was, is) = (
        Loaded { cfg: &was_cfg, demand: &was.demand },
        Loaded { cfg: &is_cfg, demand: &is.demand },
    );
    plan::change(&inputs, was, is, site)
}

#[test]
fn a_change_within_the_headroom_is_allowed_and_shown_field_by_field() {
    let (template, old) = tali_selamat();
    let site = site_with(&template, &REGIONS);
    let mut new = old.clone();
    let service = new.services.get_mut("certificates").unwrap();
    service.limits.insert(Limit::ServiceMs, 80);
    let plan = change(&template, &old, &new, &site);
    assert!(plan.refused.is_empty(), "{:?}", plan.refused);
    let text: Vec<String> = plan.changes.iter().map(ToString::to_string).collect();
    assert_eq!(text, ["services.certificates.limits.service_ms: nothing -> 80"]);
    assert_ne!(plan.before, plan.after);
}

#[test]
fn load_that_finds_no_slots_in_any_region_is_refused() {
    let (template, old) = tali_selamat();
    let site = site_with(&template, &REGIONS);
    let mut new = old.clone();
    let service = new.services.get_mut("certificates").unwrap();
    service.expected_per_s.insert("sabah".to_owned(), 2_000);
    let plan = change(&template, &old, &new, &site);
    assert_eq!(plan.refused.len(), 1);
    assert!(plan.refused[0].reason.contains("of certificates that enters in sabah"));
    // A site in trouble may be mended step by step.
    let mut better = new.clone();
    let service = better.services.get_mut("certificates").unwrap();
    service.expected_per_s.insert("sabah".to_owned(), 1_500);
    assert!(change(&template, &new, &better, &site).refused.is_empty());
}

#[test]
fn load_stays_in_its_homes() {
    let (template, old) = tali_selamat();
    let site = site_with(&template, &REGIONS);
    let mut new = old.clone();
    let homes = vec!["sabah".parse().unwrap()];
    new.routes.entry("certificate-checks".to_owned()).or_default().homes = homes;
    let plan = change(&template, &old, &new, &site);
    // 180 requests a second of 60 ms take 10.8 slots; 90% of 12 is just as much.
    assert!(plan.refused.is_empty(), "{:?}", plan.refused);
    new.services.get_mut("certificates").unwrap().limits.insert(Limit::ServiceMs, 61);
    assert!(!change(&template, &old, &new, &site).refused.is_empty());
}

#[test]
fn an_evacuation_that_the_rest_can_carry_is_allowed_and_the_last_zone_stays() {
    let (template, params) = tali_selamat();
    let mut site = site_with(&template, &REGIONS);
    let (part, cfg) = part(&template, &params, &site);
    let loaded = Loaded { cfg: &cfg, demand: &part.demand };
    let zone = |name: &str| name.parse::<ZoneId>().unwrap();
    assert!(plan::evacuation(&zone("sabah-a"), loaded, &site).refused.is_empty());
    let unknown = plan::evacuation(&zone("atlantis"), loaded, &site);
    assert!(unknown.refused[0].accepted.contains("sabah-a"));
    let rest: Vec<ZoneId> =
        site.zones.keys().filter(|z| z.as_str() != "sabah-a").cloned().collect();
    site.evacuated.extend(rest);
    let last = plan::evacuation(&zone("sabah-a"), loaded, &site);
    assert!(last.refused.iter().any(|refusal| refusal.reason.contains("last zone")));
}

#[test]
fn workspaces_leave_each_other_s_routes_alone() {
    let (template, one) = tali_selamat();
    let site = site_with(&template, &REGIONS);
    let mut other = one.clone();
    other.workspace = "practice".parse().unwrap();
    other.host = "practice.example".to_owned();
    let (_, cfg) = part(&template, &one, &site);
    let both = compile(&template, &other, &site).unwrap();
    let both = both.laid_over(&cfg, &other.workspace, Version(2));
    assert_eq!(both.routes().len(), 2 * cfg.routes().len());
    let mut less = template.clone();
    less.routes.remove("timetables");
    let part = compile(&less, &one, &site).unwrap();
    let next = part.laid_over(&both, &one.workspace, Version(3));
    assert_eq!(next.routes().len(), both.routes().len() - 1);
    assert!(next.route("practice.example", "/timetables/1").is_some());
    assert!(next.route("tali-selamat.example", "/timetables/1").is_none());
}

#[test]
fn two_workspaces_can_t_have_one_host_name() {
    let (template, one) = tali_selamat();
    let site = site_with(&template, &REGIONS);
    let mut other = one.clone();
    other.workspace = "practice".parse().unwrap();
    let (_, cfg) = part(&template, &one, &site);
    let other_part = compile(&template, &other, &site).unwrap();
    let both = other_part.laid_over(&cfg, &other.workspace, Version(2));
    let inputs = Inputs { old: None, new: (&template, &other) };
    let none = Loaded { cfg: &cfg, demand: &[] };
    let plan = plan::change(&inputs, none, Loaded { cfg: &both, demand: &[] }, &site);
    assert!(plan.refused[0].reason.contains("one host and prefix"));
}
