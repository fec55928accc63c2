//! The host, on the platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use anyhow::Context;
use foxtail_adapter::{HttpStore, Wire, settings_path};
use foxtail_entry::{Node, Ports, Settings, log};
use foxtail_net::WatchedDial;
use foxtail_time::{BootClock, Millis};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::flags::Foxtailrouter;

/// Upstreams and the store answer a connection within a round trip between regions; one that takes
/// several is not there.
const WATCH: WatchedDial =
    WatchedDial { connect: Millis(400), unacknowledged: Millis(700), probe: Millis(1_000) };

/// How often the settings file is looked at for changes that come without a signal.
const LOOK_EVERY: Millis = Millis::secs(5);

/// Runs the host until it is told to stop.
pub(crate) fn run(flags: &Foxtailrouter) -> anyhow::Result<()> {
    let path = flags.config.clone().or_else(settings_path);
    let path = path.context("no settings: name a file with --config")?;
    let settings = Settings::load(&path)?;
    if flags.check {
        return Ok(());
    }
    let guard = log::start(flags.log.as_deref().unwrap_or("info"))?;
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().context("no runtime")?;
    let result = runtime.block_on(serve(settings, path));
    drop(guard);
    result
}

async fn serve(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("no signal handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("no signal handler")?;
    let mut hangup = signal(SignalKind::hangup()).context("no signal handler")?;
    let ports = Ports {
        dial: Arc::new(WATCH),
        clock: Arc::new(BootClock),
        dialect: Arc::new(Wire),
        store: Arc::new(HttpStore::new(Arc::new(WATCH), settings.store)),
    };
    let node = Node::start(settings, ports).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = changed(&mut hangup) => reload(&node, &path),
        }
    }
    node.stop().await;
    Ok(())
}

/// Ends when the settings file may have changed.
async fn changed(hangup: &mut Signal) {
    tokio::select! {
        _ = hangup.recv() => {}
        () = tokio::time::sleep(LOOK_EVERY.duration()) => {}
    }
}

fn reload(node: &Node, path: &Path) {
    match Settings::load(path) {
        Ok(settings) => node.reload(settings),
        Err(e) => tracing::warn!(event = "settings_rejected", error = format!("{e:#}")),
    }
}
