use std::sync::Arc;

use foxtail_config::headroom::{Demand, Load, Site};
use foxtail_config::plan::{self, Plan};
use foxtail_config::{Network, compile, diff};
use foxtail_types::prelude::*;

use super::commit::Draft;
use super::{Accepted, Admin, Conflict, Error, HistoryEntry, Input, Planned};
use crate::msg::Item;
use crate::rows::{self, HistoryRow, WorkspaceRow};
use crate::store::{self, Loaded};

impl Admin {
    /// Plans a change of a workspace without making it.
    ///
    /// # Errors
    ///
    /// [`Error`] if the input is not accepted as it stands or was made from an old version. What
    /// would be refused is told in the plan.
    pub async fn workspace_plan(&self, input: &Input) -> Result<Planned, Error> {
        let loaded = store::load(self.table.as_ref()).await?;
        let now = version_of(&loaded, &input.params.workspace);
        if input.base != now && now != Version(0) && !is_same(&loaded, input) {
            return Err(self.conflict(&loaded, input).await);
        }
        Ok(Planned { plan: plan_workspace(&loaded, input)?, now })
    }

    /// Makes or changes a workspace. Input that changes nothing is accepted and makes no version.
    ///
    /// # Errors
    ///
    /// [`Error`]; nothing was changed unless it is [`Error::Unsettled`].
    pub async fn workspace_apply(
        &self,
        operator: &str,
        input: &Input,
        note: &str,
    ) -> Result<Accepted, Error> {
        let at = self.clock.wall();
        let draft = |loaded: &Loaded, global: Version| {
            let now = version_of(loaded, &input.params.workspace);
            if is_same(loaded, input) {
                return Ok(None);
            }
            if input.base != now {
                return Err(Error::Moved { now });
            }
            let plan = plan_workspace(loaded, input)?;
            if !plan.refused.is_empty() {
                return Err(Error::Refused(plan.refused));
            }
            let version = now.next();
            let row = compiled(loaded, input, global, version)?;
            let item = Item::Workspace(Arc::clone(&row.workspace));
            let history = HistoryRow {
                version,
                global,
                at,
                operator: operator.to_owned(),
                note: note.to_owned(),
                template: input.template.clone(),
                params: input.params.clone(),
            };
            Ok(Some(Draft { history: Some(history), ..Draft::new(item, &row) }))
        };
        match self.commit(operator, &draft).await {
            Err(Error::Moved { .. }) => {
                let loaded = store::load(self.table.as_ref()).await?;
                Err(self.conflict(&loaded, input).await)
            }
            other => other,
        }
    }

    /// The input in force of a workspace, to be changed and applied.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no such workspace or the store can't be read.
    pub async fn workspace_show(&self, id: &WorkspaceId) -> Result<Input, Error> {
        let row: Option<WorkspaceRow> =
            store::read_one(self.table.as_ref(), &rows::workspace_key(id)).await?;
        let row = row.ok_or_else(|| Error::NotFound(format!("workspace {id}")))?;
        let base = row.workspace.version;
        Ok(Input { base, template: row.template, params: row.params })
    }

    /// The versions of a workspace, the newest first.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no such workspace or the store can't be read.
    pub async fn workspace_history(&self, id: &WorkspaceId) -> Result<Vec<HistoryEntry>, Error> {
        let prefix = rows::history_prefix(id);
        let rows: Vec<HistoryRow> = store::read_all(self.table.as_ref(), &prefix).await?;
        if rows.is_empty() {
            return Err(Error::NotFound(format!("workspace {id}")));
        }
        let entry = |row: HistoryRow| HistoryEntry {
            version: row.version,
            global: row.global,
            at: row.at,
            operator: row.operator,
            note: row.note,
        };
        Ok(rows.into_iter().rev().map(entry).collect())
    }

    /// Makes the input of version `to` the newest version. The same checks apply as for a change.
    ///
    /// # Errors
    ///
    /// [`Error`]; nothing was changed unless it is [`Error::Unsettled`].
    pub async fn workspace_rollback(
        &self,
        operator: &str,
        id: &WorkspaceId,
        to: Version,
        base: Version,
    ) -> Result<Accepted, Error> {
        let former = self.former(id, to).await?;
        let former =
            former.ok_or_else(|| Error::NotFound(format!("version {to} of workspace {id}")))?;
        let input = Input { base, template: former.template, params: former.params };
        self.workspace_apply(operator, &input, &format!("rollback to version {to}")).await
    }

    async fn former(
        &self,
        id: &WorkspaceId,
        version: Version,
    ) -> Result<Option<HistoryRow>, store::Error> {
        store::read_one(self.table.as_ref(), &rows::history_key(id, version)).await
    }

    /// What the operator needs to know of the changes that came first.
    async fn conflict(&self, loaded: &Loaded, input: &Input) -> Error {
        let id = &input.params.workspace;
        let Some(row) = loaded.workspaces.get(id) else {
            return Error::NotFound(format!("workspace {id}; a new one starts from base 0"));
        };
        if input.base == Version(0) {
            return Error::Exists(format!("workspace {id}"));
        }
        let now = row.workspace.version;
        let found = (self.former(id, input.base).await, self.former(id, now).await);
        let (Ok(base), Ok(last)) = found else {
            return Error::Unavailable("the history could not be read".to_owned());
        };
        let base = base.map(|former| (former.template, former.params));
        let current = (row.template.clone(), row.params.clone());
        Error::Conflict(Box::new(Conflict {
            workspace: id.clone(),
            base: input.base,
            now,
            operator: last.map_or_else(String::new, |last| last.operator),
            changed: [
                diff::diff(base.as_ref().map(|(t, _)| t), Some(&current.0)),
                diff::diff(base.as_ref().map(|(_, p)| p), Some(&current.1)),
            ]
            .concat(),
        }))
    }
}

/// The workspaces of `loaded` with their expected load, but for `except`.
pub(super) fn demands<'a>(
    loaded: &'a Loaded,
    except: Option<&WorkspaceId>,
) -> Vec<(&'a WorkspaceRow, Vec<Demand>)> {
    let rows = loaded.workspaces.values().filter(|row| Some(&row.workspace.id) != except);
    rows.map(|row| (row, compile::demand(&row.template, &row.params))).collect()
}

pub(super) fn loads<'a>(demands: &'a [(&'a WorkspaceRow, Vec<Demand>)]) -> Vec<Load<'a>> {
    let load = |(row, demand): &'a (&WorkspaceRow, Vec<Demand>)| Load {
        workspace: &row.workspace,
        demand,
    };
    demands.iter().map(load).collect()
}

pub(super) fn network(loaded: &Loaded) -> Result<&Network, Error> {
    let row = loaded.network.as_ref();
    row.map(|row| row.network.as_ref())
        .ok_or_else(|| Error::NotFound("network yet; apply one first".to_owned()))
}

fn plan_workspace(loaded: &Loaded, input: &Input) -> Result<Plan, Error> {
    let id = &input.params.workspace;
    let demands = demands(loaded, Some(id));
    let site =
        Site { network: network(loaded)?, loads: loads(&demands), drains: &loaded.drains.drains };
    let old = loaded.workspaces.get(id).map(|row| (&row.template, &row.params));
    let change = plan::Change { template: &input.template, old, new: &input.params };
    Ok(plan::workspace(&site, &change)?)
}

fn compiled(
    loaded: &Loaded,
    input: &Input,
    global: Version,
    version: Version,
) -> Result<WorkspaceRow, Error> {
    let mut workspace = compile::workspace(&input.template, &input.params, network(loaded)?)?;
    workspace.version = version;
    Ok(WorkspaceRow {
        version: global,
        template: input.template.clone(),
        params: input.params.clone(),
        workspace: Arc::new(workspace),
    })
}

fn version_of(loaded: &Loaded, id: &WorkspaceId) -> Version {
    loaded.workspaces.get(id).map_or(Version(0), |row| row.workspace.version)
}

fn is_same(loaded: &Loaded, input: &Input) -> bool {
    loaded
        .workspaces
        .get(&input.params.workspace)
        .is_some_and(|row| row.params == input.params && row.template == input.template)
}
