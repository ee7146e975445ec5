//! Aliases for hash collections, so that the hasher is chosen in one place.

/// A hash map with a fast hasher that is not resistant to chosen keys.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher that is not resistant to chosen keys.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
