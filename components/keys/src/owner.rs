//! Rendezvous hashing: the owner of a key among the declared upstreams of a service.

use names::Name;
use sha2::{Digest, Sha256};

/// The owner of `key` among `vms`; the same on every node that has the same list.
pub fn owner<'a>(service: &Name, key: &str, vms: &'a [Name]) -> Option<&'a Name> {
    vms.iter().max_by_key(|vm| weight(service, key, vm))
}

fn weight(service: &Name, key: &str, vm: &Name) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [service.as_str(), key, vm.as_str()] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().into()
}
