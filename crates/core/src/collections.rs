//! Maps and sets with faster hashers than the standard one.

/// `HashMap` uses a fast, unseeded hasher. For keys that callers can't choose.
pub type HashMap<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// `HashSet` uses a fast, unseeded hasher. For keys that callers can't choose.
pub type HashSet<K> = std::collections::HashSet<K, rustc_hash::FxBuildHasher>;

/// `SeededHashMap` uses a randomly seeded hasher, so that callers who choose its keys
/// can't cause collisions.
pub type SeededHashMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;
