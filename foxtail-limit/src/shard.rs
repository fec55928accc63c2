//! Which shard holds a limit, and which hosts are first in line to own a shard.

use std::fmt;

use foxtail_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A shard of the limits of one region. Each has one owner host at a time.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct ShardId {
    /// The region.
    pub region: RegionId,
    /// The number of the shard within the region.
    pub index: u16,
}

impl ShardId {
    /// The shard of `pool` where each region has `shards` of them.
    pub fn of_pool(pool: &PoolId, shards: u16) -> Self {
        let seed = hash(pool.workspace.as_str(), 0);
        Self::new(&pool.region, hash(pool.service.as_str(), seed), shards)
    }

    /// The shard of `link`, in its sending region.
    pub fn of_link(link: &LinkId, shards: u16) -> Self {
        Self::new(&link.from, hash(link.to.as_str(), 1), shards)
    }

    /// The shard of the shift budget of `workspace` for traffic that leaves `region`.
    pub fn of_shift(workspace: &WorkspaceId, region: &RegionId, shards: u16) -> Self {
        Self::new(region, hash(workspace.as_str(), 2), shards)
    }

    /// The key of the shard's lease row in the table.
    pub fn row_key(&self) -> String {
        format!("limit/{}/{}", self.region, self.index)
    }

    /// Orders `hosts` by how much they are preferred as owners of the shard.
    ///
    /// Rendezvous hashing: all hosts with the same list agree, and a host that goes moves only its
    /// own shards.
    pub fn rank<'a>(&self, hosts: impl IntoIterator<Item = &'a HostId>) -> Vec<&'a HostId> {
        let seed = hash(self.region.as_str(), u64::from(self.index));
        let mut ranked: Vec<&HostId> = hosts.into_iter().collect();
        ranked.sort_by_cached_key(|host| (hash(host.as_str(), seed), (*host).clone()));
        ranked
    }

    fn new(region: &RegionId, hash: u64, shards: u16) -> Self {
        let index = (hash % u64::from(shards.max(1))) as u16;
        ShardId { region: region.clone(), index }
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.index)
    }
}

fn hash(text: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), seed)
}
