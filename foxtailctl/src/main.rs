//! The command line for operators: workspaces, drains, status and explanations of requests.
//!
//! Exit codes: 0 success; 1 any other error; 2 command line, settings or input file invalid or
//! unreadable, or request not found in the logs; 3 input not accepted, change refused, or
//! workspace, version or drain not found; 4 change by somebody else came first, or input made from
//! another version; 5 change stored, but not in force on all hosts in time; 6 store unreachable or
//! unavailable, nothing changed; 7 unknown whether the change was made.

mod client;
mod drains;
mod explain;
mod failure;
mod flags;
mod input;
mod output;
mod settings;
mod status;
mod workspaces;

use std::process::ExitCode;

use crate::client::Client;
use crate::failure::Failure;
use crate::flags::{Foxtailctl, FoxtailctlCmd};
use crate::output::Output;
use crate::settings::Settings;

fn main() -> ExitCode {
    let flags = Foxtailctl::from_env_or_exit();
    let out = Output::new(flags.json);
    match start(flags, &out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            out.print_failure(&failure);
            failure.exit_code()
        }
    }
}

fn start(flags: Foxtailctl, out: &Output) -> Result<(), Failure> {
    match &flags.subcommand {
        FoxtailctlCmd::Explain(cmd) => return explain::explain(&cmd.request, &cmd.log, out),
        FoxtailctlCmd::Check(cmd) => return input::check_config_file(&cmd.file, out),
        _ => {}
    }
    let settings = Settings::load(&flags)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failure::Other(e.into()))?;
    runtime.block_on(run(flags.subcommand, &Client::new(settings), out))
}

async fn run(cmd: FoxtailctlCmd, client: &Client, out: &Output) -> Result<(), Failure> {
    match cmd {
        FoxtailctlCmd::Workspace(cmd) => workspaces::run(cmd.subcommand, client, out).await,
        FoxtailctlCmd::Drain(cmd) => drains::run(&cmd, client, out).await,
        FoxtailctlCmd::Status(_) => status::run(client, out).await,
        FoxtailctlCmd::Explain(_) | FoxtailctlCmd::Check(_) => {
            unreachable!("handled before the store is opened")
        }
    }
}
