//! Rendezvous hashing: selects the coordinator of a key.

use names::Name;
use sha2::{Digest, Sha256};

/// Returns `vms` in the order in which they coordinate `key`; the order is the same on every node
/// with the same list.
pub fn ranked(service: &Name, key: &str, vms: &[Name]) -> Vec<Name> {
    let mut weighted: Vec<([u8; 32], &Name)> = vms
        .iter()
        .map(|vm| (weight(service, key, vm), vm))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, vm)| vm.clone()).collect()
}

fn weight(service: &Name, key: &str, vm: &Name) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [service.as_str(), key, vm.as_str()] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().into()
}
