//! The host process: reads its settings, serves until a signal stops it, and shuts down gracefully.

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
