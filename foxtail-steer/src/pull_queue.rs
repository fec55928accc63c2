//! Which host is asked for news of the store, when several tell that they have some.
//!
//! One host is asked at a time. What others tell meanwhile is remembered, so that a host that does
//! not answer, or that answers with less than the newest, costs one try and not the news.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The hosts that told of news in one area of the store.
#[derive(Debug, Default)]
pub struct PullQueue {
    in_progress: Option<SocketAddr>,
    /// The newest version that each host told and this host does not know yet.
    announced: BTreeMap<SocketAddr, u64>,
}

impl PullQueue {
    /// Notes that the host at `from` knows `version`, and this one `known`. Returns the host to ask
    /// now, if there is one and no other is being asked.
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

    /// Notes that the host which was asked has answered or failed, and that this one knows `known`
    /// now. Returns the host to ask next; the same one is asked again only if it tells more.
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
