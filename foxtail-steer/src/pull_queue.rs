//! Selects the host to fetch store changes from when several hosts announce newer versions.
//!
//! One host is asked at a time. Announcements that arrive meanwhile are remembered, so that a host
//! that does not answer, or answers with an older version than the newest, delays the change but
//! does not lose it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The hosts that announced newer versions of one area of the store.
#[derive(Debug, Default)]
pub struct PullQueue {
    /// The host that is being asked, if any.
    in_progress: Option<SocketAddr>,
    /// The newest version that each host announced, if it is newer than the version that this host
    /// knows.
    announced: BTreeMap<SocketAddr, u64>,
}

impl PullQueue {
    /// Records that the host at `from` announced `version` while this host knows version `known`.
    /// Returns the host to ask now, or `None` if there is none or another one is already being
    /// asked.
    pub fn record_announcement(
        &mut self,
        from: SocketAddr,
        version: u64,
        known: u64,
    ) -> Option<SocketAddr> {
        if version > known {
            self.announced.insert(from, version);
        }
        self.next_host(known)
    }

    /// Records that the asked host answered or failed, and that this host now knows version
    /// `known`. Returns the host to ask next. The same host is asked again only after another
    /// announcement.
    pub fn finish_pull(&mut self, known: u64) -> Option<SocketAddr> {
        if let Some(asked) = self.in_progress.take() {
            self.announced.remove(&asked);
        }
        self.next_host(known)
    }

    fn next_host(&mut self, known: u64) -> Option<SocketAddr> {
        self.announced.retain(|_, version| *version > known);
        if self.in_progress.is_some() {
            return None;
        }
        let newest = self.announced.iter().max_by_key(|(_, version)| **version);
        self.in_progress = newest.map(|(from, _)| *from);
        self.in_progress
    }
}
