//! Peers that told of something newer while a node asked nobody.

use crate::Allowed;
use names::Name;

/// Peers that are kept at most. One that has the declarations is enough, and others may have ended meanwhile.
pub const MOST_POSTPONED: usize = 8;

/// The peers to be asked once that is allowed, and the way to each. A summary is sent once for each connection, so a peer
/// whose summary was dropped would not repeat it.
#[derive(Debug)]
pub struct Postponed<T> {
    peers: Vec<(Name, T)>,
}

impl<T> Default for Postponed<T> {
    fn default() -> Postponed<T> {
        Postponed { peers: Vec::new() }
    }
}

impl<T> Postponed<T> {
    /// Keeps a peer, and the way to it that was used last.
    pub fn add(&mut self, peer: &Name, way: T) {
        self.peers.retain(|(known, _)| known != peer);
        if self.peers.len() < MOST_POSTPONED {
            self.peers.push((peer.clone(), way));
        }
    }

    /// The peers to ask now, each once: none while nothing is allowed.
    pub fn due(&mut self, allowed: Allowed) -> Vec<T> {
        if allowed == Allowed::Nothing {
            return Vec::new();
        }
        let peers = std::mem::take(&mut self.peers);
        peers.into_iter().map(|(_, way)| way).collect()
    }
}
