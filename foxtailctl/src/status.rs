//! The `status` command.

use crate::exit::Failure;
use crate::output::Output;
use crate::site::Client;

pub(crate) async fn run(client: &Client, out: &Output) -> Result<(), Failure> {
    let view = client.view().await?;
    let hosts = client.hosts(&view.found.hosts).await;
    out.status(&view, &hosts);
    Ok(())
}
