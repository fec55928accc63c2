//! The `workspace` commands.

use std::path::Path;

use foxtail_config::{Params, Template};
use foxtail_sync::admin::Input;
use foxtail_types::prelude::*;
use foxtail_wire::operator::OperatorClient;
use serde::de::DeserializeOwned;

use crate::client::Client;
use crate::exit::{Failure, allowed};
use crate::flags::WorkspaceCmd;
use crate::output::Output;
use crate::wait::until_in_force;

pub(crate) async fn run(cmd: WorkspaceCmd, client: &Client, out: &Output) -> Result<(), Failure> {
    match cmd {
        WorkspaceCmd::Create(cmd) => {
            let template: Template = read(&cmd.template)?;
            let params: Params = read(&cmd.params)?;
            let input = Input { base: Version(0), template, params };
            apply(&input, "created", cmd.wait, client, out).await
        }
        WorkspaceCmd::Plan(cmd) => {
            let input: Input = read(&cmd.file)?;
            let planned =
                client.call(async |host| host.workspace_plan(input.clone()).await).await?;
            out.preview(&planned);
            allowed(&planned.plan)?;
            allowed(&planned.plan)
        }
        WorkspaceCmd::Apply(cmd) => {
            let note = cmd.note.unwrap_or_default();
            apply(&read(&cmd.file)?, &note, cmd.wait, client, out).await
        }
        WorkspaceCmd::Show(cmd) => {
            let id = name(&cmd.workspace)?;
            out.json(&client.call(async |host| host.workspace_show(id.clone()).await).await?);
            Ok(())
        }
        WorkspaceCmd::History(cmd) => {
            let id = name(&cmd.workspace)?;
            let entries =
                client.call(async |host| host.workspace_history(id.clone()).await).await?;
            out.history(&entries);
            Ok(())
        }
        WorkspaceCmd::Rollback(cmd) => {
            let id = name(&cmd.workspace)?;
            let base = client.call(async |host| host.workspace_show(id.clone()).await).await?.base;
            let to = Version(cmd.to);
            let rollback = async |host: &jsonrpsee::http_client::HttpClient| {
                host.workspace_rollback(id.clone(), to, base).await
            };
            let accepted = client.call(rollback).await?;
            until_in_force(&accepted, cmd.wait, client, out).await
        }
    }
}

async fn apply(
    input: &Input,
    note: &str,
    wait: Option<u64>,
    client: &Client,
    out: &Output,
) -> Result<(), Failure> {
    let planned = client.call(async |host| host.workspace_plan(input.clone()).await).await?;
    out.plan(&planned);
    let apply = async |host: &jsonrpsee::http_client::HttpClient| {
        host.workspace_apply(input.clone(), note.to_owned()).await
    };
    let accepted = client.call(apply).await?;
    until_in_force(&accepted, wait, client, out).await
}

pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let error = |e: String| Failure::Usage(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| error(e.to_string()))
}

fn name(text: &str) -> Result<WorkspaceId, Failure> {
    WorkspaceId::new(text).map_err(|e| Failure::Usage(e.to_string()))
}
