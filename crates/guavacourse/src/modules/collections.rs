//! Hash collections with a fast hasher.

/// Hash map with a fast hasher; keys come from trusted processes.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher; keys come from trusted processes.
pub type Set<K> = rustc_hash::FxHashSet<K>;
