//! A machine of the system: one host process, as the platform starts and limits it.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Conn;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The program, as the deploy file starts it.
const PROGRAM: &str = "target/release/foxtailrouter";

/// The variable that names the settings file of a process.
const SETTINGS_VARIABLE: &str = "FOXTAILROUTER_NODE_FILE";

/// A machine with one host process, whose addresses stay the same over restarts.
pub struct Machine {
    /// Its name.
    pub name: String,
    /// The address for requests.
    pub front: SocketAddr,
    /// The address for look-ups.
    pub directory: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Returns a free loopback address; its port is not one that the system gives to outgoing connections.
fn free_addr() -> io::Result<SocketAddr> {
    static NEXT: Mutex<u16> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    for _ in 0..20_000 {
        *next = (*next + 1) % 20_000;
        let port = 10_000 + (*next + (std::process::id() % 199) as u16 * 100) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}

impl Machine {
    /// Creates a machine in `zone` of `region`. `zones` is a JSON object with the region of each zone.
    pub fn new(
        dir: &Path,
        name: &str,
        (zone, region): (&str, &str),
        zones: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let [front, directory, ready, peer, metrics, operator] =
            [free_addr()?, free_addr()?, free_addr()?, free_addr()?, free_addr()?, free_addr()?];
        let text = format!(
            r#"{{
  "host": "{name}", "region": "{region}", "zone": "{zone}", "zones": {zones},
  "caller": "{front}", "lookup": "{directory}", "health": "{ready}", "peer": "{peer}",
  "metrics": "{metrics}", "operator": "{operator}", "store": "{store}",
  "stop_s": 6, "lookup_ttl_s": 1.0, "shift_cap": 0.15,
  "retry": {{"ratio": 0.2, "slack": 120, "window_s": 10}}
}}
"#
        );
        let settings = dir.join(format!("{name}.json"));
        std::fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let child = Mutex::default();
        Ok(Self { name: name.to_owned(), front, directory, ready, settings, log, child })
    }

    /// Starts the process.
    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Returns the identifier of the running process.
    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        if let Some(pid) = self.pid() {
            // SAFETY: `kill` takes two numbers; the process is a child that was not waited for.
            unsafe { kill(pid as i32, SIGTERM) };
        }
    }

    /// Waits until the process has ended by itself, for `timeout` at most.
    pub fn wait(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let mut child = self.child.lock().unwrap();
            if child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                *child = None;
                return true;
            }
            drop(child);
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the memory that the process occupies, in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kb| kb * 1024)
    }

    /// Asks the readiness address, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut conn = Conn::connect(self.ready)?;
            conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            conn.write(b"GET /readiness HTTP/1.1\r\nhost: h\r\n\r\n")?;
            Ok(conn.read(false)?.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
