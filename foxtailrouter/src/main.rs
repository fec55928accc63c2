//! The host process: reads its settings, runs until it is told to stop, and stops gracefully.

mod entry;
mod flags;
mod host;

use std::process::ExitCode;

use crate::flags::{Foxtailrouter, FoxtailrouterCmd};

fn main() -> ExitCode {
    let result = match Foxtailrouter::from_env_or_exit().subcommand {
        FoxtailrouterCmd::Host(flags) => host::run(&flags),
        FoxtailrouterCmd::Entry(flags) => entry::run(&flags),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("foxtailrouter: {e:#}");
            ExitCode::FAILURE
        }
    }
}
