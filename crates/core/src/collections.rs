//! Aliases for the hash collections that every module uses.

/// Hash map with a fast, non-cryptographic hasher.
///
/// Keys that a caller can choose are bounded in number before they reach such a map.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the hasher of [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
