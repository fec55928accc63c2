//! The `workspace` commands.

use foxtail_config::plan::{self, ConfigWithDemand, InputChange, Plan};
use foxtail_config::{WorkspaceConfig, compile};
use foxtail_steer::Config;
use foxtail_time::{BootClock, Clock};
use foxtail_types::prelude::*;

use crate::client::{Client, StoreView};
use crate::failure::{Failure, ensure_allowed, ensure_applied};
use crate::flags::WorkspaceCmd;
use crate::input::{Input, StoredVersion, history_prefix, read_json};
use crate::output::Output;

/// The plan of a change, with the configuration after it.
struct PlannedChange {
    plan: Plan,
    cfg: Config,
}

pub(crate) async fn run(cmd: WorkspaceCmd, client: &Client, out: &Output) -> Result<(), Failure> {
    match cmd {
        WorkspaceCmd::Create(cmd) => {
            let (template, params) = (read_json(&cmd.template)?, read_json(&cmd.params)?);
            let input = Input { base: Version(0), template, params };
            apply(input, "created", cmd.wait, client, out).await
        }
        WorkspaceCmd::Plan(cmd) => {
            let input: Input = read_json(&cmd.file)?;
            let planned = plan_change(&client.read_store().await?, &input)?;
            out.print_plan(&planned.plan);
            ensure_allowed(&planned.plan)
        }
        WorkspaceCmd::Apply(cmd) => {
            let note = cmd.note.unwrap_or_default();
            apply(read_json(&cmd.file)?, &note, cmd.wait, client, out).await
        }
        WorkspaceCmd::Show(cmd) => {
            let view = client.read_store().await?;
            let stored = newest_version(&view, &parse_workspace(&cmd.workspace)?)?.clone();
            let StoredVersion { version, template, params, .. } = stored;
            out.print_json(&Input { base: version, template, params });
            Ok(())
        }
        WorkspaceCmd::History(cmd) => {
            let view = client.read_store().await?;
            let name = parse_workspace(&cmd.workspace)?;
            newest_version(&view, &name)?;
            out.print_history(&stored_versions(&view, &name)?);
            Ok(())
        }
        WorkspaceCmd::Rollback(cmd) => {
            let view = client.read_store().await?;
            let name = parse_workspace(&cmd.workspace)?;
            let base = newest_version(&view, &name)?.version;
            let earlier = stored_versions(&view, &name)?
                .into_iter()
                .find(|stored| stored.version.0 == cmd.to);
            let earlier = earlier
                .ok_or_else(|| Failure::NotFound(format!("{name} has no version {}", cmd.to)))?;
            let input = Input { base, template: earlier.template, params: earlier.params };
            apply(input, &format!("back to version {}", cmd.to), cmd.wait, client, out).await
        }
    }
}

async fn apply(
    input: Input,
    note: &str,
    wait_s: Option<u64>,
    client: &Client,
    out: &Output,
) -> Result<(), Failure> {
    let view = client.read_store().await?;
    let PlannedChange { plan, cfg } = plan_change(&view, &input)?;
    out.print_preview(&plan);
    ensure_allowed(&plan)?;
    if plan.changes.is_empty() {
        out.print_unchanged(view.cfg.version);
        return Ok(());
    }
    let stored = StoredVersion {
        version: input.base.next(),
        config: cfg.version,
        at: BootClock.wall(),
        operator: client.settings.operator.clone(),
        note: note.to_owned(),
        template: input.template,
        params: input.params,
    };
    let value = serde_json::to_vec(&stored).map_err(anyhow::Error::from)?;
    let records = stored.row_keys().map(|key| (key, value.clone()));
    let applied = client.store.apply(&view.stored, &cfg, &records).await;
    ensure_applied(applied.map_err(Failure::from_change)?)?;
    let is_in_force = |status: &foxtail_operator::Status| status.version >= Some(cfg.version);
    let hosts =
        client.wait_until_in_force(&view.stored.hosts, cfg.version, wait_s, is_in_force).await?;
    out.print_applied(stored.version, cfg.version, hosts);
    Ok(())
}

/// Plans the change of the store's content in `view` to `input`.
///
/// # Errors
///
/// Returns [`Failure::Conflict`] if `input` was not made from the newest version of the workspace,
/// and [`Failure::Invalid`] if its template or parameters are not accepted.
fn plan_change(view: &StoreView, input: &Input) -> Result<PlannedChange, Failure> {
    let name = &input.params.workspace;
    let old = view.newest_version(name);
    let current = old.map_or(Version(0), |stored| stored.version);
    if current != input.base {
        return Err(Failure::Conflict(match (current.0, input.base.0) {
            (_, 0) => format!(
                "workspace {name} exists already, at version {current}; the input is for a new one"
            ),
            (0, _) => {
                format!("there is no workspace {name}, but the input was made from a version of it")
            }
            _ => format!("workspace {name} is at version {current}, not at {}", input.base),
        }));
    }
    let compiled: WorkspaceConfig =
        compile(&input.template, &input.params, &view.site).map_err(Failure::Invalid)?;
    let cfg = compiled.apply_to(&view.cfg, name, view.cfg.version.next());
    let (before, mut after) = (view.demand(None), view.demand(Some(name)));
    after.extend(compiled.demand.iter().cloned());
    let input_change = InputChange {
        old: old.map(|stored| (&stored.template, &stored.params)),
        new: (&input.template, &input.params),
    };
    let plan = plan::change(
        &input_change,
        ConfigWithDemand { cfg: &view.cfg, demand: &before },
        ConfigWithDemand { cfg: &cfg, demand: &after },
        &view.site,
    );
    Ok(PlannedChange { plan, cfg })
}

fn newest_version<'v>(
    view: &'v StoreView,
    name: &WorkspaceId,
) -> Result<&'v StoredVersion, Failure> {
    view.newest_version(name)
        .ok_or_else(|| Failure::NotFound(format!("there is no workspace {name}")))
}

/// Returns all stored versions of a workspace, the newest first.
fn stored_versions(view: &StoreView, name: &WorkspaceId) -> Result<Vec<StoredVersion>, Failure> {
    let prefix = history_prefix(name);
    let stored = view.stored.tool_records.iter().filter(|(key, _)| key.starts_with(&prefix));
    let stored = stored.map(|(_, value)| serde_json::from_slice(value));
    let mut versions: Vec<StoredVersion> =
        stored.collect::<Result<_, _>>().map_err(anyhow::Error::from)?;
    versions.reverse();
    Ok(versions)
}

fn parse_workspace(text: &str) -> Result<WorkspaceId, Failure> {
    WorkspaceId::new(text).map_err(|e| Failure::Usage(e.to_string()))
}
