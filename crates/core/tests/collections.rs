//! Keys that a client chooses so that their hashes collide.

use cardamomslip_core::collections::{FastMap, set_hash_key};
use std::collections::HashSet;
use std::hash::{BuildHasher, Hash};

/// Number of chosen keys.
const KEYS: u64 = 4_096;
/// Bits of a hash that select the place of a key in a table of 65,536 places.
const PLACE_BITS: u64 = 0xffff;
/// Inverse of an odd factor modulo 2^64: multiples of it are small multiples of one after a
/// multiplication with the factor.
const INVERSE: u64 = inverse(0xf135_7aea_2e62_a9c5);

const fn inverse(factor: u64) -> u64 {
    let mut inverse = factor;
    let mut step = 0;
    // Each step doubles the number of correct bits, of which there are three at first.
    while step < 5 {
        inverse = inverse.wrapping_mul(2u64.wrapping_sub(factor.wrapping_mul(inverse)));
        step += 1;
    }
    inverse
}

/// Returns the number of places that the hashes of the keys select.
fn places<K: Hash>(keys: impl Iterator<Item = K>) -> usize {
    let map = FastMap::<u64, ()>::default();
    let places = keys.map(|key| map.hasher().hash_one(key) & PLACE_BITS);
    places.collect::<HashSet<u64>>().len()
}

/// Keys that collide under a hasher without a key select as many places as others do.
#[test]
fn chosen_keys_do_not_collide() {
    let min = (KEYS / 2) as usize;
    assert!(places(0..KEYS) >= min);
    assert!(places((0..KEYS).map(|i| INVERSE.wrapping_mul(i))) >= min);
    assert!(places((0..KEYS).map(|i| i << 32)) >= min);
}

/// Once a map exists, the key can't change: its entries would not be found any more.
#[test]
fn the_key_of_the_process_is_set_once() {
    let _map = FastMap::<u64, ()>::default();
    assert!(set_hash_key(7).is_err());
}
