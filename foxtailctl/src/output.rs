//! What is printed, as text or as JSON.
#![expect(clippy::print_stdout, reason = "printing is what this program does")]

use std::time::SystemTime;

use foxtail_config::headroom::{Headroom, Room, slots_text};
use foxtail_config::plan::Plan;
use foxtail_steer::Config;
use foxtail_types::prelude::*;
use serde::Serialize;
use serde_json::json;

use crate::exit::Failure;
use crate::input::Kept;
use crate::site::{Host, View};
use crate::story::Line;

/// Prints to standard output; notes and failures go to standard error.
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    pub(crate) fn json<T: Serialize>(&self, value: &T) {
        let text = serde_json::to_string_pretty(value);
        println!("{}", text.expect("answers are plain JSON"));
    }

    /// The story of a request.
    pub(crate) fn story(&self, lines: &[Line]) {
        if self.json {
            return self.json(&lines);
        }
        for line in lines {
            println!("{}", line.sentence());
        }
    }

    pub(crate) fn failure(&self, failure: &Failure) {
        eprintln!("foxtailctl: {failure}");
        if self.json {
            match failure {
                Failure::Refused(refused) => self.json(&json!({ "refused": refused })),
                Failure::Invalid(e) => self.json(&json!({ "not_accepted": e.problems })),
                other => self.json(&json!({ "error": other.to_string() })),
            }
        }
    }

    /// What a change would do; its refusal is a failure of its own.
    pub(crate) fn plan(&self, plan: &Plan) {
        if self.json {
            return self.json(plan);
        }
        self.preview(plan);
    }

    /// The plan of a change that is about to be made.
    pub(crate) fn preview(&self, plan: &Plan) {
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
        headroom(&plan.before, &plan.after, false);
    }

    pub(crate) fn unchanged(&self, version: Version) {
        match self.json {
            true => self.json(&json!({ "changed": false, "config": version })),
            false => println!("nothing to change: version {version} is in force"),
        }
    }

    pub(crate) fn applied(&self, own: Version, config: Version, hosts: usize) {
        if self.json {
            let applied = json!({ "changed": true, "workspace": own, "config": config });
            return self.json(&applied);
        }
        println!("version {config} (workspace version {own}) is in force on all {hosts} hosts");
    }

    pub(crate) fn history(&self, versions: &[Kept]) {
        if self.json {
            return self.json(&versions);
        }
        for kept in versions {
            let Kept { version, config, at, operator, note, .. } = kept;
            println!(
                "version {version}  configuration {config}  {}  by {operator}  {note}",
                time(*at)
            );
        }
    }

    pub(crate) fn drains(&self, view: &View) {
        if self.json {
            return self.json(&view.site.evacuated);
        }
        if view.site.evacuated.is_empty() {
            println!("no drains");
        }
        for zone in &view.site.evacuated {
            println!("zone {zone}");
        }
    }

    pub(crate) fn drained(&self, zone: &ZoneId, on: bool, hosts: usize) {
        if self.json {
            return self.json(&json!({ "zone": zone, "drained": on, "hosts": hosts }));
        }
        let what = if on { "is drained" } else { "is back in use" };
        println!("zone {zone} {what} on all {hosts} hosts");
    }

    pub(crate) fn checked(&self, cfg: &Config) {
        let (routes, services) = (cfg.routes().len(), cfg.services().count());
        if self.json {
            let checked = json!({ "version": cfg.version, "routes": routes, "services": services });
            return self.json(&checked);
        }
        println!("version {}: {routes} routes to {services} services", cfg.version);
    }

    pub(crate) fn status(&self, view: &View, hosts: &[Host]) {
        let room = view.headroom();
        if self.json {
            let host = |host: &Host| match &host.status {
                Ok(status) => json!(status),
                Err(e) => json!({ "host": host.record.id, "zone": host.record.zone, "error": e }),
            };
            return self.json(&json!({
                "version": view.cfg.version,
                "evacuated": view.site.evacuated,
                "upstreams": view.site.upstreams.len(),
                "unreadable": view.found.unreadable,
                "hosts": hosts.iter().map(host).collect::<Vec<_>>(),
                "headroom": room,
            }));
        }
        println!("version {}, {} upstreams", view.cfg.version, view.site.upstreams.len());
        for zone in &view.site.evacuated {
            println!("  zone {zone} is drained");
        }
        for (key, why) in &view.found.unreadable {
            println!("  row {key} can't be read: {why}");
        }
        for host in hosts {
            println!("  {}", host_line(host, view.cfg.version));
        }
        println!("headroom under the expected load:");
        headroom(&room, &room, true);
    }
}

fn host_line(host: &Host, newest: Version) -> String {
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

fn time(at: Millis) -> String {
    let at = SystemTime::UNIX_EPOCH + at.duration();
    humantime::format_rfc3339_millis(at).to_string()
}

/// The pools that change, or all.
fn headroom(before: &Headroom, after: &Headroom, all: bool) {
    for room in &after.pools {
        let same = |was: &&Room| was.service == room.service && was.region == room.region;
        let was = before.pools.iter().find(same);
        if was == Some(room) && !all {
            continue;
        }
        let was = was.filter(|was| *was != room).map_or_else(String::new, |was| {
            format!("  (was {} of {})", slots_text(was.used_milli), was.slots)
        });
        let used = slots_text(room.used_milli);
        println!("  {}/{}  {used} of {} slots used{was}", room.service, room.region, room.slots);
    }
}
