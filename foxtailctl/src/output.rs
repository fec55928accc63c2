//! Prints results as text or as JSON.
#![expect(clippy::print_stdout, reason = "printing is what this program does")]

use std::time::SystemTime;

use foxtail_config::headroom::{Headroom, PoolUsage, format_slots};
use foxtail_config::plan::Plan;
use foxtail_steer::Config;
use foxtail_types::prelude::*;
use serde::Serialize;
use serde_json::json;

use crate::client::{HostStatus, StoreView};
use crate::explain::LogLine;
use crate::failure::Failure;
use crate::input::StoredVersion;

/// Prints results to standard output, as text or as JSON. Error messages go to standard error.
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    pub(crate) fn print_json<T: Serialize>(&self, value: &T) {
        let text = serde_json::to_string_pretty(value);
        println!("{}", text.expect("results serialize to JSON"));
    }

    /// Prints the log lines that explain a request, as sentences or as JSON.
    pub(crate) fn print_explanation(&self, lines: &[LogLine]) {
        if self.json {
            return self.print_json(&lines);
        }
        for line in lines {
            println!("{}", line.describe());
        }
    }

    pub(crate) fn print_failure(&self, failure: &Failure) {
        eprintln!("foxtailctl: {failure}");
        if self.json {
            match failure {
                Failure::Refused(refused) => self.print_json(&json!({ "refused": refused })),
                Failure::Invalid(e) => self.print_json(&json!({ "not_accepted": e.problems })),
                other => self.print_json(&json!({ "error": other.to_string() })),
            }
        }
    }

    /// Prints a plan as the result of a command. A refusal is printed as a failure.
    pub(crate) fn print_plan(&self, plan: &Plan) {
        if self.json {
            return self.print_json(plan);
        }
        self.print_preview(plan);
    }

    /// Prints the plan of a change that is about to be made. Prints nothing in JSON mode, where the
    /// output is the result of the change alone.
    pub(crate) fn print_preview(&self, plan: &Plan) {
        if self.json {
            return;
        }
        println!("changes:");
        if plan.changes.is_empty() {
            println!("  nothing in the input");
        }
        for change in &plan.changes {
            println!("  {change}");
        }
        println!("headroom under the expected load:");
        if plan.before == plan.after {
            println!("  unchanged");
        }
        print_headroom(&plan.before, &plan.after, false);
    }

    pub(crate) fn print_unchanged(&self, version: Version) {
        match self.json {
            true => self.print_json(&json!({ "changed": false, "config": version })),
            false => println!("nothing to change: version {version} is in force"),
        }
    }

    /// Prints that a change is in force, with the new versions of the workspace and configuration.
    pub(crate) fn print_applied(&self, workspace: Version, config: Version, hosts: usize) {
        if self.json {
            let applied = json!({ "changed": true, "workspace": workspace, "config": config });
            return self.print_json(&applied);
        }
        println!(
            "version {config} (workspace version {workspace}) is in force on all {hosts} hosts"
        );
    }

    pub(crate) fn print_history(&self, versions: &[StoredVersion]) {
        if self.json {
            return self.print_json(&versions);
        }
        for entry in versions {
            let StoredVersion { version, config, at, operator, note, .. } = entry;
            println!(
                "version {version}  configuration {config}  {}  by {operator}  {note}",
                format_time(*at)
            );
        }
    }

    pub(crate) fn print_drains(&self, view: &StoreView) {
        if self.json {
            return self.print_json(&view.site.evacuated);
        }
        if view.site.evacuated.is_empty() {
            println!("no drains");
        }
        for zone in &view.site.evacuated {
            println!("zone {zone}");
        }
    }

    pub(crate) fn print_drained(&self, zone: &ZoneId, is_drained: bool, hosts: usize) {
        if self.json {
            return self
                .print_json(&json!({ "zone": zone, "drained": is_drained, "hosts": hosts }));
        }
        let what = if is_drained { "is drained" } else { "is back in use" };
        println!("zone {zone} {what} on all {hosts} hosts");
    }

    pub(crate) fn print_checked(&self, cfg: &Config) {
        let (routes, services) = (cfg.routes().len(), cfg.services().count());
        if self.json {
            let checked = json!({ "version": cfg.version, "routes": routes, "services": services });
            return self.print_json(&checked);
        }
        println!("version {}: {routes} routes to {services} services", cfg.version);
    }

    pub(crate) fn print_status(&self, view: &StoreView, hosts: &[HostStatus]) {
        let headroom = view.headroom();
        if self.json {
            let host = |host: &HostStatus| match &host.status {
                Ok(status) => json!(status),
                Err(e) => json!({ "host": host.record.id, "zone": host.record.zone, "error": e }),
            };
            return self.print_json(&json!({
                "version": view.cfg.version,
                "evacuated": view.site.evacuated,
                "upstreams": view.site.upstreams.len(),
                "unreadable": view.stored.unreadable,
                "hosts": hosts.iter().map(host).collect::<Vec<_>>(),
                "headroom": headroom,
            }));
        }
        println!("version {}, {} upstreams", view.cfg.version, view.site.upstreams.len());
        for zone in &view.site.evacuated {
            println!("  zone {zone} is drained");
        }
        for (key, why) in &view.stored.unreadable {
            println!("  row {key} can't be read: {why}");
        }
        for host in hosts {
            println!("  {}", format_host(host, view.cfg.version));
        }
        println!("headroom under the expected load:");
        print_headroom(&headroom, &headroom, true);
    }
}

fn format_host(host: &HostStatus, newest: Version) -> String {
    let (id, zone) = (&host.record.id, &host.record.zone);
    let status = match &host.status {
        Ok(status) => status,
        Err(e) => return format!("{id}  {zone}  SILENT  {e}"),
    };
    let version = status.version.map_or_else(|| "none".to_owned(), |version| version.to_string());
    let mut line = format!(
        "{id}  {zone}  {:?}  version {version}  {} hosts alive  {} upstreams  {} requests",
        status.phase, status.hosts_alive, status.upstreams, status.requests,
    );
    if status.version < Some(newest) {
        line += "  BEHIND";
    }
    if status.store_lost {
        line += "  STORE LOST";
    }
    line
}

fn format_time(at: Millis) -> String {
    let at = SystemTime::UNIX_EPOCH + at.duration();
    humantime::format_rfc3339_millis(at).to_string()
}

/// Prints the slots of the pools that differ between `before` and `after`, or of all pools if
/// `all` is set.
fn print_headroom(before: &Headroom, after: &Headroom, all: bool) {
    for pool in &after.pools {
        let same = |previous: &&PoolUsage| {
            previous.service == pool.service && previous.region == pool.region
        };
        let previous = before.pools.iter().find(same);
        if previous == Some(pool) && !all {
            continue;
        }
        let change =
            previous.filter(|previous| *previous != pool).map_or_else(String::new, |previous| {
                format!("  (was {} of {})", format_slots(previous.used_milli), previous.slots)
            });
        let used = format_slots(pool.used_milli);
        println!("  {}/{}  {used} of {} slots used{change}", pool.service, pool.region, pool.slots);
    }
}
