//! Free ports: each is found only once.

use cardamomslip_test::ports::free_addresses;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// Number of addresses that a fleet of four daemons needs.
const COUNT: usize = 8;
/// Number of rows. When each port was released before the next one was taken, about one row in 450
/// held a port twice.
const ROWS: usize = 6_000;

#[test]
fn free_addresses_differ() {
    let ip = Ipv4Addr::new(127, 92, 17, 3);
    for _ in 0..ROWS {
        let addresses = free_addresses(ip, COUNT).expect("free ports");
        let different: BTreeSet<_> = addresses.iter().collect();
        assert_eq!(different.len(), COUNT, "{addresses:?}");
    }
}
