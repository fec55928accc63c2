//! Look-ups in a map without blocks.

use std::net::IpAddr;

use foxtail_place::BlockMap;

#[test]
fn empty_map_has_no_location_for_any_address() {
    let map = BlockMap::empty();
    for addr in ["0.0.0.0", "127.0.0.1", "255.255.255.255", "::1", "ffff::", "::ffff:10.0.0.1"] {
        let addr: IpAddr = addr.parse().unwrap();
        assert!(map.find(addr).is_none(), "{addr}");
    }
}
