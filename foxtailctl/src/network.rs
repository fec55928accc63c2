//! The `network` commands.

use foxtail_config::NetworkParams;
use foxtail_types::prelude::*;
use foxtail_wire::operator::OperatorClient;

use crate::client::Client;
use crate::exit::{Failure, allowed};
use crate::flags::{Network, NetworkAction};
use crate::output::Output;
use crate::wait::until_in_force;
use crate::workspaces::read;

pub(crate) async fn run(cmd: &Network, client: &Client, out: &Output) -> Result<(), Failure> {
    if let NetworkAction::Show = cmd.action {
        out.shown(&client.call(async |host| host.show().await).await?);
        return Ok(());
    }
    let file = cmd.file.as_ref();
    let file = file.ok_or_else(|| Failure::Usage("name the network's JSON file".to_owned()))?;
    let params: NetworkParams = read(file)?;
    let planned = client.call(async |host| host.network_plan(params.clone()).await).await?;
    if let NetworkAction::Plan = cmd.action {
        out.plan(&planned);
        return allowed(&planned.plan);
    }
    out.preview(&planned);
    allowed(&planned.plan)?;
    let base = cmd.base.map(Version).ok_or_else(|| {
        Failure::Usage("give --base with the version that `network show` told".to_owned())
    })?;
    let apply = async |host: &jsonrpsee::http_client::HttpClient| {
        host.network_apply(params.clone(), base).await
    };
    let accepted = client.call(apply).await?;
    until_in_force(&accepted, cmd.wait, client, out).await
}
