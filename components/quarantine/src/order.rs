//! Selection of the upstreams that may process a suspect.

use crate::fingerprint::Fingerprint;
use membership::rendezvous;
use names::Name;

/// Maximum number of upstreams to which a suspect is offered.
const MAX_CANDIDATES: usize = 6;

/// The VMs at which a suspect may be processed, in order of preference. Nodes that know the same VMs
/// compute the same order, so copies that arrive at different nodes are sent to the same upstream.
pub fn suspect_order(fingerprint: Fingerprint, vms: impl IntoIterator<Item = Name>) -> Vec<Name> {
    let topic = fingerprint.to_string();
    let ranked = vms.into_iter().map(|vm| (rendezvous(&topic, &vm), vm));
    let mut ranked: Vec<([u8; 32], Name)> = ranked.collect();
    ranked.sort_unstable();
    ranked.truncate(MAX_CANDIDATES);
    ranked.into_iter().map(|(_, vm)| vm).collect()
}
