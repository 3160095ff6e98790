//! Peers that reported newer declarations while a node was not allowed to query them.

use crate::AllowedWork;
use names::Name;

/// Maximum number of stored peers. One that has the declarations is enough; others may have
/// terminated meanwhile.
pub const MAX_POSTPONED: usize = 8;

/// Peers to query once that is allowed, each with a link to it. A peer sends its summary once per
/// connection, so it would not repeat one that was dropped.
#[derive(Debug)]
pub struct PostponedPeers<T> {
    peers: Vec<(Name, T)>,
}

impl<T> Default for PostponedPeers<T> {
    fn default() -> PostponedPeers<T> {
        PostponedPeers { peers: Vec::new() }
    }
}

impl<T> PostponedPeers<T> {
    /// Stores a peer and its most recent link.
    pub fn add(&mut self, peer: &Name, link: T) {
        self.peers.retain(|(known, _)| known != peer);
        if self.peers.len() < MAX_POSTPONED {
            self.peers.push((peer.clone(), link));
        }
    }

    /// Removes and returns the links of the peers to query now; none while no work is allowed.
    pub fn take_due(&mut self, allowed: AllowedWork) -> Vec<T> {
        if allowed == AllowedWork::Nothing {
            return Vec::new();
        }
        let peers = std::mem::take(&mut self.peers);
        peers.into_iter().map(|(_, link)| link).collect()
    }
}
