//! Hash map and hash set types used throughout the crate.

/// Hash map with a fast, non-cryptographic hasher.
///
/// The hasher does not resist chosen keys, so keys that a caller can choose must be limited in
/// number before they are inserted.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
