//! The `workspace` commands.

use foxtail_config::plan::{self, Inputs, Loaded, Plan};
use foxtail_config::{Part, compile};
use foxtail_steer::Config;
use foxtail_time::{BootClock, Clock};
use foxtail_types::prelude::*;

use crate::exit::{Failure, allowed, done};
use crate::flags::WorkspaceCmd;
use crate::input::{Input, Kept, history, read};
use crate::output::Output;
use crate::site::{Client, View};

/// A change that is planned.
struct Planned {
    plan: Plan,
    cfg: Config,
}

pub(crate) async fn run(cmd: WorkspaceCmd, client: &Client, out: &Output) -> Result<(), Failure> {
    match cmd {
        WorkspaceCmd::Create(cmd) => {
            let (template, params) = (read(&cmd.template)?, read(&cmd.params)?);
            let input = Input { base: Version(0), template, params };
            apply(input, "created", cmd.wait, client, out).await
        }
        WorkspaceCmd::Plan(cmd) => {
            let input: Input = read(&cmd.file)?;
            let planned = planned(&client.view().await?, &input)?;
            out.plan(&planned.plan);
            allowed(&planned.plan)
        }
        WorkspaceCmd::Apply(cmd) => {
            let note = cmd.note.unwrap_or_default();
            apply(read(&cmd.file)?, &note, cmd.wait, client, out).await
        }
        WorkspaceCmd::Show(cmd) => {
            let view = client.view().await?;
            let kept = newest(&view, &name(&cmd.workspace)?)?.clone();
            let Kept { version, template, params, .. } = kept;
            out.json(&Input { base: version, template, params });
            Ok(())
        }
        WorkspaceCmd::History(cmd) => {
            let view = client.view().await?;
            let name = name(&cmd.workspace)?;
            newest(&view, &name)?;
            out.history(&versions(&view, &name)?);
            Ok(())
        }
        WorkspaceCmd::Rollback(cmd) => {
            let view = client.view().await?;
            let name = name(&cmd.workspace)?;
            let base = newest(&view, &name)?.version;
            let former = versions(&view, &name)?.into_iter().find(|kept| kept.version.0 == cmd.to);
            let former = former
                .ok_or_else(|| Failure::NotFound(format!("{name} has no version {}", cmd.to)))?;
            let input = Input { base, template: former.template, params: former.params };
            apply(input, &format!("back to version {}", cmd.to), cmd.wait, client, out).await
        }
    }
}

async fn apply(
    input: Input,
    note: &str,
    wait: Option<u64>,
    client: &Client,
    out: &Output,
) -> Result<(), Failure> {
    let view = client.view().await?;
    let Planned { plan, cfg } = planned(&view, &input)?;
    out.preview(&plan);
    allowed(&plan)?;
    if plan.changes.is_empty() {
        out.unchanged(view.cfg.version);
        return Ok(());
    }
    let kept = Kept {
        version: input.base.next(),
        config: cfg.version,
        at: BootClock.wall(),
        operator: client.settings.operator.clone(),
        note: note.to_owned(),
        template: input.template,
        params: input.params,
    };
    let value = serde_json::to_vec(&kept).map_err(anyhow::Error::from)?;
    let notes = kept.names().map(|name| (name, value.clone()));
    let applied = client.store.apply(&view.found, &cfg, &notes).await;
    done(applied.map_err(Failure::of_change)?)?;
    let holds = |status: &foxtail_operator::Status| status.version >= Some(cfg.version);
    let hosts = client.until_in_force(&view.found.hosts, cfg.version, wait, holds).await?;
    out.applied(kept.version, cfg.version, hosts);
    Ok(())
}

/// Plans what `input` does to what `view` shows.
fn planned(view: &View, input: &Input) -> Result<Planned, Failure> {
    let name = &input.params.workspace;
    let old = view.newest(name);
    let held = old.map_or(Version(0), |kept| kept.version);
    if held != input.base {
        return Err(Failure::Conflict(match (held.0, input.base.0) {
            (_, 0) => format!("workspace {name} exists, at version {held}"),
            (0, _) => format!("there is no workspace {name}"),
            _ => format!("workspace {name} is at version {held}, not at {}", input.base),
        }));
    }
    let part: Part =
        compile(&input.template, &input.params, &view.site).map_err(Failure::Invalid)?;
    let cfg = part.laid_over(&view.cfg, name, view.cfg.version.next());
    let (before, mut after) = (view.demand(None), view.demand(Some(name)));
    after.extend(part.demand.iter().cloned());
    let inputs = Inputs {
        old: old.map(|kept| (&kept.template, &kept.params)),
        new: (&input.template, &input.params),
    };
    let plan = plan::change(
        &inputs,
        Loaded { cfg: &view.cfg, demand: &before },
        Loaded { cfg: &cfg, demand: &after },
        &view.site,
    );
    Ok(Planned { plan, cfg })
}

fn newest<'v>(view: &'v View, name: &WorkspaceId) -> Result<&'v Kept, Failure> {
    view.newest(name).ok_or_else(|| Failure::NotFound(format!("there is no workspace {name}")))
}

/// All versions of a workspace, the newest first.
fn versions(view: &View, name: &WorkspaceId) -> Result<Vec<Kept>, Failure> {
    let prefix = history(name);
    let kept = view.found.tool_records.iter().filter(|(name, _)| name.starts_with(&prefix));
    let kept = kept.map(|(_, value)| serde_json::from_slice(value));
    let mut versions: Vec<Kept> = kept.collect::<Result<_, _>>().map_err(anyhow::Error::from)?;
    versions.reverse();
    Ok(versions)
}

fn name(text: &str) -> Result<WorkspaceId, Failure> {
    WorkspaceId::new(text).map_err(|e| Failure::Usage(e.to_string()))
}
