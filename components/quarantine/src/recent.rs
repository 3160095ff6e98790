//! Requests that have run to a good end lately.

use crate::fingerprint::Fingerprint;
use names::{Moment, SECOND};
use std::collections::{HashMap, VecDeque};

/// A good end speaks for a request for so long, in microseconds. What many callers send runs well many times in
/// that; what has turned harmful is held so much later.
pub const SPEAKS_FOR_US: u64 = 30 * SECOND;
/// Requests that are remembered at most: 160 KB. A node of the target serves 90 a second, so that these cover the
/// time above.
const MOST_REMEMBERED: usize = 4_096;

/// When requests last ran to a good end, as one node saw it.
#[derive(Debug, Clone, Default)]
pub struct RecentRuns {
    last: HashMap<Fingerprint, Moment>,
    order: VecDeque<(Moment, Fingerprint)>,
}

impl RecentRuns {
    /// Takes in a good end.
    pub fn ran(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.last.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some((at, oldest)) = self.order.front().copied() {
            let is_due = now.since(at) > SPEAKS_FOR_US || self.order.len() > MOST_REMEMBERED;
            if !is_due {
                return;
            }
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Whether a request has run to a good end lately.
    pub fn has(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        let last = self.last.get(&fingerprint);
        last.is_some_and(|last| now.since(*last) <= SPEAKS_FOR_US)
    }
}
