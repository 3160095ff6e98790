//! Requests that completed recently.

use crate::fingerprint::Fingerprint;
use names::{Moment, SECOND};
use std::collections::{HashMap, VecDeque};

/// Time for which a completed request counts as harmless, in microseconds. Requests that many
/// callers send complete many times within it; the quarantine of a request that has become harmful
/// is delayed by it.
pub const RECENT_US: u64 = 30 * SECOND;
/// Maximum number of remembered completions (160 KB). A node at the target load serves 90 requests
/// per second, so these cover [`RECENT_US`].
const MAX_REMEMBERED: usize = 4_096;

/// Times of the latest completion of each request, as observed by one node.
#[derive(Debug, Clone, Default)]
pub struct RecentCompletions {
    latest: HashMap<Fingerprint, Moment>,
    order: VecDeque<(Moment, Fingerprint)>,
}

impl RecentCompletions {
    /// Records a completion and drops old ones.
    pub fn record(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.latest.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some((at, oldest)) = self.order.front().copied() {
            let is_dropped = now.since(at) > RECENT_US || self.order.len() > MAX_REMEMBERED;
            if !is_dropped {
                return;
            }
            self.order.pop_front();
            if self.latest.get(&oldest) == Some(&at) {
                self.latest.remove(&oldest);
            }
        }
    }

    /// Whether a request completed recently.
    pub fn contains(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        let latest = self.latest.get(&fingerprint);
        latest.is_some_and(|latest| now.since(*latest) <= RECENT_US)
    }
}
