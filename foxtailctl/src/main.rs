//! The operators' command line.
//!
//! Exit codes: 0 done; 1 another error; 2 wrong usage; 3 input not accepted or change refused;
//! 4 somebody else changed the same thing first; 5 accepted, but not in force everywhere in time;
//! 6 no host reached or store unavailable, nothing changed; 7 unknown whether the change took
//! effect.

mod client;
mod drains;
mod exit;
mod flags;
mod network;
mod output;
mod settings;
mod site;
mod story;
mod wait;
mod workspaces;

use std::process::ExitCode;

use crate::client::Client;
use crate::exit::Failure;
use crate::flags::{Foxtailctl, FoxtailctlCmd};
use crate::output::Output;
use crate::settings::Settings;

fn main() -> ExitCode {
    let flags = Foxtailctl::from_env_or_exit();
    let out = Output::new(flags.json);
    match start(flags, &out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            out.failure(&failure);
            failure.code()
        }
    }
}

fn start(flags: Foxtailctl, out: &Output) -> Result<(), Failure> {
    if let FoxtailctlCmd::Explain(cmd) = &flags.subcommand
        && !cmd.log.is_empty()
    {
        return story::tell(&cmd.what, &cmd.log, out);
    }
    let settings = Settings::load(&flags)?;
    let client = Client::new(&settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failure::Other(e.into()))?;
    runtime.block_on(run(flags.subcommand, &client, out))
}

async fn run(cmd: FoxtailctlCmd, client: &Client, out: &Output) -> Result<(), Failure> {
    match cmd {
        FoxtailctlCmd::Workspace(cmd) => workspaces::run(cmd.subcommand, client, out).await,
        FoxtailctlCmd::Network(cmd) => network::run(&cmd, client, out).await,
        FoxtailctlCmd::Drain(cmd) => drains::run(&cmd, client, out).await,
        FoxtailctlCmd::Status(_) => site::status(client, out).await,
        FoxtailctlCmd::Explain(cmd) => site::explain(&cmd.what, client, out).await,
    }
}
