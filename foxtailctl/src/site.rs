//! The `status` and `explain` commands.

use foxtail_types::prelude::*;
use foxtail_wire::operator::{Asked, OperatorClient};

use crate::client::Client;
use crate::exit::Failure;
use crate::output::Output;

pub(crate) async fn status(client: &Client, out: &Output) -> Result<(), Failure> {
    out.status(&client.call(async |host| host.status().await).await?);
    Ok(())
}

/// Asks every host, since each knows its own decisions alone.
pub(crate) async fn explain(what: &str, client: &Client, out: &Output) -> Result<(), Failure> {
    let asked = asked(what)?;
    let status = client.call(async |host| host.status().await).await?;
    let mut found = Vec::new();
    for host in &status.hosts {
        let one = client.at(host.operator)?;
        match one.call(async |host| host.explain(asked.clone()).await).await {
            Ok(decisions) => found.extend(decisions),
            Err(e) => out.note(&format!("host {} did not answer: {e}", host.id)),
        }
    }
    found.sort_by_key(|found| found.decision.at);
    out.explained(&found);
    Ok(())
}

fn asked(what: &str) -> Result<Asked, Failure> {
    if let Ok(id) = serde_json::from_value::<RequestId>(what.into()) {
        return Ok(Asked::Request(id));
    }
    let id = WorkspaceId::new(what).map_err(|e| Failure::Usage(e.to_string()))?;
    Ok(Asked::Workspace(id))
}
