//! The differences that plans list, and the changes that they refuse.

mod common;

use common::{site_with_upstreams, tali_selamat_files};
use foxtail_config::plan::{self, ConfigWithDemand, InputChange, Plan};
use foxtail_config::{Limit, Params, Site, Template, WorkspaceConfig, compile};
use foxtail_steer::Config;
use foxtail_types::prelude::*;

const REGIONS: [&str; 3] = ["peninsula", "sabah", "sarawak"];

fn compile_workspace(
    template: &Template,
    params: &Params,
    site: &Site,
) -> (WorkspaceConfig, Config) {
    let compiled = compile(template, params, site).unwrap();
    let cfg = compiled.apply_to(&Config::default(), &params.workspace, Version(1));
    (compiled, cfg)
}

fn change(template: &Template, old: &Params, new: &Params, site: &Site) -> Plan {
    let ((old_compiled, old_cfg), (new_compiled, new_cfg)) =
        (compile_workspace(template, old, site), compile_workspace(template, new, site));
    let input = InputChange { old: Some((template, old)), new: (template, new) };
    let (before, after) = (
        ConfigWithDemand { cfg: &old_cfg, demand: &old_compiled.demand },
        ConfigWithDemand { cfg: &new_cfg, demand: &new_compiled.demand },
    );
    plan::change(&input, before, after, site)
}

#[test]
fn change_within_the_headroom_is_allowed_and_listed_field_by_field() {
    let (template, old) = tali_selamat_files();
    let site = site_with_upstreams(&template, &REGIONS);
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
fn change_whose_load_exceeds_the_slots_of_all_regions_is_refused() {
    let (template, old) = tali_selamat_files();
    let site = site_with_upstreams(&template, &REGIONS);
    let mut new = old.clone();
    let service = new.services.get_mut("certificates").unwrap();
    service.expected_per_s.insert("sabah".to_owned(), 2_000);
    let plan = change(&template, &old, &new, &site);
    assert_eq!(plan.refused.len(), 1);
    assert!(plan.refused[0].reason.contains("of certificates that enters in sabah"));
    // A smaller overload than before is allowed, so that a site can be relieved step by step.
    let mut better = new.clone();
    let service = better.services.get_mut("certificates").unwrap();
    service.expected_per_s.insert("sabah".to_owned(), 1_500);
    assert!(change(&template, &new, &better, &site).refused.is_empty());
}

#[test]
fn load_is_planned_only_in_home_regions() {
    let (template, old) = tali_selamat_files();
    let site = site_with_upstreams(&template, &REGIONS);
    let mut new = old.clone();
    let homes = vec!["sabah".parse().unwrap()];
    new.routes.entry("certificate-checks".to_owned()).or_default().homes = homes;
    let plan = change(&template, &old, &new, &site);
    // 180 requests per second of 60 ms use 10.8 slots, exactly the usable 90% of 12 slots.
    assert!(plan.refused.is_empty(), "{:?}", plan.refused);
    new.services.get_mut("certificates").unwrap().limits.insert(Limit::ServiceMs, 61);
    assert!(!change(&template, &old, &new, &site).refused.is_empty());
}

#[test]
fn evacuation_is_allowed_within_headroom_and_refused_for_the_last_zone() {
    let (template, params) = tali_selamat_files();
    let mut site = site_with_upstreams(&template, &REGIONS);
    let (compiled, cfg) = compile_workspace(&template, &params, &site);
    let current = ConfigWithDemand { cfg: &cfg, demand: &compiled.demand };
    let zone = |name: &str| name.parse::<ZoneId>().unwrap();
    assert!(plan::evacuation(&zone("sabah-a"), current, &site).refused.is_empty());
    let unknown = plan::evacuation(&zone("atlantis"), current, &site);
    assert!(unknown.refused[0].accepted.contains("sabah-a"));
    let rest: Vec<ZoneId> =
        site.zones.keys().filter(|z| z.as_str() != "sabah-a").cloned().collect();
    site.evacuated.extend(rest);
    let last = plan::evacuation(&zone("sabah-a"), current, &site);
    assert!(last.refused.iter().any(|refusal| refusal.reason.contains("last zone")));
}

#[test]
fn applying_one_workspace_keeps_the_routes_of_others() {
    let (template, one) = tali_selamat_files();
    let site = site_with_upstreams(&template, &REGIONS);
    let mut other = one.clone();
    other.workspace = "practice".parse().unwrap();
    other.host = "practice.example".to_owned();
    let (_, cfg) = compile_workspace(&template, &one, &site);
    let both = compile(&template, &other, &site).unwrap();
    let both = both.apply_to(&cfg, &other.workspace, Version(2));
    assert_eq!(both.routes().len(), 2 * cfg.routes().len());
    let mut without_timetables = template.clone();
    without_timetables.routes.remove("timetables");
    let compiled = compile(&without_timetables, &one, &site).unwrap();
    let next = compiled.apply_to(&both, &one.workspace, Version(3));
    assert_eq!(next.routes().len(), both.routes().len() - 1);
    assert!(next.route("practice.example", "/timetables/1").is_some());
    assert!(next.route("tali-selamat.example", "/timetables/1").is_none());
}

#[test]
fn second_workspace_with_the_same_host_name_is_refused() {
    let (template, one) = tali_selamat_files();
    let site = site_with_upstreams(&template, &REGIONS);
    let mut other = one.clone();
    other.workspace = "practice".parse().unwrap();
    let (_, cfg) = compile_workspace(&template, &one, &site);
    let other_compiled = compile(&template, &other, &site).unwrap();
    let both = other_compiled.apply_to(&cfg, &other.workspace, Version(2));
    let input = InputChange { old: None, new: (&template, &other) };
    let without_demand = ConfigWithDemand { cfg: &cfg, demand: &[] };
    let plan =
        plan::change(&input, without_demand, ConfigWithDemand { cfg: &both, demand: &[] }, &site);
    assert!(plan.refused[0].reason.contains("the same host and prefix"));
}
