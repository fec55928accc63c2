use std::sync::Arc;

use foxtail_config::headroom::{Site, assess};
use foxtail_config::{Headroom, NetworkParams, Plan, compile, diff, plan};
use foxtail_types::prelude::*;

use super::commit::Draft;
use super::workspaces::{demands, loads, network};
use super::{Accepted, Admin, Error, Planned, Shown};
use crate::msg::Item;
use crate::rows::NetworkRow;
use crate::store::{self, Loaded};

impl Admin {
    /// The network, the drains and the workspaces' versions.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store can't be read.
    pub async fn show(&self) -> Result<Shown, Error> {
        let loaded = store::load(self.table.as_ref()).await?;
        let workspaces = loaded.workspaces.values();
        Ok(Shown {
            version: loaded.version,
            network_version: loaded.network.as_ref().map_or(Version(0), |row| row.version),
            network: loaded.network.map(|row| row.params),
            drains: loaded.drains.drains,
            workspaces: workspaces
                .map(|row| (row.workspace.id.clone(), row.workspace.version))
                .collect(),
        })
    }

    /// The headroom of the configuration in force under the expected load.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store can't be read or there is no network yet.
    pub async fn headroom(&self) -> Result<Headroom, Error> {
        let loaded = store::load(self.table.as_ref()).await?;
        let demands = demands(&loaded, None);
        let drains = &loaded.drains.drains;
        Ok(assess(&Site { network: network(&loaded)?, loads: loads(&demands), drains }))
    }

    /// Plans a change of the network without making it.
    ///
    /// # Errors
    ///
    /// [`Error`] if the input is not accepted as it stands.
    pub async fn network_plan(&self, params: &NetworkParams) -> Result<Planned, Error> {
        let loaded = store::load(self.table.as_ref()).await?;
        let now = loaded.network.as_ref().map_or(Version(0), |row| row.version);
        Ok(Planned { plan: plan_network(&loaded, params)?, now })
    }

    /// Sets the network, on top of the one that was set at the global version `base` (0 for the
    /// first one).
    ///
    /// # Errors
    ///
    /// [`Error`]; nothing was changed unless it is [`Error::Unsettled`].
    pub async fn network_apply(
        &self,
        operator: &str,
        params: &NetworkParams,
        base: Version,
    ) -> Result<Accepted, Error> {
        let draft = |loaded: &Loaded, version: Version| {
            let now = loaded.network.as_ref().map_or(Version(0), |row| row.version);
            if loaded.network.as_ref().is_some_and(|row| row.params == *params) {
                return Ok(None);
            }
            if base != now {
                let was = loaded.network.as_ref().map(|row| &row.params);
                let changed = diff::diff(was, Some(params));
                return Err(Error::NetworkMoved { base, now, changed });
            }
            let plan = plan_network(loaded, params)?;
            if !plan.refused.is_empty() {
                return Err(Error::Refused(plan.refused));
            }
            let network = Arc::new(compile::network(params)?);
            let row = NetworkRow { version, params: params.clone(), network };
            Ok(Some(Draft::new(Item::Network(Arc::clone(&row.network)), &row)))
        };
        self.commit(operator, &draft).await
    }
}

fn plan_network(loaded: &Loaded, params: &NetworkParams) -> Result<Plan, Error> {
    let new = compile::network(params)?;
    let Some(old) = &loaded.network else {
        let changes = diff::diff(None, Some(params));
        return Ok(Plan { changes, ..Plan::default() });
    };
    let demands = demands(loaded, None);
    let drains = &loaded.drains.drains;
    let site = Site { network: &old.network, loads: loads(&demands), drains };
    let changes = diff::diff(Some(&old.params), Some(params));
    Ok(Plan { changes, ..plan::network(&site, &new) })
}
