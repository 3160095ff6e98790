//! Detection of duplicate keys in linear time.

use std::collections::HashSet;
use std::hash::Hash;

/// For each key, whether no equal key precedes it.
pub fn first_occurrences<K: Hash + Eq>(keys: impl IntoIterator<Item = K>) -> Vec<bool> {
    let mut seen = HashSet::new();
    keys.into_iter().map(|key| seen.insert(key)).collect()
}
