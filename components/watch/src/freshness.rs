//! How old a node's knowledge of the platform is.

use names::Moment;

/// When the platform was last known to hold nothing newer than this node does. A word that somebody watches
/// says nothing of that: the connection of a watch may have fallen silent and stay open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    as_of: Option<Moment>,
}

impl Freshness {
    /// The platform held nothing newer at `as_of`: it said so itself, or another node passed that on. Returns
    /// whether that was not known yet.
    pub fn confirm(&mut self, as_of: Moment) -> bool {
        let is_later = self.as_of < Some(as_of);
        if is_later {
            self.as_of = Some(as_of);
        }
        is_later
    }

    /// Time since then, in microseconds; none if it was never known.
    pub fn age_us(self, now: Moment) -> Option<u64> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
