//! The `drain` commands.

use foxtail_config::plan::{self, Loaded};
use foxtail_types::prelude::*;

use crate::exit::{Failure, allowed, done};
use crate::flags::{Drain, DrainAction};
use crate::output::Output;
use crate::site::Client;

pub(crate) async fn run(cmd: &Drain, client: &Client, out: &Output) -> Result<(), Failure> {
    let view = client.view().await?;
    if let DrainAction::Status = cmd.action {
        out.drains(&view);
        return Ok(());
    }
    let zone = zone(cmd)?;
    let on = !matches!(cmd.action, DrainAction::Stop);
    if on {
        let demand = view.demand(None);
        let loaded = Loaded { cfg: &view.cfg, demand: &demand };
        let plan = plan::evacuation(&zone, loaded, &view.site);
        if let DrainAction::Plan = cmd.action {
            out.plan(&plan);
            return allowed(&plan);
        }
        out.preview(&plan);
        if !cmd.force {
            allowed(&plan)?;
        }
    } else if !view.site.evacuated.contains(&zone) {
        return Err(Failure::NotFound(format!("zone {zone} is not drained")));
    }
    done(client.store.set_evacuated(&zone, on).await.map_err(Failure::of_change)?)?;
    let holds = |status: &foxtail_operator::Status| status.evacuated.contains(&zone) == on;
    let version = view.cfg.version;
    let hosts = client.until_in_force(&view.found.hosts, version, cmd.wait, holds).await?;
    out.drained(&zone, on, hosts);
    Ok(())
}

fn zone(cmd: &Drain) -> Result<ZoneId, Failure> {
    let name = cmd.zone.as_ref().ok_or_else(|| Failure::Usage("name the zone".to_owned()))?;
    ZoneId::new(name).map_err(|e| Failure::Usage(e.to_string()))
}
