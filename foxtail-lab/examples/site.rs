//! A whole site on one machine under a light load, until it is interrupted, to practise with
//! `foxtailctl` on. Prints the settings for it.

#![allow(clippy::print_stdout, reason = "printing is what this program does")]

use std::time::Duration;

use anyhow::Result;
use foxtail_lab::load::{self, Options};
use foxtail_lab::site::Site;
use foxtail_lab::spec::tali_selamat;

/// The load, as a share of the capacity.
const LOAD_SHARE: f64 = 0.05;

/// Longer than anybody practises.
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
