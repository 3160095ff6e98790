//! The tokens of one account at one collector.

use crate::bounds::Bounds;
use accounts::Limit;

/// Tokens that grow with the shares that the collector holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    limit: Limit,
    tokens: f64,
    /// Seconds of the whole fleet's share up to which tokens were added.
    added_up_to: f64,
    /// The part of a start's tokens that was added.
    started: f64,
    /// Requests that found no token since the last one was taken.
    waiting: u32,
}

impl Bucket {
    /// A bucket from which nothing was taken since the collector began to hold shares.
    pub(crate) fn new(limit: Limit) -> Bucket {
        Bucket {
            limit,
            tokens: 0.0,
            added_up_to: 0.0,
            started: 0.0,
            waiting: 0,
        }
    }

    /// Adds what has come since. `held_s`: seconds of the whole fleet's share so far; `part`: what the collector holds
    /// now of it; `started`: the part of a start's tokens that it has.
    pub(crate) fn settle(&mut self, bounds: Bounds, held_s: f64, part: f64, started: f64) {
        let gained = (held_s - self.added_up_to) * bounds.tokens_per_s(self.limit);
        let gained = gained + (started - self.started) * bounds.at_start(self.limit);
        self.started = started;
        let capacity = bounds.capacity(self.limit) * part;
        self.tokens = (self.tokens + gained).min(capacity);
        self.added_up_to = held_s;
    }

    /// Goes on with another limit, from what has come by the one before.
    pub(crate) fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Takes one token; else the seconds of the whole fleet's share until there is one, also for those that were told to
    /// wait before.
    pub(crate) fn take(&mut self, bounds: Bounds) -> Result<(), f64> {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.waiting = 0;
            return Ok(());
        }
        let before = f64::from(self.waiting);
        self.waiting = self.waiting.saturating_add(1);
        Err((1.0 + before - self.tokens) / bounds.tokens_per_s(self.limit))
    }

    /// Puts one back that was not used.
    pub(crate) fn give_back(&mut self) {
        self.tokens += 1.0;
    }
}
