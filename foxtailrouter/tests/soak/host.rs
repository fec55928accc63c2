//! A host process whose addresses stay the same over restarts.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use crate::links::Links;

/// The time limit of a graceful shutdown in the hosts' settings, in seconds.
pub(crate) const STOP_S: f64 = 3.0;

/// What the platform grants the smallest hosts, and hosts whose settings do not say, in bytes.
pub(crate) const GRANT_BYTES: u64 = 112_000_000;

/// Ports below the range that the system uses for outgoing connections, so that no other socket
/// occupies a host's ports while the host is down.
const HOST_PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Returns a loopback address that is not in use and was not returned before.
fn free_addr() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    loop {
        // Soak tests that run at the same time start at different ports.
        let offset = NEXT_OFFSET
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(257));
        let port =
            HOST_PORTS.start + (offset % u32::from(HOST_PORTS.end - HOST_PORTS.start)) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// The time within which a started process has installed its signal handlers, also on a busy
/// machine.
const SIGNAL_SETUP_TIME: Duration = Duration::from_secs(1);

/// The path of another build of the program. If set, hosts run it in turn with the build under test, so
/// that both run side by side.
const EARLIER_BUILD: &str = "FOXTAIL_SOAK_EARLIER_BUILD";

pub(crate) struct Host {
    pub(crate) caller_addr: SocketAddr,
    pub(crate) lookup_addr: SocketAddr,
    pub(crate) health_addr: SocketAddr,
    settings_path: PathBuf,
    /// The contents of the settings file while it is not corrupted.
    valid_settings: String,
    log_path: PathBuf,
    index: usize,
    links: Arc<Links>,
    child: Option<Child>,
    /// When it was started, and whether with the build in [`EARLIER_BUILD`].
    starts: Vec<(Instant, bool)>,
}

impl Host {
    /// Creates the host with the number `index`, without starting it.
    pub(crate) fn new(
        dir: &Path,
        index: usize,
        zone: &str,
        store: SocketAddr,
        links: &Arc<Links>,
    ) -> Self {
        let name = format!("h-{index}");
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
        let valid_settings = settings.to_string();
        std::fs::write(&path, &valid_settings).expect("the settings file is written");
        let log_path = dir.join(format!("{name}.log"));
        let (caller_addr, lookup_addr, health_addr) = (addr(0), addr(1), addr(2));
        let (child, starts) = (None, Vec::new());
        Self {
            caller_addr,
            lookup_addr,
            health_addr,
            settings_path: path,
            valid_settings,
            log_path,
            index,
            links: Arc::clone(links),
            child,
            starts,
        }
    }

    pub(crate) fn start(&mut self) {
        self.restore_settings();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)
            .expect("the log file opens");
        let earlier_build = std::env::var_os(EARLIER_BUILD);
        let earlier_build = earlier_build.filter(|_| (self.index + self.starts.len()) % 2 == 1);
        self.starts.push((Instant::now(), earlier_build.is_some()));
        let program = earlier_build.unwrap_or_else(|| env!("CARGO_BIN_EXE_foxtailrouter").into());
        let child = Command::new(program)
            .arg("--config")
            .arg(&self.settings_path)
            .stdout(Stdio::from(log))
            .spawn();
        let child = child.expect("the host process starts");
        self.links.set_process(self.index, child.id());
        self.child = Some(child);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let pid = Pid::from_raw(child.id().cast_signed()).expect("a child has a process id");
        // Fails if the process has exited by itself, which is detected when it is waited for.
        let _ = kill_process(pid, signal);
    }

    /// Writes settings that can't be parsed; a running host keeps its previous settings.
    pub(crate) fn corrupt_settings(&self) {
        self.write_settings("{\"host\": ");
    }

    pub(crate) fn restore_settings(&self) {
        self.write_settings(&self.valid_settings);
    }

    /// Replaces the file atomically, since a starting host may read it at the same time.
    fn write_settings(&self, text: &str) {
        let new_file = self.settings_path.with_extension("next");
        std::fs::write(&new_file, text).expect("the settings file is written");
        std::fs::rename(new_file, &self.settings_path).expect("the settings file is replaced");
    }

    /// Returns the exit code if the process has exited; the code is `None` if a signal ended it.
    pub(crate) fn take_exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().expect("the exit status is readable")?;
        self.child = None;
        Some(status.code())
    }

    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            child.wait().expect("the exit status is readable");
        }
    }

    /// Returns the most memory that the process had, in bytes, if it runs.
    pub(crate) fn peak_memory(&self) -> Option<u64> {
        let child = self.child.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib * 1024)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process has had time to install its signal handlers. Before that a
    /// signal ends it, and it has not served any request.
    pub(crate) fn handles_signals(&self) -> bool {
        let started_at = self.starts.last().map(|(at, _)| *at);
        self.is_running() && started_at.is_some_and(|at| at.elapsed() > SIGNAL_SETUP_TIME)
    }

    /// Returns whether the host was started between `from` and `to`.
    pub(crate) fn started_between(&self, from: Instant, to: Instant) -> bool {
        self.starts.iter().any(|(at, _)| *at >= from && *at <= to)
    }

    /// Returns whether the host ran the build in [`EARLIER_BUILD`].
    pub(crate) fn ran_earlier_build(&self, at: Instant) -> bool {
        let started = self.starts.iter().rev().find(|(started, _)| *started <= at);
        started.is_some_and(|(_, earlier)| *earlier)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
