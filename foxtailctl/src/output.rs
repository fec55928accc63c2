//! What is printed, as text or as JSON.
#![expect(clippy::print_stdout, reason = "printing is what this program does")]

use std::time::SystemTime;

use foxtail_config::headroom::{Headroom, slots_text};
use foxtail_sync::admin::{Accepted, HistoryEntry, InForce, Planned, Shown};
use foxtail_types::prelude::*;
use foxtail_wire::operator::{Decision, DrainStatus, Explained, Status};
use serde::Serialize;
use serde_json::json;

use crate::exit::Failure;
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

    pub(crate) fn note(&self, text: &str) {
        eprintln!("{text}");
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
                Failure::Refused(e) => self.json(&json!({ "error": e })),
                Failure::Late(got) => self.json(&json!({ "late": got })),
                other => self.json(&json!({ "error": other.to_string() })),
            }
        }
    }

    /// What a change would do; its refusal is a failure of its own.
    pub(crate) fn plan(&self, planned: &Planned) {
        if self.json {
            return self.json(planned);
        }
        self.preview(planned);
    }

    /// The plan of a change that is about to be made.
    pub(crate) fn preview(&self, planned: &Planned) {
        if self.json {
            return;
        }
        let plan = &planned.plan;
        println!("changes:");
        if plan.changes.is_empty() {
            println!("  nothing");
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

    pub(crate) fn accepted(&self, accepted: &Accepted, got: &InForce) {
        if self.json {
            return self.json(&json!({ "accepted": accepted, "in_force": got }));
        }
        let Accepted { version, workspace, changed } = accepted;
        if !changed {
            println!("nothing to change: version {version} is in force");
            return;
        }
        let own = workspace.map_or_else(String::new, |own| format!(" (workspace version {own})"));
        println!("version {version}{own} is in force on all {} hosts", got.held);
    }

    pub(crate) fn history(&self, entries: &[HistoryEntry]) {
        if self.json {
            return self.json(&entries);
        }
        for entry in entries {
            let HistoryEntry { version, global, at, operator, note } = entry;
            println!("version {version}  global {global}  at {}  by {operator}  {note}", time(*at));
        }
    }

    pub(crate) fn shown(&self, shown: &Shown) {
        if self.json {
            return self.json(shown);
        }
        eprintln!(
            "version {}; the network was set at version {}",
            shown.version, shown.network_version
        );
        match &shown.network {
            Some(network) => self.json(network),
            None => eprintln!("there is no network yet"),
        }
    }

    pub(crate) fn drains(&self, drains: &[DrainStatus]) {
        if self.json {
            return self.json(&drains);
        }
        if drains.is_empty() {
            println!("no drains");
        }
        for DrainStatus { drain, in_flight } in drains {
            println!("{}  started {}  in flight {in_flight}", drain.target, time(drain.started));
        }
    }

    pub(crate) fn status(&self, status: &Status) {
        if self.json {
            return self.json(status);
        }
        let raised = if status.limits_raised { "" } else { ", raised limits wait" };
        println!("version {}{raised} (seen from {})", status.version, status.host);
        for host in &status.hosts {
            let late = if host.version < status.version { "  BEHIND" } else { "" };
            let silent = if host.silent { "  SILENT" } else { "" };
            println!(
                "  {}  {}  {:?}  version {}  busy {}.{}%{late}{silent}",
                host.id,
                host.zone,
                host.phase,
                host.version,
                host.busy_permille / 10,
                host.busy_permille % 10,
            );
        }
        match &status.headroom {
            Some(room) => {
                println!("headroom under the expected load:");
                headroom(room, room, true);
            }
            None => println!("headroom: unknown, the platform's store can't be read now"),
        }
    }

    pub(crate) fn explained(&self, decisions: &[Explained]) {
        if self.json {
            return self.json(&decisions);
        }
        for Explained { host, decision } in decisions {
            let Decision { at, kind, request, service, candidates, chosen, reason, .. } = decision;
            println!("{} {host} {kind} request={request} service={service}", time(*at));
            println!("    chosen {chosen}: {reason}");
            println!("    candidates {candidates}");
        }
        if decisions.is_empty() {
            println!("no decisions are kept on that");
        }
    }
}

fn time(at: Millis) -> String {
    let at = SystemTime::UNIX_EPOCH + at.duration();
    humantime::format_rfc3339_millis(at).to_string()
}

/// The pools and links that change, or all.
fn headroom(before: &Headroom, after: &Headroom, all: bool) {
    for room in &after.pools {
        let was = before.pools.iter().find(|was| was.pool == room.pool);
        if was == Some(room) && !all {
            continue;
        }
        let was = was.filter(|was| *was != room).map_or_else(String::new, |was| {
            format!("  (was {} of {})", slots_text(was.used_milli), was.slots)
        });
        let used = slots_text(room.used_milli);
        println!("  {}  {used} of {} slots used{was}", room.pool, room.slots);
    }
    for room in &after.links {
        let was = before.links.iter().find(|was| was.link == room.link);
        if was == Some(room) && !all {
            continue;
        }
        let was = was.filter(|was| *was != room).map_or_else(String::new, |was| {
            format!("  (was {} of {})", was.used_kbit_per_s / 1_000, was.mbit_per_s)
        });
        let used = room.used_kbit_per_s / 1_000;
        println!("  {}  {used} of {} Mbit/s used{was}", room.link, room.mbit_per_s);
    }
}
