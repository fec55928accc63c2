//! Runs the host with the platform's implementations of its ports until a signal stops it.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use anyhow::Context;
use foxtail_adapter::{HttpProtocol, HttpStore, settings_path};
use foxtail_entry::{Host, Ports, Settings, log};
use foxtail_net::KeepaliveDial;
use foxtail_time::{BootClock, Millis};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::flags::Foxtailrouter;

/// Upstreams and the store accept a connection within one round trip between regions; a peer that
/// takes several round trips is treated as unreachable.
const DIAL: KeepaliveDial = KeepaliveDial {
    connect_timeout: Millis(400),
    unacknowledged_timeout: Millis(700),
    probe_interval: Millis(1_000),
};

/// How often the settings file is read again, for changes that come without SIGHUP.
const SETTINGS_POLL_INTERVAL: Millis = Millis::secs(5);

/// The signals that the process handles: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Self> {
        let install = |kind| signal(kind).context("can't install a signal handler");
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}

/// Runs the host until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the settings are missing or invalid, or the host can't start.
pub(crate) fn run(flags: &Foxtailrouter) -> anyhow::Result<()> {
    let path = flags.config.clone().or_else(settings_path);
    let path = path.context("no settings file: name one with --config")?;
    if flags.check {
        return Settings::load(&path).map(|_| ());
    }
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().context("can't start the async runtime")?;
    runtime.block_on(async {
        // Signal handlers are installed first: until then, a signal ends the process at once.
        let signals = Signals::new()?;
        let settings = Settings::load(&path)?;
        let guard = log::start(flags.log.as_deref().unwrap_or("info"))?;
        let result = serve(settings, path, signals).await;
        drop(guard);
        result
    })
}

async fn serve(settings: Settings, path: PathBuf, mut signals: Signals) -> anyhow::Result<()> {
    let ports = Ports {
        dial: Arc::new(DIAL),
        clock: Arc::new(BootClock),
        protocol: Arc::new(HttpProtocol),
        store: Arc::new(HttpStore::new(Arc::new(DIAL), settings.store)),
    };
    let host = Host::start(settings, ports).await?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            () = wait_for_reload(&mut signals.hangup) => reload(&host, &path),
        }
    }
    host.stop().await;
    Ok(())
}

/// Waits for SIGHUP or the next time at which the settings file is read again.
async fn wait_for_reload(hangup: &mut Signal) {
    tokio::select! {
        _ = hangup.recv() => {}
        () = tokio::time::sleep(SETTINGS_POLL_INTERVAL.duration()) => {}
    }
}

fn reload(host: &Host, path: &Path) {
    match Settings::load(path) {
        Ok(settings) => host.reload(settings),
        Err(e) => tracing::warn!(event = "settings_rejected", error = format!("{e:#}")),
    }
}
