//! Hash collection aliases, which fix the hasher in one place.

/// Hash map with a fast hasher that does not resist collision attacks.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher that does not resist collision attacks.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
