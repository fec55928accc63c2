//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one host of foxtailrouter.
    cmd foxtailrouter {
        /// The settings file, in JSON.
        required --config config: PathBuf
        /// Checks the settings and exits.
        optional --check
        /// Which events are logged, for example `info` or `foxtail_node=debug`.
        optional --log log: String
    }
}
