use foxtail_config::headroom::Site;
use foxtail_config::{Drain, DrainTarget, Plan, plan};
use foxtail_types::prelude::*;

use super::commit::Draft;
use super::workspaces::{demands, loads, network};
use super::{Accepted, Admin, Error, Planned};
use crate::msg::Item;
use crate::rows::DrainsRow;
use crate::store::{self, Loaded};

impl Admin {
    /// Plans a drain without starting it.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no such target or the store can't be read.
    pub async fn drain_plan(&self, target: &DrainTarget) -> Result<Planned, Error> {
        let loaded = store::load(self.table.as_ref()).await?;
        let plan = self.plan_drain(&loaded, target)?;
        Ok(Planned { plan, now: loaded.drains.version })
    }

    /// Starts a drain. One that is under way already stays as it is.
    ///
    /// # Errors
    ///
    /// [`Error`]; nothing was changed unless it is [`Error::Unsettled`].
    pub async fn drain_start(
        &self,
        operator: &str,
        target: &DrainTarget,
    ) -> Result<Accepted, Error> {
        let started = self.clock.wall();
        let draft = |loaded: &Loaded, version: Version| {
            let mut drains = loaded.drains.drains.clone();
            if drains.iter().any(|drain| drain.target == *target) {
                return Ok(None);
            }
            let plan = self.plan_drain(loaded, target)?;
            if !plan.refused.is_empty() {
                return Err(Error::Refused(plan.refused));
            }
            drains.push(Drain { target: target.clone(), started });
            Ok(Some(draft(version, drains)))
        };
        self.commit(operator, &draft).await
    }

    /// Stops a drain. Stopping one that is not under way changes nothing.
    ///
    /// # Errors
    ///
    /// [`Error`]; nothing was changed unless it is [`Error::Unsettled`].
    pub async fn drain_stop(
        &self,
        operator: &str,
        target: &DrainTarget,
    ) -> Result<Accepted, Error> {
        let draft = |loaded: &Loaded, version: Version| {
            let mut drains = loaded.drains.drains.clone();
            let before = drains.len();
            drains.retain(|drain| drain.target != *target);
            Ok((drains.len() < before).then(|| draft(version, drains)))
        };
        self.commit(operator, &draft).await
    }

    fn plan_drain(&self, loaded: &Loaded, target: &DrainTarget) -> Result<Plan, Error> {
        let network = network(loaded)?;
        if !self.exists(loaded, target)? {
            return Err(Error::NotFound(target.to_string()));
        }
        let demands = demands(loaded, None);
        let site = Site { network, loads: loads(&demands), drains: &loaded.drains.drains };
        Ok(plan::drain(&site, target, self.clock.wall()))
    }

    fn exists(&self, loaded: &Loaded, target: &DrainTarget) -> Result<bool, Error> {
        let regions = &network(loaded)?.regions;
        let services = loaded.workspaces.values().flat_map(|row| &row.workspace.services);
        Ok(match target {
            DrainTarget::Region(id) => regions.iter().any(|region| region.id == *id),
            DrainTarget::Zone(id) => regions.iter().any(|region| region.zones.contains(id)),
            DrainTarget::Upstream(id) => {
                services.flat_map(|service| &service.upstreams).any(|up| up.id == *id)
            }
            DrainTarget::Host(id) => self.roster.view().get(id).is_some(),
        })
    }
}

fn draft(version: Version, drains: Vec<Drain>) -> Draft {
    let row = DrainsRow { version, drains: drains.clone() };
    Draft::new(Item::Drains(drains), &row)
}
