//! Which nodes watch the platform on behalf of their hall.
//!
//! Each node works this out alone from its view. Two views may disagree; then none or three nodes
//! watch for a while, which costs a slower poll or a few calls and is otherwise harmless.

use crate::View;
use names::Name;
use sha2::{Digest, Sha256};

/// Nodes of each hall that watch the platform.
pub const WATCHERS_PER_HALL: usize = 2;

/// The watchers of a hall among the VMs that are listed and not leaving.
pub fn watchers(view: &View, hall: &Name) -> Vec<Name> {
    let mut ranked: Vec<([u8; 32], &Name)> = view
        .in_hall(hall)
        .map(|vm| (rendezvous(hall.as_str(), &vm.name), &vm.name))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(WATCHERS_PER_HALL)
        .map(|(_, name)| name.clone())
        .collect()
}

/// Rendezvous weight of a VM for a topic.
pub fn rendezvous(topic: &str, vm: &Name) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update((topic.len() as u64).to_le_bytes());
    hasher.update(topic.as_bytes());
    hasher.update(vm.as_str().as_bytes());
    hasher.finalize().into()
}
