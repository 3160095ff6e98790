//! How old a node's knowledge of the platform is.

use names::Moment;

/// When the platform was last known to hold nothing newer than this node does. A word that somebody watches
/// says nothing of that: the connection of a watch may have fallen silent and stay open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    as_of: Option<Moment>,
}

impl Freshness {
    /// The platform held nothing newer at `as_of`: it said so itself, or another node passed that on.
    pub fn confirm(&mut self, as_of: Moment) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Time since then, in microseconds; none if it was never known.
    pub fn age_us(self, now: Moment) -> Option<u64> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
