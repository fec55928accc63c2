//! An entry host as a process, with addresses that it keeps over restarts.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// The time for a stop in the hosts' settings, in seconds.
pub(crate) const STOP_S: f64 = 3.0;

/// Ports below those that the system gives to outgoing connections: a host keeps its ports while it
/// is down, and nothing else may take them meanwhile.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// An address that nobody uses, and that was not returned before.
fn free_addr() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        // Soaks that run at the same time begin at different ports.
        let n = TAKEN
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(257));
        let port = PORTS.start + (n % u32::from(PORTS.end - PORTS.start)) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A process has its signal handlers after this long, also on a busy machine.
const HANDLERS: Duration = Duration::from_secs(1);

pub(crate) struct Host {
    pub(crate) caller: SocketAddr,
    pub(crate) lookup: SocketAddr,
    pub(crate) health: SocketAddr,
    settings: PathBuf,
    /// What stands in the settings file.
    good: String,
    log: PathBuf,
    child: Option<Child>,
    started: Instant,
}

impl Host {
    pub(crate) fn new(dir: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let addrs = [(); 4].map(|()| free_addr());
        let addr = |n: usize| addrs[n];
        let settings = json!({
            "host": name, "region": &zone[..1], "zone": zone,
            "zones": {"a1": "a", "a2": "a", "b1": "b"},
            "caller": addr(0), "lookup": addr(1), "health": addr(2), "peer": addr(3),
            "metrics": null, "store": store, "stop_s": STOP_S, "lookup_ttl_s": 0.5,
            "retry": {"ratio": 0.2, "slack": 100.0, "window_s": 10.0}, "shift_cap": 0.15,
        });
        let path = dir.join(format!("{name}.json"));
        let good = settings.to_string();
        std::fs::write(&path, &good).expect("settings written");
        let log = dir.join(format!("{name}.log"));
        let (caller, lookup, health) = (addr(0), addr(1), addr(2));
        let (child, started) = (None, Instant::now());
        Self { caller, lookup, health, settings: path, good, log, child, started }
    }

    pub(crate) fn start(&mut self) {
        self.mend_settings();
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_foxtailrouter"))
            .arg("--config")
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .spawn();
        self.child = Some(child.expect("a host process"));
        self.started = Instant::now();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let pid = Pid::from_raw(child.id().cast_signed()).expect("a process id");
        // The process may have ended by itself; then its end is found when it is waited for.
        let _ = kill_process(pid, signal);
    }

    /// Writes settings that can't be used; a host that runs keeps what it has.
    pub(crate) fn spoil_settings(&self) {
        self.write_settings("{\"host\": ");
    }

    pub(crate) fn mend_settings(&self) {
        self.write_settings(&self.good);
    }

    /// Replaces the file at once: a host that starts may read it meanwhile.
    fn write_settings(&self, text: &str) {
        let next = self.settings.with_extension("next");
        std::fs::write(&next, text).expect("settings written");
        std::fs::rename(next, &self.settings).expect("settings replaced");
    }

    /// Whether the process has ended, and with which code.
    pub(crate) fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().expect("a status")?;
        self.child = None;
        Some(status.code())
    }

    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            child.wait().expect("a status");
        }
    }

    pub(crate) fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Whether the process has had the time to set up its signal handlers. Before that a signal ends
    /// it, and it has served nobody.
    pub(crate) fn handles_signals(&self) -> bool {
        self.runs() && self.started.elapsed() > HANDLERS
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
