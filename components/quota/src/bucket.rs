//! The tokens of one account at one token holder.

use crate::bounds::Bounds;
use accounts::Limit;

/// A token bucket that refills at the rate of the shares leased to the holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    limit: Limit,
    tokens: f64,
    /// `share_s` of the last refill.
    refilled_to_s: f64,
    /// Share of the restart tokens that was added.
    restart_share: f64,
    /// Requests that found no token since the last one was taken.
    unserved: u32,
}

impl Bucket {
    /// An empty bucket; its first refill adds the tokens since the holder got its first lease.
    pub(crate) fn new(limit: Limit) -> Bucket {
        Bucket {
            limit,
            tokens: 0.0,
            refilled_to_s: 0.0,
            restart_share: 0.0,
            unserved: 0,
        }
    }

    /// Adds the tokens earned since the last refill. `share_s`: the leased share integrated over
    /// time, in seconds of the whole fleet's share; `share`: the share leased now; `restart_share`:
    /// the share of the restart tokens granted so far.
    pub(crate) fn refill(&mut self, bounds: Bounds, share_s: f64, share: f64, restart_share: f64) {
        let gained = (share_s - self.refilled_to_s) * bounds.tokens_per_s(self.limit);
        let gained =
            gained + (restart_share - self.restart_share) * bounds.restart_tokens(self.limit);
        self.restart_share = restart_share;
        let capacity = bounds.capacity(self.limit) * share;
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled_to_s = share_s;
    }

    /// Sets the limit for further refills; the caller refills with the previous one first.
    pub(crate) fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Takes one token. The error is the time until one is available, in seconds of the whole
    /// fleet's share; it includes the time for the tokens of earlier requests that found none.
    pub(crate) fn take(&mut self, bounds: Bounds) -> Result<(), f64> {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.unserved = 0;
            return Ok(());
        }
        let earlier = f64::from(self.unserved);
        self.unserved = self.unserved.saturating_add(1);
        Err((1.0 + earlier - self.tokens) / bounds.tokens_per_s(self.limit))
    }

    /// Returns an unused token.
    pub(crate) fn give_back(&mut self) {
        self.tokens += 1.0;
    }
}
