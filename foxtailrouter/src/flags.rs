//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one host of foxtailrouter.
    cmd foxtailrouter {
        /// The settings file, in JSON. Left out, it is the one that the platform names.
        optional --config config: PathBuf
        /// Checks the settings and exits.
        optional --check
        /// Which events are logged, for example `info` or `foxtail_entry=debug`.
        optional --log log: String
    }
}
