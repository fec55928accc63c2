//! The `drain` commands.

use foxtail_config::DrainTarget;
use foxtail_types::NameError;
use foxtail_wire::operator::{DrainStatus, OperatorClient};

use crate::client::Client;
use crate::exit::{Failure, allowed};
use crate::flags::{Drain, DrainAction};
use crate::output::Output;
use crate::wait::until_in_force;

pub(crate) async fn run(cmd: &Drain, client: &Client, out: &Output) -> Result<(), Failure> {
    if let DrainAction::Status = cmd.action {
        return status(client, out).await;
    }
    let target = target(cmd)?;
    let accepted = if let DrainAction::Stop = cmd.action {
        client.call(async |host| host.drain_stop(target.clone()).await).await?
    } else {
        let planned = client.call(async |host| host.drain_plan(target.clone()).await).await?;
        if let DrainAction::Plan = cmd.action {
            out.plan(&planned);
            return allowed(&planned.plan);
        }
        out.preview(&planned);
        allowed(&planned.plan)?;
        client.call(async |host| host.drain_start(target.clone()).await).await?
    };
    until_in_force(&accepted, cmd.wait, client, out).await
}

/// Asks every host, since each knows its own requests alone.
async fn status(client: &Client, out: &Output) -> Result<(), Failure> {
    let mut drains = client.call(async |host| host.drain_status().await).await?;
    drains.iter_mut().for_each(|drain| drain.in_flight = 0);
    let status = client.call(async |host| host.status().await).await?;
    for host in &status.hosts {
        let one = client.at(host.operator)?;
        match one.call(async |host| host.drain_status().await).await {
            Ok(theirs) => add(&mut drains, &theirs),
            Err(e) => out.note(&format!("host {} did not answer: {e}", host.id)),
        }
    }
    out.drains(&drains);
    Ok(())
}

fn add(drains: &mut [DrainStatus], theirs: &[DrainStatus]) {
    for drain in drains {
        let same = theirs.iter().find(|other| other.drain.target == drain.drain.target);
        drain.in_flight += same.map_or(0, |same| same.in_flight);
    }
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
