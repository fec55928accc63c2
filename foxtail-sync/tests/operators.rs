//! Scripted scenarios of operators at work, each file in `tests/operators`.
//!
//! A command may carry `at=HOST` (0 if not given). `set` lines of the input are
//! `PATH VALUE` changes to what the operator last saw.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::Fleet;
use datadriven::TestCase;
use foxtail_config::DrainTarget;
use foxtail_standin::platform::Down;
use foxtail_sync::admin::{Error, Input};
use foxtail_types::prelude::*;
use serde_json::Value;

const HOSTS: usize = 6;

struct World {
    fleet: Arc<Fleet>,
    /// What each operator last saw of the workspace.
    seen: BTreeMap<String, Input>,
}

fn arg<'a>(case: &'a TestCase, name: &str) -> Option<&'a str> {
    case.args.get(name).and_then(|values| values.first()).map(String::as_str)
}

fn id() -> WorkspaceId {
    WorkspaceId::new("tali-selamat").unwrap()
}

impl World {
    async fn run(&mut self, case: &TestCase) -> Result<String, Error> {
        let at: usize = arg(case, "at").map_or(0, |at| at.parse().unwrap());
        let admin = self.fleet.admin(&self.fleet.name(at)).unwrap();
        let op = arg(case, "op").unwrap_or("aminah").to_owned();
        match case.directive.as_str() {
            "network" => {
                let done = admin.network_apply(&op, &common::network(), Version(0)).await?;
                Ok(format!("version {}", done.version))
            }
            "create" => {
                let done = admin.workspace_apply(&op, &common::input(), "").await?;
                Ok(format!("version {}, changed {}", done.version, done.changed))
            }
            "show" => {
                let input = admin.workspace_show(&id()).await?;
                let base = input.base;
                self.seen.insert(op, input);
                Ok(format!("base {base}"))
            }
            "plan" => {
                let planned = admin.workspace_plan(&self.edited(case, &op)).await?;
                let lines = planned.plan.changes.iter().map(ToString::to_string);
                let refused = planned.plan.refused.iter().map(|r| format!("refused: {r}"));
                Ok(lines.chain(refused).collect::<Vec<_>>().join("\n"))
            }
            "apply" => {
                let input = self.edited(case, &op);
                let done = admin.workspace_apply(&op, &input, "").await?;
                let changed = if done.changed { "" } else { ", nothing changed" };
                Ok(format!("version {}{changed}", done.version))
            }
            "rollback" => {
                let version = |name| Version(arg(case, name).unwrap().parse().unwrap());
                let done =
                    admin.workspace_rollback(&op, &id(), version("to"), version("base")).await?;
                Ok(format!("version {}, workspace {:?}", done.version, done.workspace))
            }
            "history" => {
                let entries = admin.workspace_history(&id()).await?;
                let line = |e: &foxtail_sync::admin::HistoryEntry| {
                    format!("{} (global {}) {} {}", e.version, e.global, e.operator, e.note)
                };
                Ok(entries.iter().map(line).collect::<Vec<_>>().join("\n"))
            }
            "drain" => {
                let target = target(case);
                let done = match case.args.contains_key("stop") {
                    false => admin.drain_start(&op, &target).await?,
                    true => admin.drain_stop(&op, &target).await?,
                };
                Ok(format!("version {}, changed {}", done.version, done.changed))
            }
            "store" => {
                let state = arg(case, "is").unwrap();
                self.fleet.platform.fault(|faults| match state {
                    "up" => faults.down = None,
                    "down" => faults.down = Some(Down::Refuse),
                    "hanging" => faults.down = Some(Down::Hang),
                    "losing-a-reply" => faults.lose_next_replies = 1,
                    other => panic!("unknown state `{other}`"),
                });
                Ok("ok".to_owned())
            }
            "pass" => {
                let span = Millis(arg(case, "ms").unwrap().parse().unwrap());
                self.fleet.pass(span).await;
                Ok("ok".to_owned())
            }
            "in-force" => {
                self.fleet.refresh();
                let version = Version(arg(case, "version").unwrap().parse().unwrap());
                let got = admin.in_force(version);
                let raised = if got.limits_raised { "raised" } else { "held back" };
                Ok(format!("held by {}, missing {:?}, limits {raised}", got.held, got.missing))
            }
            other => panic!("unknown command `{other}`"),
        }
    }

    /// What `op` last saw, with the case's changes.
    fn edited(&self, case: &TestCase, op: &str) -> Input {
        let input = &self.seen[op];
        let mut params = serde_json::to_value(&input.params).unwrap();
        for line in case.input.lines() {
            let (path, value) = line.split_once(' ').unwrap();
            let (path, key) = path.rsplit_once('/').unwrap();
            let object = params.pointer_mut(path).unwrap().as_object_mut().unwrap();
            object.insert(key.to_owned(), serde_json::from_str::<Value>(value).unwrap());
        }
        Input { params: serde_json::from_value(params).unwrap(), ..input.clone() }
    }
}

fn target(case: &TestCase) -> DrainTarget {
    match (arg(case, "zone"), arg(case, "region"), arg(case, "upstream"), arg(case, "host")) {
        (Some(zone), ..) => DrainTarget::Zone(ZoneId::new(zone).unwrap()),
        (_, Some(region), ..) => DrainTarget::Region(RegionId::new(region).unwrap()),
        (.., Some(upstream), _) => DrainTarget::Upstream(UpstreamId::new(upstream).unwrap()),
        (.., Some(host)) => DrainTarget::Host(HostId::new(host).unwrap()),
        _ => panic!("no target"),
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/operators", |f| {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build().unwrap();
        let fleet = runtime.block_on(async { Fleet::new(HOSTS, 1) });
        let mut world = World { fleet, seen: BTreeMap::new() };
        runtime.block_on(async {
            for i in 0..HOSTS {
                world.fleet.start(&world.fleet.name(i));
            }
        });
        f.run(|case| match runtime.block_on(world.run(case)) {
            Ok(text) => format!("{text}\n"),
            Err(e) => format!("error: {e}\n"),
        });
    });
}
