//! A whole site on embedded stand-ins over loopback, to try the operators' commands on.
//!
//! Prints a settings file for `foxtailctl` and runs until it is interrupted, under a light load.
//! `FOXTAIL_USER` is `tali-selamat` or `fondo`; `FOXTAIL_LOAD_PERCENT` sets the load.

#![allow(clippy::print_stdout)]

use anyhow::{Result, bail};
use foxtail_lab::fleet::{Fleet, OPERATOR_TOKEN};
use foxtail_lab::load;
use foxtail_lab::shape::{fondo, tali_selamat};
use foxtail_types::prelude::*;
use serde_json::json;

const DEFAULT_LOAD_PERCENT: f64 = 5.0;
const ROUND: Millis = Millis::secs(30);
const ONCE_SHARE: f64 = 0.05;
/// How many hosts the settings name: one to call, and more to try when it can't be reached.
const HOSTS_NAMED: usize = 3;

#[tokio::main]
async fn main() -> Result<()> {
    let user = std::env::var("FOXTAIL_USER").unwrap_or_else(|_| "tali-selamat".to_owned());
    let shape = match user.as_str() {
        "tali-selamat" => tali_selamat(),
        "fondo" => fondo(),
        other => bail!("FOXTAIL_USER is `{other}`; accepted: tali-selamat, fondo"),
    };
    let percent = std::env::var("FOXTAIL_LOAD_PERCENT").ok().and_then(|text| text.parse().ok());
    let percent: f64 = percent.unwrap_or(DEFAULT_LOAD_PERCENT);
    let fleet = Fleet::start(shape, 1).await?;
    let hosts: Vec<_> = fleet.operators().into_iter().take(HOSTS_NAMED).collect();
    println!("{}", json!({ "hosts": hosts, "token": OPERATOR_TOKEN }));
    eprintln!("platform {}", fleet.platform_addr());
    tokio::select! {
        done = tokio::signal::ctrl_c() => done?,
        () = callers(&fleet, percent / 100.0) => {}
    }
    fleet.stop().await;
    Ok(())
}

/// Calls round after round.
async fn callers(fleet: &Fleet, load: f64) {
    for seed in 1.. {
        let options = load::Options { load, span: ROUND, once_share: ONCE_SHARE, seed };
        load::run(fleet, options).await;
    }
}
