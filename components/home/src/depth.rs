//! Reserves slots for deeper calls.
//!
//! A call holds its slot while the calls below it run. If outer calls take every slot, the calls
//! below them get none and all of them time out together. While deeper calls arrive, some slots are
//! therefore reserved for them.

use names::{Moment, SECOND};

/// How long the deepest level counts after it was last seen, in microseconds.
const LEVEL_RETENTION_US: u64 = 2 * SECOND;
/// At most one slot in this many is reserved for deeper calls.
const RESERVED_DIVISOR: u32 = 3;

/// Tracks the deepest level of recent calls.
#[derive(Debug, Clone, Default)]
pub struct DepthTracker {
    deepest: u32,
    seen_at: Moment,
}

impl DepthTracker {
    /// Records the level of an offer.
    pub fn observe(&mut self, now: Moment, level: u32) {
        let is_expired = now.since(self.seen_at) > LEVEL_RETENTION_US;
        if level >= self.deepest || is_expired {
            self.deepest = level;
            self.seen_at = now;
        }
    }

    /// The concurrency limit for a call of `level`, given the overall `limit`.
    pub fn limit(&self, now: Moment, level: u32, limit: u32) -> u32 {
        if now.since(self.seen_at) > LEVEL_RETENTION_US {
            return limit;
        }
        let deeper = self.deepest.saturating_sub(level);
        limit - deeper.min(limit / RESERVED_DIVISOR)
    }
}
