//! The host process: reads its settings, runs until it is told to stop, and stops gracefully.

mod flags;
mod host;

use std::process::ExitCode;

use crate::flags::Foxtailrouter;

fn main() -> ExitCode {
    match host::run(&Foxtailrouter::from_env_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("foxtailrouter: {e:#}");
            ExitCode::FAILURE
        }
    }
}
