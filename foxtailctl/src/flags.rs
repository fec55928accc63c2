//! The command line's flags.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// What to do with the network.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NetworkAction {
    /// Print it.
    Show,
    /// Show what a change would do.
    Plan,
    /// Change it.
    Apply,
}

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

impl FromStr for NetworkAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "show" => Ok(Self::Show),
            "plan" => Ok(Self::Plan),
            "apply" => Ok(Self::Apply),
            _ => Err("accepted: show, plan, apply".to_owned()),
        }
    }
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
    /// Drives foxtailrouter: workspaces, network and drains.
    cmd foxtailctl {
        /// Operator address of a host, IP:PORT. May be given several times: the next is tried when
        /// one can't be reached.
        repeated --host host: SocketAddr
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
        /// Regions, zones and links: `network show`, `network plan FILE --base N` or
        /// `network apply FILE --base N`.
        cmd network {
            /// show, plan or apply.
            required action: NetworkAction
            /// What `network show` printed, changed.
            optional file: PathBuf
            /// The version that `network show` told; 0 for the first network.
            optional --base base: u64
            /// Seconds to wait until it is in force everywhere.
            optional --wait wait: u64
        }
        /// Drains, planned stops that lose nothing: `drain plan KIND NAME`, `drain start KIND NAME`,
        /// `drain stop KIND NAME` or `drain status`, where KIND is upstream, zone, region or host.
        cmd drain {
            /// plan, start, stop or status.
            required action: DrainAction
            /// upstream, zone, region or host.
            optional kind: String
            /// Its name.
            optional name: String
            /// Seconds to wait until it is in force everywhere.
            optional --wait wait: u64
        }
        /// Print the state of the site: hosts, versions and headroom.
        cmd status {}
        /// Print the last decisions on a request or a workspace. With logs of entry hosts, tell the
        /// story of a request from them; no host is asked.
        cmd explain {
            /// A workspace, or the identifier in an answer's x-foxtail-request header; with logs, the
            /// identifier that the caller gave its request.
            required what: String
            /// A log of an entry host; `-` is standard input. May be given several times.
            repeated --log log: PathBuf
        }
    }
}
