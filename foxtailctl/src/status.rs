//! The `status` command.

use crate::client::Client;
use crate::failure::Failure;
use crate::output::Output;

pub(crate) async fn run(client: &Client, out: &Output) -> Result<(), Failure> {
    let view = client.read_store().await?;
    let hosts = client.host_statuses(&view.stored.hosts).await;
    out.print_status(&view, &hosts);
    Ok(())
}
