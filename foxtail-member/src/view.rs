//! The fleet as one host sees it at one time.

use foxtail_types::prelude::*;

use crate::msg::{Identity, Phase, Status};

/// The fleet as one host sees it. Built whole and swapped, so that readers take no lock.
#[derive(Clone, Debug)]
pub struct View {
    /// The host that sees it.
    pub me: HostId,
    /// Every known host, sorted by name, `me` included.
    pub hosts: Vec<Member>,
}

/// One host in a view.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// What it last said of itself.
    pub status: Status,
    /// Nobody has heard from it lately.
    pub suspect: bool,
    /// It takes nothing new, by its own word or the platform's.
    pub leaving: bool,
    /// When it was first seen serving, by this host's clock.
    pub serving_since: Option<Millis>,
}

impl View {
    /// The host `id`, if known.
    pub fn get(&self, id: &HostId) -> Option<&Member> {
        let at = self.hosts.binary_search_by(|member| member.identity.id.cmp(id)).ok()?;
        Some(&self.hosts[at])
    }

    /// The hosts that take part: neither suspect nor leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.hosts.iter().filter(|member| member.is_live())
    }

    /// The hosts of `region` that take part.
    pub fn live_in<'a>(&'a self, region: &'a RegionId) -> impl Iterator<Item = &'a Member> {
        self.live().filter(move |member| member.identity.region == *region)
    }

    /// The live hosts that hold a configuration older than `version`.
    pub fn missing(&self, version: Version) -> impl Iterator<Item = &HostId> {
        let late = move |member: &&Member| member.status.version < version;
        self.live().filter(late).map(|member| &member.identity.id)
    }
}

impl Member {
    /// Neither suspect nor leaving.
    pub fn is_live(&self) -> bool {
        !self.suspect && !self.leaving
    }

    /// Live and taking traffic.
    pub fn is_serving(&self) -> bool {
        self.is_live() && self.status.phase == Phase::Serving
    }
}
