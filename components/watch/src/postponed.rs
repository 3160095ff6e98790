//! Peers that told of something newer while a node asked nobody.

use crate::AllowedWork;
use names::Name;

/// Peers that are kept at most. One that has the declarations is enough, and others may have ended meanwhile.
pub const MAX_POSTPONED: usize = 8;

/// The peers to be asked once that is allowed, and the way to each. A summary is sent once for each connection, so a peer
/// whose summary was dropped would not repeat it.
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
    /// Keeps a peer, and the way to it that was used last.
    pub fn add(&mut self, peer: &Name, way: T) {
        self.peers.retain(|(known, _)| known != peer);
        if self.peers.len() < MAX_POSTPONED {
            self.peers.push((peer.clone(), way));
        }
    }

    /// The peers to ask now, each once: none while nothing is allowed.
    pub fn take_due(&mut self, allowed: AllowedWork) -> Vec<T> {
        if allowed == AllowedWork::Nothing {
            return Vec::new();
        }
        let peers = std::mem::take(&mut self.peers);
        peers.into_iter().map(|(_, way)| way).collect()
    }
}
