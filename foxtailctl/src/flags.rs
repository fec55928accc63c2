//! The flags and subcommands of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// The action of the `drain` command.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DrainAction {
    /// Show the plan of the drain without starting it.
    Plan,
    /// Start the drain of a zone.
    Start,
    /// Stop the drain of a zone.
    Stop,
    /// Print all drained zones.
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
    /// Operates foxtailrouter: workspaces, drains, status and explanations of requests.
    cmd foxtailctl {
        /// Address of the platform's store, IP:PORT; default: `store` in the settings file.
        optional --store store: SocketAddr
        /// Settings file, JSON; default: the file named by FOXTAIL_SETTINGS.
        optional --settings settings: PathBuf
        /// Print the results as JSON.
        optional --json

        /// Create, change and show workspaces.
        cmd workspace {
            /// Create a workspace from a template and its parameters.
            cmd create {
                /// The template, a JSON file.
                required --template template: PathBuf
                /// The parameters, a JSON file.
                required --params params: PathBuf
                /// Seconds to wait until the change is in force on all hosts; default: 10.
                optional --wait wait: u64
            }
            /// Show the effects of a change without making it.
            cmd plan {
                /// The edited output of `workspace show`.
                required file: PathBuf
            }
            /// Make a change.
            cmd apply {
                /// The edited output of `workspace show`.
                required file: PathBuf
                /// The reason for the change, stored in the history.
                optional --note note: String
                /// Seconds to wait until the change is in force on all hosts; default: 10.
                optional --wait wait: u64
            }
            /// Print the newest version, to be edited and applied.
            cmd show {
                /// The workspace.
                required workspace: String
            }
            /// Print the versions, the newest first.
            cmd history {
                /// The workspace.
                required workspace: String
            }
            /// Apply an earlier version again, as a new version.
            cmd rollback {
                /// The workspace.
                required workspace: String
                /// The version to apply again.
                required --to to: u64
                /// Seconds to wait until the change is in force on all hosts; default: 10.
                optional --wait wait: u64
            }
        }
        /// Drain zones without losing requests: `drain plan ZONE`, `drain start ZONE`,
        /// `drain stop ZONE` or `drain status`.
        cmd drain {
            /// plan, start, stop or status.
            required action: DrainAction
            /// The zone; required unless the action is status.
            optional zone: String
            /// Start the drain even if its plan is refused, such as for overload.
            optional --force
            /// Seconds to wait until the change is in force on all hosts; default: 10.
            optional --wait wait: u64
        }
        /// Print the state of the site: hosts, versions, upstreams and headroom.
        cmd status {}
        /// Check a configuration file in the format of the platform's store, without a store.
        cmd check {
            /// The configuration, a JSON file.
            required file: PathBuf
        }
        /// Explain how a request was handled, from the logs of hosts.
        cmd explain {
            /// The identifier that the caller gave to the request.
            required request: String
            /// A log file of a host; `-` is standard input. May be given several times.
            repeated --log log: PathBuf
        }
    }
}
