//! The compiled map from blocks of client addresses to sites.
//!
//! Each address family is a sorted run of range starts with a site each; gaps are ranges without a
//! site. The run is cut into chunks, so that a delta rebuilds only the chunks that it touches and
//! shares the others with the map before. An IPv4 range takes 4 bytes: the chunk and its index give
//! the upper half of the address. An IPv6 range takes 10 bytes.

use std::net::IpAddr;

use foxtail_types::prelude::*;
use ipnet::IpNet;

use crate::ranges::{Range, flatten};
use crate::v4::V4Table;
use crate::v6::V6Table;

/// The longest IPv6 prefix that a block may have.
const MAX_V6_PREFIX_BITS: u8 = 64;
/// The first bytes of a serialised map.
const MAGIC: [u8; 4] = *b"fxbm";
/// Bytes of the checksum at the end of a serialised map.
const CHECKSUM_BYTES: usize = 8;

/// A site's place in the list of sites.
#[id]
#[serde(transparent)]
pub struct SiteIndex(pub u16);

/// A site: where the clients of a block are served.
#[value]
pub struct Site {
    /// Its region.
    pub region: RegionId,
    /// Its zone, if the clients are nearer to one than to the others.
    pub zone: Option<ZoneId>,
}

/// A block of client addresses and its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Block {
    /// The addresses. An inner block goes before one that encloses it.
    pub net: IpNet,
    /// The site.
    pub site: SiteIndex,
}

/// A compiled map.
#[value]
pub struct BlockMap {
    version: Version,
    sites: Vec<Site>,
    v4: V4Table,
    v6: V6Table,
}

/// Why a map could not be built or read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A block names no site of the list.
    #[error("block {0} names a site that is not in the list")]
    NoSuchSite(IpNet),
    /// More sites than an index can name.
    #[error("{0} sites are more than a map holds")]
    TooManySites(usize),
    /// An IPv6 prefix is too long.
    #[error("block {0} is smaller than a /{MAX_V6_PREFIX_BITS}")]
    PrefixTooLong(IpNet),
    /// A block stands in the list twice.
    #[error("block {0} stands in the list twice")]
    DuplicateBlock(IpNet),
    /// The bytes are no serialised map, or were damaged.
    #[error("the bytes are no block map")]
    Damaged,
    /// A delta belongs to another version of the map.
    #[error("the delta applies to version {base:?}, not to {have:?}")]
    VersionMismatch {
        /// The version that the delta applies to.
        base: Version,
        /// The version of the map.
        have: Version,
    },
}

impl SiteIndex {
    /// No site.
    pub const NONE: SiteIndex = SiteIndex(u16::MAX);
}

impl BlockMap {
    /// Compiles `blocks`.
    ///
    /// # Errors
    ///
    /// [`Error`] names the first block that can't be taken.
    pub fn build(version: Version, sites: Vec<Site>, blocks: &[Block]) -> Result<Self, Error> {
        if sites.len() >= usize::from(SiteIndex::NONE.0) {
            return Err(Error::TooManySites(sites.len()));
        }
        check_unique(blocks)?;
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for block in blocks {
            let range = checked_range(&sites, block.net, Some(block.site))?;
            match block.net {
                IpNet::V4(_) => v4.push(range),
                IpNet::V6(_) => v6.push(range),
            }
        }
        let v4 = V4Table::build(&flatten(v4, u64::from(u32::MAX)));
        let v6 = V6Table::build(&flatten(v6, u64::MAX));
        Ok(Self { version, sites, v4, v6 })
    }

    /// A map without blocks: the site of every client is unknown.
    pub fn empty() -> Self {
        let whole = |end| [Range { start: 0, end, site: SiteIndex::NONE }];
        let (v4, v6) = (V4Table::build(&whole(u32::MAX.into())), V6Table::build(&whole(u64::MAX)));
        Self { version: Version::default(), sites: Vec::new(), v4, v6 }
    }

    /// The site of `addr`.
    pub fn find(&self, addr: IpAddr) -> Option<&Site> {
        let index = match addr {
            IpAddr::V4(addr) => self.v4.find(addr),
            IpAddr::V6(addr) => match addr.to_ipv4_mapped() {
                Some(addr) => self.v4.find(addr),
                None => self.v6.find(addr),
            },
        };
        self.sites.get(usize::from(index.0))
    }

    /// The version of the map.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The sites.
    pub fn sites(&self) -> &[Site] {
        &self.sites
    }

    /// How many ranges the blocks came down to, gaps included.
    pub fn range_count(&self) -> usize {
        self.v4.range_count() + self.v6.range_count()
    }

    /// The memory of the tables, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let sites = self.sites.capacity() * size_of::<Site>();
        self.v4.memory_bytes() + self.v6.memory_bytes() + sites
    }

    /// The map as bytes for the object store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut buf = MAGIC.to_vec();
        let body = postcard::to_stdvec(self).expect("a map has no value that can't be written");
        buf.extend_from_slice(&body);
        let checksum = xxhash_rust::xxh3::xxh3_64(&buf);
        buf.extend_from_slice(&checksum.to_le_bytes());
        buf
    }

    /// Reads what [`BlockMap::to_bytes`] wrote.
    ///
    /// # Errors
    ///
    /// [`Error::Damaged`] if the bytes are anything else.
    pub fn from_bytes(buf: &[u8]) -> Result<Self, Error> {
        let body_len = buf.len().checked_sub(CHECKSUM_BYTES).ok_or(Error::Damaged)?;
        let (body, checksum) = buf.split_at(body_len);
        if xxhash_rust::xxh3::xxh3_64(body).to_le_bytes() != checksum {
            return Err(Error::Damaged);
        }
        let body = body.strip_prefix(&MAGIC).ok_or(Error::Damaged)?;
        let map: Self = postcard::from_bytes(body).map_err(|_| Error::Damaged)?;
        if map.v4.is_valid() && map.v6.is_valid() { Ok(map) } else { Err(Error::Damaged) }
    }

    /// The map of `version` with sorted `changes` laid over both families.
    pub(crate) fn with_changes(&self, version: Version, v4: &[Range], v6: &[Range]) -> Self {
        let sites = self.sites.clone();
        Self { version, sites, v4: self.v4.with_changes(v4), v6: self.v6.with_changes(v6) }
    }
}

/// The range of `net`, if it and its site can be taken.
pub(crate) fn checked_range(
    sites: &[Site],
    net: IpNet,
    site: Option<SiteIndex>,
) -> Result<Range, Error> {
    if site.is_some_and(|site| usize::from(site.0) >= sites.len()) {
        return Err(Error::NoSuchSite(net));
    }
    let site = site.unwrap_or(SiteIndex::NONE);
    match net {
        IpNet::V4(net) => {
            let start = u64::from(net.network().to_bits());
            Ok(Range { start, end: u64::from(net.broadcast().to_bits()), site })
        }
        IpNet::V6(v6) if v6.prefix_len() > MAX_V6_PREFIX_BITS => Err(Error::PrefixTooLong(net)),
        IpNet::V6(net) => {
            let start = (net.network().to_bits() >> 64) as u64;
            Ok(Range { start, end: (net.broadcast().to_bits() >> 64) as u64, site })
        }
    }
}

fn check_unique(blocks: &[Block]) -> Result<(), Error> {
    let mut nets: Vec<IpNet> = blocks.iter().map(|block| block.net.trunc()).collect();
    nets.sort_unstable();
    match nets.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(Error::DuplicateBlock(pair[0])),
        None => Ok(()),
    }
}
