//! Host processes, started with the deploy file's command and settings made as its template says.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{fs, thread};

use crate::client;

/// The deploy file's command.
const PROGRAM: &str = "target/release/foxtailrouter";

pub struct Host {
    pub name: String,
    pub caller: SocketAddr,
    pub health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub started: Instant,
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Host {
    pub fn new(dir: &Path, name: &str, zone: &str, zones: &str, store: SocketAddr) -> Self {
        let region = zone.split('-').next().unwrap_or_default();
        let (caller, health) = (free_addr(), free_addr());
        let text = format!(
            concat!(
                r#"{{"host":"{}","region":"{}","zone":"{}","zones":{},"caller":"{}","lookup":"{}","#,
                r#""health":"{}","peer":"{}","metrics":"{}","operator":"{}","store":"{}","stop_s":6,"#,
                r#""lookup_ttl_s":1.0,"shift_cap":0.15,"memory_mb":182,"#,
                r#""retry":{{"ratio":0.2,"slack":112,"window_s":10}}}}"#
            ),
            name,
            region,
            zone,
            zones,
            caller,
            free_addr(),
            health,
            free_addr(),
            free_addr(),
            free_addr(),
            store
        );
        let settings = dir.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = dir.join(format!("{name}.log"));
        let (child, started) = (None, Instant::now());
        Self { name: name.to_owned(), caller, health, settings, log, child, started }
    }

    pub fn start(&mut self) -> bool {
        let log = fs::File::options().create(true).append(true).open(&self.log);
        let Ok(log) = log else { return false };
        let child = Command::new(PROGRAM)
            .env("FOXTAILROUTER_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a file")))
            .stderr(Stdio::from(log))
            .spawn();
        self.started = Instant::now();
        self.child = child.ok();
        self.child.is_some()
    }

    pub fn wait_until_ready(&self, most: Duration) -> bool {
        let end = Instant::now() + most;
        while Instant::now() < end {
            if client::get_status(self.health, "/readiness") == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
