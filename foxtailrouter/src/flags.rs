//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one host of foxtailrouter.
    cmd foxtailrouter {
        /// Runs a host that takes its configuration from its own operators.
        default cmd host {
            /// The settings file, in JSON.
            required --config config: PathBuf
            /// Checks the settings and exits.
            optional --check
            /// Which events are logged, for example `info` or `foxtail_node=debug`.
            optional --log log: String
        }
        /// Runs an entry host, whose configuration and upstreams stand in the platform's store.
        cmd entry {
            /// The settings file, in JSON. Left out, it is the one that the platform names.
            optional --config config: PathBuf
            /// Checks the settings and exits.
            optional --check
            /// Which events are logged, for example `info` or `foxtail_entry=debug`.
            optional --log log: String
        }
    }
}
