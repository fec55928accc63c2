//! The `drain` commands.

use foxtail_config::DrainTarget;
use foxtail_types::NameError;
use foxtail_wire::operator::OperatorClient;

use crate::client::Client;
use crate::exit::Failure;
use crate::flags::{Drain, DrainAction};
use crate::output::Output;
use crate::wait::until_in_force;

pub(crate) async fn run(cmd: &Drain, client: &Client, out: &Output) -> Result<(), Failure> {
    if let DrainAction::Status = cmd.action {
        out.drains(&client.call(async |host| host.drain_status().await).await?);
        return Ok(());
    }
    let target = target(cmd)?;
    let accepted = if let DrainAction::Stop = cmd.action {
        client.call(async |host| host.drain_stop(target.clone()).await).await?
    } else {
        let planned = client.call(async |host| host.drain_plan(target.clone()).await).await?;
        out.plan(&planned);
        if let DrainAction::Plan = cmd.action {
            return Ok(());
        }
        client.call(async |host| host.drain_start(target.clone()).await).await?
    };
    until_in_force(&accepted, cmd.wait, client, out).await
}

fn target(cmd: &Drain) -> Result<DrainTarget, Failure> {
    let (Some(kind), Some(name)) = (&cmd.kind, &cmd.name) else {
        return Err(Failure::Usage("name what is meant, for example `zone sabah-a`".to_owned()));
    };
    let error = |e: NameError| Failure::Usage(e.to_string());
    match kind.as_str() {
        "upstream" => name.parse().map(DrainTarget::Upstream).map_err(error),
        "zone" => name.parse().map(DrainTarget::Zone).map_err(error),
        "region" => name.parse().map(DrainTarget::Region).map_err(error),
        "host" => name.parse().map(DrainTarget::Host).map_err(error),
        other => {
            let text =
                format!("`{other}` can't be drained; accepted: upstream, zone, region, host");
            Err(Failure::Usage(text))
        }
    }
}
