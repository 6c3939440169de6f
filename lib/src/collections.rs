//! Collection aliases with the project's hasher.

/// Hash map with a fast, randomly keyed hasher; safe for keys that callers choose.
pub type HashMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// Hash set with the same hasher as [`HashMap`].
pub type HashSet<K> = std::collections::HashSet<K, ahash::RandomState>;
