//! The links between hosts and upstreams, which can be cut for some hosts only.
//!
//! All processes share one address, so that a proxy tells the hosts apart by the process that owns a
//! connection.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

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

/// The links of all hosts.
#[derive(Default)]
pub(crate) struct Links(Mutex<Vec<HostLink>>);

#[derive(Clone, Copy, Default)]
struct HostLink {
    pid: u32,
    cut: Option<Cut>,
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
        self.0.lock().get(host?)?.cut
    }

    fn update(&self, host: usize, change: impl FnOnce(&mut HostLink)) {
        let mut links = self.0.lock();
        let count = links.len().max(host + 1);
        links.resize(count, HostLink::default());
        change(&mut links[host]);
    }

    /// Returns the host that owns the connection from `from` to `to`, or `None` if it has closed it.
    pub(crate) fn host_of(&self, from: SocketAddr, to: SocketAddr) -> Option<usize> {
        let socket = format!("socket:[{}]", inode_of(from, to)?);
        let pids: Vec<u32> = self.0.lock().iter().map(|link| link.pid).collect();
        pids.iter().position(|pid| owns(*pid, &socket))
    }
}

/// Returns the inode of the socket of a connection, from the system's table of connections.
fn inode_of(from: SocketAddr, to: SocketAddr) -> Option<String> {
    let port = |addr: SocketAddr| format!(":{:04X}", addr.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system lists connections");
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let matches = fields.get(1)?.ends_with(&port(from)) && fields.get(2)?.ends_with(&port(to));
        matches.then(|| fields.get(9).map(|inode| (*inode).to_owned()))?
    })
}

fn owns(pid: u32, socket: &str) -> bool {
    // The process may have ended.
    let Ok(fds) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    fds.flatten()
        .any(|fd| std::fs::read_link(fd.path()).is_ok_and(|target| target == Path::new(socket)))
}
