//! Which of several keys are new, in time that grows with their number and not with that of their pairs.

use std::collections::HashSet;
use std::hash::Hash;

/// For each key, whether no equal one stands before it.
pub fn first_occurrences<K: Hash + Eq>(keys: impl IntoIterator<Item = K>) -> Vec<bool> {
    let mut seen = HashSet::new();
    keys.into_iter().map(|key| seen.insert(key)).collect()
}
