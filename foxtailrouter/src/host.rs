//! The host that takes its configuration from its own operators.

use std::sync::Arc;

use anyhow::Context;
use foxtail_net::TcpDial;
use foxtail_node::{Node, Ports, Settings, stop};
use foxtail_time::BootClock;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

use crate::flags::Host;

/// Runs the host until it is told to stop.
pub(crate) fn run(flags: &Host) -> anyhow::Result<()> {
    let settings = Settings::load(&flags.config)?;
    if flags.check {
        return Ok(());
    }
    start_log(flags.log.as_deref())?;
    let runtime = tokio::runtime::Runtime::new().context("no runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("no signal handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("no signal handler")?;
    let ports = Ports { dial: Arc::new(TcpDial), clock: Arc::new(BootClock) };
    let node = Node::start(settings, ports).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let report = node.stop(stop::Options::default()).await;
    anyhow::ensure!(report.cut_off == 0, "{} requests were cut off", report.cut_off);
    Ok(())
}

/// Logs go to standard error, one line of key=value pairs for each event.
fn start_log(filter: Option<&str>) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(filter.unwrap_or("info")).context("`--log`")?;
    let layer = tracing_logfmt::builder().layer().with_writer(std::io::stderr);
    Registry::default().with(filter).with(layer).try_init().context("no log")
}
