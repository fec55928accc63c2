//! Counts of callers' connections, so that none takes more than its share.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::settings::Callers;

/// The connections open now.
#[derive(Default)]
pub(crate) struct Connections {
    open: Mutex<Open>,
}

#[derive(Default)]
struct Open {
    total: u32,
    by_address: HashMap<IpAddr, u32>,
}

/// One open connection.
pub(crate) struct Connection {
    from: IpAddr,
    all: Arc<Connections>,
}

impl Connections {
    /// Counts a connection from `from`, unless a bound is reached.
    pub(crate) fn enter(self: &Arc<Self>, from: IpAddr, bounds: &Callers) -> Option<Connection> {
        let mut open = self.open.lock();
        let of_address = open.by_address.get(&from).copied().unwrap_or_default();
        if open.total >= bounds.connections || of_address >= bounds.connections_per_address {
            return None;
        }
        open.total += 1;
        open.by_address.insert(from, of_address + 1);
        Some(Connection { from, all: Arc::clone(self) })
    }
}

impl Connection {
    /// The caller's address.
    pub(crate) fn from(&self) -> IpAddr {
        self.from
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.all.open.lock();
        open.total -= 1;
        if let Some(count) = open.by_address.get_mut(&self.from) {
            *count -= 1;
            if *count == 0 {
                open.by_address.remove(&self.from);
            }
        }
    }
}
