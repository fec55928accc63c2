//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one host of foxtailrouter.
    cmd foxtailrouter {
        /// The settings file, in JSON. The default is the file that the platform names.
        optional --config config: PathBuf
        /// Checks the settings and exits.
        optional --check
        /// The filter of logged events, for example `info` or `foxtail_entry=debug`.
        optional --log log: String
    }
}
