//! Where a suspect runs.

use crate::fingerprint::Fingerprint;
use membership::rendezvous;
use names::Name;

/// Upstreams that are tried for one suspect at most.
const MOST_TRIED: usize = 6;

/// The VMs at which a request under which an upstream ended may run, the best first: the same at every node that
/// knows the same VMs, so that copies which come at several nodes meet at one.
pub fn suspect_order(fingerprint: Fingerprint, vms: impl IntoIterator<Item = Name>) -> Vec<Name> {
    let topic = fingerprint.to_string();
    let ranked = vms.into_iter().map(|vm| (rendezvous(&topic, &vm), vm));
    let mut ranked: Vec<([u8; 32], Name)> = ranked.collect();
    ranked.sort_unstable();
    ranked.truncate(MOST_TRIED);
    ranked.into_iter().map(|(_, vm)| vm).collect()
}
