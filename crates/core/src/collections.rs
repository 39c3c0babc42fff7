//! Maps with the hashers the project has chosen.

/// `HashMap` uses a fast hasher; its keys come from the system itself.
pub type HashMap<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// `HashSet` uses a fast hasher; its keys come from the system itself.
pub type HashSet<K> = std::collections::HashSet<K, rustc_hash::FxBuildHasher>;

/// `SeededHashMap` uses a randomly seeded hasher, for keys that callers choose.
pub type SeededHashMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;
