//! One direction of a link between two regions, or of one server's own link: its rate, traffic
//! counters and cut.

use std::time::Duration;

use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Cut;

/// The traffic over one direction of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The bytes handed to the link in each second since the network was created.
    pub bytes_by_second: Vec<u64>,
    /// The longest time that bytes waited until the link was free.
    pub max_wait: Millis,
}

/// One direction of a link, which sends bytes one after another at a fixed rate.
pub(crate) struct Link {
    bytes_per_s: f64,
    started: Instant,
    state: Mutex<LinkState>,
    cut: watch::Sender<Option<Cut>>,
}

struct LinkState {
    free_at: Instant,
    traffic: Traffic,
}

impl Link {
    pub(crate) fn new(mbit_per_s: u32) -> Self {
        let now = Instant::now();
        Self {
            bytes_per_s: f64::from(mbit_per_s) * 1e6 / 8.0,
            started: now,
            state: Mutex::new(LinkState { free_at: now, traffic: Traffic::default() }),
            cut: watch::Sender::new(None),
        }
    }

    /// Queues `bytes` bytes on the link and returns the time at which the last of them is sent.
    pub(crate) fn send(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.traffic.count(now.duration_since(self.started).as_secs() as usize, bytes as u64);
        let starts_at = state.free_at.max(now);
        let waited = Millis::from(starts_at.duration_since(now));
        state.traffic.max_wait = state.traffic.max_wait.max(waited);
        state.free_at = starts_at + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        state.free_at
    }

    pub(crate) fn set_cut(&self, cut: Option<Cut>) {
        self.cut.send_replace(cut);
    }

    pub(crate) fn cut(&self) -> watch::Receiver<Option<Cut>> {
        self.cut.subscribe()
    }

    pub(crate) fn traffic(&self) -> Traffic {
        self.state.lock().traffic.clone()
    }
}

impl Traffic {
    /// Returns the most bytes handed to the link in any one second.
    pub fn peak_bytes_per_s(&self) -> u64 {
        self.bytes_by_second.iter().copied().max().unwrap_or(0)
    }

    fn count(&mut self, second: usize, bytes: u64) {
        if self.bytes_by_second.len() <= second {
            self.bytes_by_second.resize(second + 1, 0);
        }
        self.bytes_by_second[second] += bytes;
    }
}
