//! Identification of clients by their addresses.

use std::net::{IpAddr, Ipv6Addr};

/// Bits of an IPv6 address that identify a client; it can choose the others.
const IPV6_CLIENT_BITS: u32 = 64;

/// Returns the part of an address that identifies a client.
pub fn client_key(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(address) => {
            let bits = address.to_bits() >> IPV6_CLIENT_BITS << IPV6_CLIENT_BITS;
            IpAddr::V6(Ipv6Addr::from_bits(bits))
        }
        address @ IpAddr::V4(_) => address,
    }
}
