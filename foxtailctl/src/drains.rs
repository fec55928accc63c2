//! The `drain` commands. A drained zone is one that the store lists as evacuated.

use foxtail_config::plan::{self, ConfigWithDemand};
use foxtail_types::prelude::*;

use crate::client::Client;
use crate::failure::{Failure, ensure_allowed, ensure_applied};
use crate::flags::{Drain, DrainAction};
use crate::output::Output;

pub(crate) async fn run(cmd: &Drain, client: &Client, out: &Output) -> Result<(), Failure> {
    let view = client.read_store().await?;
    if let DrainAction::Status = cmd.action {
        out.print_drains(&view);
        return Ok(());
    }
    let zone = parse_zone(cmd)?;
    let evacuate = !matches!(cmd.action, DrainAction::Stop);
    if evacuate {
        let demand = view.demand(None);
        let current = ConfigWithDemand { cfg: &view.cfg, demand: &demand };
        let plan = plan::evacuation(&zone, current, &view.site);
        if let DrainAction::Plan = cmd.action {
            out.print_plan(&plan);
            return ensure_allowed(&plan);
        }
        out.print_preview(&plan);
        if !cmd.force {
            ensure_allowed(&plan)?;
        }
    } else if !view.site.evacuated.contains(&zone) {
        return Err(Failure::NotFound(format!("zone {zone} is not drained")));
    }
    ensure_applied(
        client.store.set_evacuated(&zone, evacuate).await.map_err(Failure::from_change)?,
    )?;
    let is_in_force =
        |status: &foxtail_operator::Status| status.evacuated.contains(&zone) == evacuate;
    let version = view.cfg.version;
    let hosts =
        client.wait_until_in_force(&view.stored.hosts, version, cmd.wait, is_in_force).await?;
    out.print_drained(&zone, evacuate, hosts);
    Ok(())
}

fn parse_zone(cmd: &Drain) -> Result<ZoneId, Failure> {
    let name = cmd
        .zone
        .as_ref()
        .ok_or_else(|| Failure::Usage("no zone given; expected the name of a zone".to_owned()))?;
    ZoneId::new(name).map_err(|e| Failure::Usage(e.to_string()))
}
