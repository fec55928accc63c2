//! Runs a site on one machine under a light load until it is interrupted, to try `foxtailctl` on.
//! Prints the settings for `foxtailctl` as JSON.

#![allow(clippy::print_stdout, reason = "printing is what this program does")]

use std::time::Duration;

use anyhow::Result;
use foxtail_lab::load::{self, Options};
use foxtail_lab::site::Site;
use foxtail_lab::spec::tali_selamat;

/// The request rate as a share of the capacity.
const LOAD_SHARE: f64 = 0.05;

/// The duration of the load, longer than the example is expected to run.
const LOAD_DURATION: Duration = Duration::from_secs(24 * 3_600);

#[tokio::main]
async fn main() -> Result<()> {
    let site = Site::start(tali_selamat()).await?;
    println!("{}", serde_json::json!({ "store": site.store_addr(), "operator": "practice" }));
    tokio::select! {
        _ = load::run(&site, Options { load: LOAD_SHARE, duration: LOAD_DURATION, seed: 1 }) => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    site.stop().await;
    Ok(())
}
