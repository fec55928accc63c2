//! The compiled map from blocks of callers' addresses to locations.
//!
//! Each address family is a sorted list of range starts, each with a location; gaps are ranges
//! without a location. The list is split into chunks, so that a delta rebuilds only the chunks that
//! it changes and shares the others with the previous map. An IPv4 range takes 4 bytes: the chunk
//! and its index give the upper half of the address. An IPv6 range takes 10 bytes, since its start
//! is the upper 64 bits of an address.

use std::net::IpAddr;

use foxtail_types::prelude::*;
use ipnet::IpNet;

use crate::ranges::{Range, flatten};
use crate::v4::V4Table;
use crate::v6::V6Table;

/// The longest IPv6 prefix of a block, in bits: the table has only these upper bits of an address.
const MAX_V6_PREFIX_BITS: u8 = 64;
/// The first bytes of a serialized map.
const MAGIC: [u8; 4] = *b"fxbm";
/// The length of the checksum at the end of a serialized map, in bytes.
const CHECKSUM_BYTES: usize = 8;

/// The index of a location in the list of locations.
#[id]
#[serde(transparent)]
pub struct LocationIndex(pub u16);

/// A region, with or without a zone, where the callers of a block are served.
#[value]
pub struct Location {
    /// The region.
    pub region: RegionId,
    /// The zone, if the callers are nearer to one zone of the region than to the others.
    pub zone: Option<ZoneId>,
}

/// A block of callers' addresses, with its location.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Block {
    /// The addresses of the block. An inner block takes precedence over one that encloses it.
    pub net: IpNet,
    /// The location of its callers.
    pub location: LocationIndex,
}

/// A compiled map from callers' addresses to locations.
#[value]
pub struct BlockMap {
    version: Version,
    locations: Vec<Location>,
    v4: V4Table,
    v6: V6Table,
}

/// Why a map could not be built, changed or read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A block or change refers to a location that is not in the list.
    #[error("block {0} refers to a location that is not in the list of locations")]
    NoSuchLocation(IpNet),
    /// The list has more locations than an index can address.
    #[error(
        "{0} locations are more than a map can hold; expected fewer than {max}",
        max = LocationIndex::NONE.0
    )]
    TooManyLocations(usize),
    /// The prefix of an IPv6 block is too long.
    #[error("the prefix of block {0} is too long; expected at most /{MAX_V6_PREFIX_BITS}")]
    PrefixTooLong(IpNet),
    /// The list has the same block twice.
    #[error("block {0} is in the list of blocks twice")]
    DuplicateBlock(IpNet),
    /// The bytes are not a serialized map, or they are damaged.
    #[error("the bytes are not a valid block map")]
    Damaged,
    /// A delta applies to another version of the map.
    #[error("the delta applies to version {base} of the map, but the map has version {have}")]
    VersionMismatch {
        /// The version that the delta applies to.
        base: Version,
        /// The version of the map.
        have: Version,
    },
}

impl LocationIndex {
    /// The index that stands for no location.
    pub const NONE: LocationIndex = LocationIndex(u16::MAX);
}

impl BlockMap {
    /// Compiles `blocks` to a map with the list `locations`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if there are too many locations, or with the first invalid block.
    pub fn build(
        version: Version,
        locations: Vec<Location>,
        blocks: &[Block],
    ) -> Result<Self, Error> {
        if locations.len() >= usize::from(LocationIndex::NONE.0) {
            return Err(Error::TooManyLocations(locations.len()));
        }
        check_unique(blocks)?;
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for block in blocks {
            let range = checked_range(&locations, block.net, Some(block.location))?;
            match block.net {
                IpNet::V4(_) => v4.push(range),
                IpNet::V6(_) => v6.push(range),
            }
        }
        let v4 = V4Table::build(&flatten(v4, u64::from(u32::MAX)));
        let v6 = V6Table::build(&flatten(v6, u64::MAX));
        Ok(Self { version, locations, v4, v6 })
    }

    /// Returns a map without blocks, in which no address has a location.
    pub fn empty() -> Self {
        let whole = |end| [Range { start: 0, end, location: LocationIndex::NONE }];
        let (v4, v6) = (V4Table::build(&whole(u32::MAX.into())), V6Table::build(&whole(u64::MAX)));
        Self { version: Version::default(), locations: Vec::new(), v4, v6 }
    }

    /// Returns the location of `addr`, or `None` if no block contains it. An IPv4-mapped IPv6
    /// address is looked up as IPv4.
    pub fn find(&self, addr: IpAddr) -> Option<&Location> {
        let index = match addr {
            IpAddr::V4(addr) => self.v4.find(addr),
            IpAddr::V6(addr) => match addr.to_ipv4_mapped() {
                Some(addr) => self.v4.find(addr),
                None => self.v6.find(addr),
            },
        };
        self.locations.get(usize::from(index.0))
    }

    /// Returns the version of the map.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the list of locations.
    pub fn locations(&self) -> &[Location] {
        &self.locations
    }

    /// Returns the number of ranges in the tables, gaps included. An IPv4 range counts once for
    /// each /16 that it extends into.
    pub fn range_count(&self) -> usize {
        self.v4.range_count() + self.v6.range_count()
    }

    /// Returns the memory of the tables, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let locations = self.locations.capacity() * size_of::<Location>();
        self.v4.memory_bytes() + self.v6.memory_bytes() + locations
    }

    /// Serializes the map for the object store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut buf = MAGIC.to_vec();
        let body = postcard::to_stdvec(self).expect("a map is serializable");
        buf.extend_from_slice(&body);
        let checksum = xxhash_rust::xxh3::xxh3_64(&buf);
        buf.extend_from_slice(&checksum.to_le_bytes());
        buf
    }

    /// Deserializes a map that [`BlockMap::to_bytes`] serialized.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Damaged`] if `buf` is anything else.
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

    /// Returns the map of `version`, with the sorted changes `v4` and `v6` applied to the tables.
    pub(crate) fn with_changes(&self, version: Version, v4: &[Range], v6: &[Range]) -> Self {
        let locations = self.locations.clone();
        Self { version, locations, v4: self.v4.with_changes(v4), v6: self.v6.with_changes(v6) }
    }
}

/// Returns the range of `net`, after a check of its prefix and its location.
pub(crate) fn checked_range(
    locations: &[Location],
    net: IpNet,
    location: Option<LocationIndex>,
) -> Result<Range, Error> {
    if location.is_some_and(|location| usize::from(location.0) >= locations.len()) {
        return Err(Error::NoSuchLocation(net));
    }
    let location = location.unwrap_or(LocationIndex::NONE);
    match net {
        IpNet::V4(net) => {
            let start = u64::from(net.network().to_bits());
            Ok(Range { start, end: u64::from(net.broadcast().to_bits()), location })
        }
        IpNet::V6(v6) if v6.prefix_len() > MAX_V6_PREFIX_BITS => Err(Error::PrefixTooLong(net)),
        IpNet::V6(net) => {
            let start = (net.network().to_bits() >> 64) as u64;
            Ok(Range { start, end: (net.broadcast().to_bits() >> 64) as u64, location })
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
