//! Slots kept for deeper calls.
//!
//! A call holds its slot while the calls below it run. When outer calls take every slot, the calls
//! below them find none, and all time out together. While deeper calls come, outer ones leave some
//! slots to them.

use names::{Moment, SECOND};

/// Deeper calls count for so long after the last one came, in microseconds.
const REMEMBERED_US: u64 = 2 * SECOND;
/// The part of the limit that may be kept for deeper calls: one in so many.
const KEPT_PART: u32 = 3;

/// The deepest level seen lately.
#[derive(Debug, Clone, Default)]
pub struct DepthTracker {
    deepest: u32,
    seen: Moment,
}

impl DepthTracker {
    /// Takes in the level of an offer.
    pub fn observe(&mut self, now: Moment, level: u32) {
        let old = now.since(self.seen) > REMEMBERED_US;
        if level >= self.deepest || old {
            self.deepest = level;
            self.seen = now;
        }
    }

    /// The limit for a call of `level` under a limit for all of `limit`.
    pub fn limit(&self, now: Moment, level: u32, limit: u32) -> u32 {
        if now.since(self.seen) > REMEMBERED_US {
            return limit;
        }
        let deeper = self.deepest.saturating_sub(level);
        limit - deeper.min(limit / KEPT_PART)
    }
}
