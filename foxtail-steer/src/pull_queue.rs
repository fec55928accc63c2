//! Selects the host to fetch store changes from when several hosts announce newer versions.
//!
//! One host is asked at a time. Announcements that arrive meanwhile are remembered, so that a host
//! that does not answer, or answers with an older version than the newest, delays the change but
//! does not lose it. Hosts that hear the same announcements ask different hosts, and a host that
//! is busy is asked again after a pause, so that a change that all hosts of a region lack is not
//! fetched from one of them alone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foxtail_types::prelude::*;

use crate::rendezvous;

/// The number of hosts that a host informs that it can serve a large change. With this many, nearly
/// all hosts that lack the change hear of several sources, and a region of any size exchanges this
/// many notices a host.
pub const SOURCE_NOTICE_HOSTS: usize = 8;

/// The mean pause before a busy host is asked again. It doubles with each refusal up to
/// [`MAX_BUSY_PAUSE`].
const INITIAL_BUSY_PAUSE: Millis = Millis(60);

/// The longest mean pause before a busy host is asked again.
const MAX_BUSY_PAUSE: Millis = Millis(240);

/// The hosts that announced newer versions of one area of the store.
#[derive(Debug)]
pub struct PullQueue {
    /// Differs between hosts, so that they prefer different sources.
    salt: u64,
    /// The host that is being asked, if any.
    in_progress: Option<SocketAddr>,
    /// Whether the caller was told to wait and has not called [`PullQueue::resume`] since.
    waiting: bool,
    /// The newest version that each host announced, if it is newer than the version that this host
    /// knows.
    announced: BTreeMap<SocketAddr, Announcement>,
    /// The newest version that any host announced.
    newest: u64,
    /// Since when this host has known of a version that it lacks.
    behind_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Announcement {
    version: u64,
    /// How often in a row the host was too busy to answer.
    refusals: u32,
    /// When the host may be asked.
    not_before: Millis,
}

/// How a pull ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullOutcome {
    /// The host answered, or could not be asked.
    Ended,
    /// The host serves too many other pulls.
    Busy,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this host, then call [`PullQueue::finish_pull`].
    Ask(SocketAddr),
    /// All hosts that could be asked are busy: wait this long, then call [`PullQueue::resume`].
    Wait(Millis),
    /// Nothing.
    Idle,
}

impl PullQueue {
    /// Creates the queue of the host called `own`.
    pub fn new(own: &HostId) -> Self {
        let salt = rendezvous::hash(own.as_str());
        Self {
            salt,
            in_progress: None,
            waiting: false,
            announced: BTreeMap::new(),
            newest: 0,
            behind_since: None,
        }
    }

    /// Records that the host at `from` announced `version` while this host knows version `known`.
    pub fn record_announcement(
        &mut self,
        from: SocketAddr,
        version: u64,
        known: u64,
        now: Millis,
    ) -> Step {
        if version > known {
            self.newest = self.newest.max(version);
            self.behind_since.get_or_insert(now);
            let announcement = Announcement { version, refusals: 0, not_before: now };
            let recorded = self.announced.entry(from).or_insert(announcement);
            recorded.version = recorded.version.max(version);
        }
        self.next_step(known, now)
    }

    /// Records that the asked host answered or failed, and that this host now knows version
    /// `known`. Unless it was busy, the same host is asked again only after another announcement.
    pub fn finish_pull(&mut self, outcome: PullOutcome, known: u64, now: Millis) -> Step {
        if let Some(asked) = self.in_progress.take() {
            match outcome {
                PullOutcome::Ended => _ = self.announced.remove(&asked),
                PullOutcome::Busy => self.postpone(asked, now),
            }
        }
        self.next_step(known, now)
    }

    /// Returns since when this host has known of a version that it lacks.
    pub fn behind_since(&self) -> Option<Millis> {
        self.behind_since
    }

    /// Records that this host knows version `known`, and returns for how long it lacked a change, if it now
    /// has all that were announced to it, or has `read_store`, whose word goes before announcements.
    pub fn catch_up(&mut self, known: u64, read_store: bool, now: Millis) -> Option<Millis> {
        if known < self.newest && !read_store {
            return None;
        }
        self.newest = known;
        self.behind_since.take().map(|since| now.since(since))
    }

    /// Continues after a [`Step::Wait`].
    pub fn resume(&mut self, known: u64, now: Millis) -> Step {
        self.waiting = false;
        self.next_step(known, now)
    }

    fn postpone(&mut self, host: SocketAddr, now: Millis) {
        let rank = self.rank(host);
        let Some(announcement) = self.announced.get_mut(&host) else { return };
        let mean = (INITIAL_BUSY_PAUSE * (1 << announcement.refusals.min(8))).min(MAX_BUSY_PAUSE);
        // Between half and one and a half of the mean, different for each host and attempt.
        let jitter = rank.rotate_left(announcement.refusals) % (mean.0 + 1);
        announcement.refusals += 1;
        announcement.not_before = now + Millis(mean.0 / 2 + jitter);
    }

    fn next_step(&mut self, known: u64, now: Millis) -> Step {
        self.announced.retain(|_, announcement| announcement.version > known);
        if self.in_progress.is_some() {
            return Step::Idle;
        }
        let allowed = self.announced.iter().filter(|(_, a)| a.not_before <= now);
        let best = allowed.max_by_key(|(host, a)| (a.version, self.rank(**host)));
        if let Some((host, _)) = best {
            self.in_progress = Some(*host);
            return Step::Ask(*host);
        }
        let earliest = self.announced.values().map(|a| a.not_before).min();
        match earliest {
            Some(at) if !self.waiting => {
                self.waiting = true;
                Step::Wait(at.since(now))
            }
            _ => Step::Idle,
        }
    }

    /// Returns this host's preference for `source` among hosts with the same version.
    fn rank(&self, source: SocketAddr) -> u64 {
        rendezvous::weight(self.salt, &source.to_string())
    }
}
