//! Age of a node's knowledge of the platform's state.

use names::Moment;

/// When the platform was last known to hold nothing newer than this node does. A notice of a
/// watcher is no confirmation of that: the connection of its watch may be unresponsive and still
/// open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    as_of: Option<Moment>,
}

impl Freshness {
    /// Records that the platform held nothing newer at `as_of`, as reported by the platform or by
    /// another node. Returns whether this is later than any confirmation so far.
    pub fn confirm(&mut self, as_of: Moment) -> bool {
        let is_later = self.as_of < Some(as_of);
        if is_later {
            self.as_of = Some(as_of);
        }
        is_later
    }

    /// Time since the last confirmation, in microseconds; none if there was none.
    pub fn age_us(self, now: Moment) -> Option<u64> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
