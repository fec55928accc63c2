//! The links between hosts and upstreams, which can be cut for some hosts only.
//!
//! All processes share one address, so that a proxy tells the hosts apart by the process that owns a
//! connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// How often a connection checks whether its link is cut.
pub(crate) const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a host's connections to upstreams fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Connections deliver nothing, new ones as well.
    Hang,
    /// Connections end, new ones at once.
    Reset,
    /// New connections end at once, and open ones work.
    RefuseNew,
}

/// How long the list of connections is used. Reading it takes tens of milliseconds while the system
/// remembers many closed connections.
const LIST_LIFETIME: Duration = Duration::from_millis(100);

/// The state of an open connection in the system's list.
const ESTABLISHED: &str = "01";

/// The links of all hosts.
#[derive(Default)]
pub(crate) struct Links {
    hosts: Mutex<Vec<HostLink>>,
    owners: tokio::sync::Mutex<Owners>,
}

#[derive(Clone, Copy, Default)]
struct HostLink {
    pid: u32,
    cut: Option<Cut>,
}

/// The hosts that own connections, by their local ports.
#[derive(Default)]
struct Owners {
    listed_at: Option<Instant>,
    by_port: HashMap<u16, usize>,
}

impl Links {
    /// Records the process of a host that has started.
    pub(crate) fn set_process(&self, host: usize, pid: u32) {
        self.update(host, |link| link.pid = pid);
    }

    pub(crate) fn set_cut(&self, host: usize, cut: Option<Cut>) {
        self.update(host, |link| link.cut = cut);
    }

    pub(crate) fn cut(&self, host: Option<usize>) -> Option<Cut> {
        self.hosts.lock().get(host?)?.cut
    }

    pub(crate) fn any_cut(&self) -> bool {
        self.hosts.lock().iter().any(|link| link.cut.is_some())
    }

    fn update(&self, host: usize, change: impl FnOnce(&mut HostLink)) {
        let mut hosts = self.hosts.lock();
        let count = hosts.len().max(host + 1);
        hosts.resize(count, HostLink::default());
        change(&mut hosts[host]);
    }

    /// Returns the host that owns the connection from the local port of `from`, which was accepted at
    /// `accepted_at`, or `None` if it has closed it.
    pub(crate) async fn host_of(&self, from: SocketAddr, accepted_at: Instant) -> Option<usize> {
        let mut owners = self.owners.lock().await;
        let is_current = |at: Instant| at >= accepted_at && at.elapsed() < LIST_LIFETIME;
        if !owners.listed_at.is_some_and(is_current) {
            if let Some(listed_at) = owners.listed_at {
                tokio::time::sleep(LIST_LIFETIME.saturating_sub(listed_at.elapsed())).await;
            }
            let pids: Vec<u32> = self.hosts.lock().iter().map(|link| link.pid).collect();
            let listed_at = Instant::now();
            let listing = tokio::task::spawn_blocking(move || list_owners(&pids));
            owners.by_port = listing.await.expect("the list is read");
            owners.listed_at = Some(listed_at);
        }
        owners.by_port.get(&from.port()).copied()
    }
}

/// Reads which of the processes `pids` owns each open connection.
fn list_owners(pids: &[u32]) -> HashMap<u16, usize> {
    let mut host_by_socket: HashMap<PathBuf, usize> = HashMap::new();
    for (host, pid) in pids.iter().enumerate() {
        // The process may have ended.
        let Ok(fds) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { continue };
        let sockets = fds.flatten().filter_map(|fd| std::fs::read_link(fd.path()).ok());
        host_by_socket.extend(sockets.map(|socket| (socket, host)));
    }
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system lists connections");
    let owner = |line: &str| {
        let mut fields = line.split_ascii_whitespace();
        let (local, state) = (fields.nth(1)?, fields.nth(1)?);
        if state != ESTABLISHED {
            return None;
        }
        let port = u16::from_str_radix(local.rsplit_once(':')?.1, 16).ok()?;
        let socket = PathBuf::from(format!("socket:[{}]", fields.nth(5)?));
        Some((port, *host_by_socket.get(&socket)?))
    };
    table.lines().filter_map(owner).collect()
}
