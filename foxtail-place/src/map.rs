//! The compiled map from blocks of client addresses to sites.
//!
//! Each address family is a sorted run of range starts with a site each; gaps are ranges without a
//! site. IPv4 starts are split: a table over the upper 16 bits leads to the lower 16 bits of the
//! starts below it, so that a range takes 4 bytes. IPv6 starts are the upper 64 bits of the
//! address; every 64th is repeated in an upper level that stays in the processor's cache.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use foxtail_types::prelude::*;
use ipnet::IpNet;

use crate::ranges::{Range, flatten};

/// The longest IPv6 prefix that a block may have.
const V6_PREFIX_MAX: u8 = 64;
/// Upper halves of IPv4 addresses.
const V4_UPPERS: usize = 1 << 16;
/// Starts below one entry of the upper level for IPv6.
const V6_FANOUT: usize = 64;
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
    v4: V4,
    v6: V6,
}

#[value]
struct V4 {
    /// For each upper half, where its ranges begin; one more entry for the end.
    index: Vec<u32>,
    /// The lower halves of the starts. The first of each upper half is zero.
    lower: Vec<u16>,
    sites: Vec<SiteIndex>,
}

#[value]
struct V6 {
    upper: Vec<u64>,
    starts: Vec<u64>,
    sites: Vec<SiteIndex>,
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
    #[error("block {0} is smaller than a /{V6_PREFIX_MAX}")]
    TooSmall(IpNet),
    /// A block stands in the list twice.
    #[error("block {0} stands in the list twice")]
    Twice(IpNet),
    /// The bytes are no serialised map, or were damaged.
    #[error("the bytes are no block map")]
    Damaged,
    /// A delta belongs to another version of the map.
    #[error("the delta applies to version {base:?}, not to {have:?}")]
    OtherBase {
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
        check_twice(blocks)?;
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for block in blocks {
            let range = check(&sites, block.net, Some(block.site))?;
            match block.net {
                IpNet::V4(_) => v4.push(range),
                IpNet::V6(_) => v6.push(range),
            }
        }
        let v4 = V4::collect(flatten(v4, u64::from(u32::MAX)).into_iter());
        let v6 = V6::collect(flatten(v6, u64::MAX).into_iter());
        Ok(Self { version, sites, v4, v6 })
    }

    /// A map without blocks: the site of every client is unknown.
    pub fn empty() -> Self {
        let whole = |end| std::iter::once(Range { start: 0, end, site: SiteIndex::NONE });
        let (v4, v6) = (V4::collect(whole(u32::MAX.into())), V6::collect(whole(u64::MAX)));
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
    pub fn ranges(&self) -> usize {
        self.v4.lower.len() + self.v6.starts.len()
    }

    /// The memory of the tables, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let v4 = self.v4.index.capacity() * 4 + self.v4.lower.capacity() * 2;
        let v6 = (self.v6.upper.capacity() + self.v6.starts.capacity()) * 8;
        let sites = (self.v4.sites.capacity() + self.v6.sites.capacity()) * 2;
        v4 + v6 + sites + self.sites.capacity() * size_of::<Site>()
    }

    /// The map as bytes for the object store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut buf = MAGIC.to_vec();
        let body = postcard::to_stdvec(self).expect("a map has no value that can't be written");
        buf.extend_from_slice(&body);
        let sum = xxhash_rust::xxh3::xxh3_64(&buf);
        buf.extend_from_slice(&sum.to_le_bytes());
        buf
    }

    /// Reads what [`BlockMap::to_bytes`] wrote.
    ///
    /// # Errors
    ///
    /// [`Error::Damaged`] if the bytes are anything else.
    pub fn from_bytes(buf: &[u8]) -> Result<Self, Error> {
        let at = buf.len().checked_sub(CHECKSUM_BYTES).ok_or(Error::Damaged)?;
        let (body, sum) = buf.split_at(at);
        if xxhash_rust::xxh3::xxh3_64(body).to_le_bytes() != sum {
            return Err(Error::Damaged);
        }
        let body = body.strip_prefix(&MAGIC).ok_or(Error::Damaged)?;
        let map: Self = postcard::from_bytes(body).map_err(|_| Error::Damaged)?;
        if map.v4.is_sound() && map.v6.is_sound() { Ok(map) } else { Err(Error::Damaged) }
    }

    pub(crate) fn parts(
        &self,
    ) -> (impl Iterator<Item = Range> + '_, impl Iterator<Item = Range> + '_) {
        (self.v4.ranges(), self.v6.ranges())
    }

    pub(crate) fn from_parts(
        version: Version,
        sites: Vec<Site>,
        v4: impl Iterator<Item = Range>,
        v6: impl Iterator<Item = Range>,
    ) -> Self {
        Self { version, sites, v4: V4::collect(v4), v6: V6::collect(v6) }
    }
}

impl V4 {
    fn collect(ranges: impl Iterator<Item = Range>) -> Self {
        let mut out = Self {
            index: Vec::with_capacity(V4_UPPERS + 1),
            lower: Vec::with_capacity(ranges.size_hint().0),
            sites: Vec::with_capacity(ranges.size_hint().0),
        };
        for range in ranges {
            out.push(range);
        }
        out.index.push(out.lower.len() as u32);
        out.lower.shrink_to_fit();
        out.sites.shrink_to_fit();
        out
    }

    /// Adds a range at the end, once more for each further upper half that it reaches into.
    fn push(&mut self, range: Range) {
        let first = (range.start >> 16) as usize;
        let last = (range.end >> 16) as usize;
        for upper in first..=last {
            let lower = if upper == first { range.start as u16 } else { 0 };
            let opens = self.index.len() == upper;
            if opens {
                self.index.push(self.lower.len() as u32);
            } else if self.sites.last() == Some(&range.site) {
                continue;
            }
            self.lower.push(lower);
            self.sites.push(range.site);
        }
    }

    fn find(&self, addr: Ipv4Addr) -> SiteIndex {
        let bits = addr.to_bits();
        let upper = (bits >> 16) as usize;
        let from = self.index[upper] as usize;
        let to = self.index[upper + 1] as usize;
        let lower = bits as u16;
        let after = self.lower[from..to].partition_point(|&start| start <= lower);
        self.sites[from + after - 1]
    }

    fn ranges(&self) -> impl Iterator<Item = Range> + '_ {
        (0..V4_UPPERS).flat_map(move |upper| {
            let from = self.index[upper] as usize;
            let to = self.index[upper + 1] as usize;
            (from..to).map(move |at| {
                let base = (upper as u64) << 16;
                let next = if at + 1 < to { u64::from(self.lower[at + 1]) } else { 1 << 16 };
                let start = base + u64::from(self.lower[at]);
                Range { start, end: base + next - 1, site: self.sites[at] }
            })
        })
    }

    fn is_sound(&self) -> bool {
        let whole = self.index.len() == V4_UPPERS + 1
            && self.index.last() == Some(&(self.lower.len() as u32))
            && self.sites.len() == self.lower.len();
        whole
            && self.index.windows(2).all(|pair| pair[0] < pair[1])
            && self.index[..V4_UPPERS].iter().all(|&at| self.lower[at as usize] == 0)
    }
}

impl V6 {
    fn collect(ranges: impl Iterator<Item = Range>) -> Self {
        let mut out = Self { upper: Vec::new(), starts: Vec::new(), sites: Vec::new() };
        for range in ranges {
            if out.sites.last() != Some(&range.site) {
                out.starts.push(range.start);
                out.sites.push(range.site);
            }
        }
        out.upper = out.starts.iter().copied().step_by(V6_FANOUT).collect();
        out.starts.shrink_to_fit();
        out.sites.shrink_to_fit();
        out
    }

    fn find(&self, addr: Ipv6Addr) -> SiteIndex {
        let key = (addr.to_bits() >> 64) as u64;
        let chunk = self.upper.partition_point(|&start| start <= key) - 1;
        let from = chunk * V6_FANOUT;
        let to = (from + V6_FANOUT).min(self.starts.len());
        let after = self.starts[from..to].partition_point(|&start| start <= key);
        self.sites[from + after - 1]
    }

    fn ranges(&self) -> impl Iterator<Item = Range> + '_ {
        (0..self.starts.len()).map(|at| {
            let end = self.starts.get(at + 1).map_or(u64::MAX, |next| next - 1);
            Range { start: self.starts[at], end, site: self.sites[at] }
        })
    }

    fn is_sound(&self) -> bool {
        self.starts.first() == Some(&0)
            && self.sites.len() == self.starts.len()
            && self.starts.windows(2).all(|pair| pair[0] < pair[1])
            && self.upper.iter().eq(self.starts.iter().step_by(V6_FANOUT))
    }
}

/// The range of `net`, if it and its site can be taken.
pub(crate) fn check(sites: &[Site], net: IpNet, site: Option<SiteIndex>) -> Result<Range, Error> {
    if site.is_some_and(|site| usize::from(site.0) >= sites.len()) {
        return Err(Error::NoSuchSite(net));
    }
    let site = site.unwrap_or(SiteIndex::NONE);
    match net {
        IpNet::V4(net) => {
            let start = u64::from(net.network().to_bits());
            Ok(Range { start, end: u64::from(net.broadcast().to_bits()), site })
        }
        IpNet::V6(v6) if v6.prefix_len() > V6_PREFIX_MAX => Err(Error::TooSmall(net)),
        IpNet::V6(net) => {
            let start = (net.network().to_bits() >> 64) as u64;
            Ok(Range { start, end: (net.broadcast().to_bits() >> 64) as u64, site })
        }
    }
}

fn check_twice(blocks: &[Block]) -> Result<(), Error> {
    let mut nets: Vec<IpNet> = blocks.iter().map(|block| block.net.trunc()).collect();
    nets.sort_unstable();
    match nets.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(Error::Twice(pair[0])),
        None => Ok(()),
    }
}
