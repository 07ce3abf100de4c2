//! Hash map and hash set types used throughout the crate.
//!
//! Clients choose some of the keys, such as job ids. The hasher has a key of the process, so that they
//! can't choose many whose hashes collide.

use foldhash::SharedSeed;
use foldhash::fast::{FoldHasher, SeedableRandomState};
use std::hash::BuildHasher;
use std::sync::OnceLock;

/// Key of processes that set none. With it, the order of iteration is the same in each run, which
/// simulations need.
const FIXED_KEY: u64 = 0;
/// Seed of each map beside the key of the process.
const MAP_SEED: u64 = 0;

static KEY: OnceLock<SharedSeed> = OnceLock::new();

/// Hash map with a fast, keyed, non-cryptographic hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, KeyedState>;

/// Hash set with the same hasher as [`FastMap`].
pub type FastSet<K> = std::collections::HashSet<K, KeyedState>;

/// The key can't be set any more, as a map exists already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the hash key is in use already")]
pub struct HashKeyInUse;

/// Sets the key of the hashers of this process, which must not be known to clients. To be called before
/// the first map is created.
///
/// # Errors
///
/// Returns an error if a map was created or a key was set before.
pub fn set_hash_key(key: u64) -> Result<(), HashKeyInUse> {
    let set = KEY.set(SharedSeed::from_u64(key));
    set.or(Err(HashKeyInUse))
}

/// Creates the hashers of a [`FastMap`].
#[derive(Clone, Debug)]
pub struct KeyedState(SeedableRandomState);

impl KeyedState {
    /// Returns a state with a key of its own instead of that of the process.
    #[must_use]
    pub fn with_key(key: &'static SharedSeed) -> Self {
        Self(SeedableRandomState::with_seed(MAP_SEED, key))
    }
}

impl Default for KeyedState {
    fn default() -> Self {
        Self::with_key(KEY.get_or_init(|| SharedSeed::from_u64(FIXED_KEY)))
    }
}

impl BuildHasher for KeyedState {
    type Hasher = FoldHasher<'static>;

    fn build_hasher(&self) -> Self::Hasher {
        self.0.build_hasher()
    }
}
