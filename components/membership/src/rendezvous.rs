//! Rendezvous hashing: an order of VMs per topic, which is the same on all nodes.

use names::Name;
use sha2::{Digest, Sha256};

/// Rendezvous weight of a VM for a topic.
pub fn rendezvous(topic: &str, vm: &Name) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update((topic.len() as u64).to_le_bytes());
    hasher.update(topic.as_bytes());
    hasher.update(vm.as_str().as_bytes());
    hasher.finalize().into()
}
