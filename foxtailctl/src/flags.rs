//! The command line's flags.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// What to do with a drain.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DrainAction {
    /// Show what it would do.
    Plan,
    /// Start it.
    Start,
    /// Stop it.
    Stop,
    /// Print all.
    Status,
}

impl FromStr for DrainAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "plan" => Ok(Self::Plan),
            "start" => Ok(Self::Start),
            "stop" => Ok(Self::Stop),
            "status" => Ok(Self::Status),
            _ => Err("accepted: plan, start, stop, status".to_owned()),
        }
    }
}

xflags::xflags! {
    /// Drives foxtailrouter: workspaces and drains.
    cmd foxtailctl {
        /// The platform's store, IP:PORT; else the one in the settings file.
        optional --store store: SocketAddr
        /// Settings file; else the one named by FOXTAIL_SETTINGS.
        optional --settings settings: PathBuf
        /// Print JSON.
        optional --json

        /// Workspaces.
        cmd workspace {
            /// Make a workspace from a template and its parameters.
            cmd create {
                /// The template, a JSON file.
                required --template template: PathBuf
                /// The parameters, a JSON file.
                required --params params: PathBuf
                /// Seconds to wait until it is in force everywhere.
                optional --wait wait: u64
            }
            /// Show what a change would do, without making it.
            cmd plan {
                /// What `workspace show` printed, changed.
                required file: PathBuf
            }
            /// Make a change.
            cmd apply {
                /// What `workspace show` printed, changed.
                required file: PathBuf
                /// What the change is for, kept in the history.
                optional --note note: String
                /// Seconds to wait until it is in force everywhere.
                optional --wait wait: u64
            }
            /// Print what is in force, to be changed and applied.
            cmd show {
                /// The workspace.
                required workspace: String
            }
            /// Print the versions, the newest first.
            cmd history {
                /// The workspace.
                required workspace: String
            }
            /// Make a former version the newest one.
            cmd rollback {
                /// The workspace.
                required workspace: String
                /// The version to go back to.
                required --to to: u64
                /// Seconds to wait until it is in force everywhere.
                optional --wait wait: u64
            }
        }
        /// Drains of zones, which lose nothing: `drain plan ZONE`, `drain start ZONE`,
        /// `drain stop ZONE` or `drain status`.
        cmd drain {
            /// plan, start, stop or status.
            required action: DrainAction
            /// The zone.
            optional zone: String
            /// Start it even if the rest can't carry the expected load.
            optional --force
            /// Seconds to wait until it is in force everywhere.
            optional --wait wait: u64
        }
        /// Print the state of the site: hosts, versions, upstreams and headroom.
        cmd status {}
        /// Check a configuration as the platform's store holds it, without a store.
        cmd check {
            /// The configuration, a JSON file.
            required file: PathBuf
        }
        /// Tell the story of a request from the logs of hosts.
        cmd explain {
            /// The identifier that the caller gave its request.
            required request: String
            /// A log of a host; `-` is standard input. May be given several times.
            repeated --log log: PathBuf
        }
    }
}
