//! Request limit that the upstream advertises, and how it delays starts.
//!
//! An overloaded upstream advertises a limit far below what its slots would start, while its
//! service has as many callers as before. Requests beyond the limit go to other upstreams, wait for
//! their turn if they can still be answered in time, or are refused immediately.
//!
//! An upstream advertises a limit in each answer for as long as it applies. Answers on different
//! connections may be reordered, so the end of a limit, or a higher one, is accepted only some time
//! after the last answer with a lower one.

use names::{Moment, MILLISECOND, SECOND};
use notices::{RateNotice, RequestRate};
use std::collections::VecDeque;

/// Within this time after an answer that advertised a limit, an answer with a higher one or none
/// may be the older of the two, in microseconds.
const REORDER_WINDOW_US: u64 = 100 * MILLISECOND;
/// As many requests as the limit allows in this time may start at once, and at least one, in
/// microseconds.
const BURST_US: u64 = SECOND / 2;
/// One request may start after this time whatever the limit is, in microseconds: only an answer
/// shows that the limit has ended.
const MAX_PERIOD_US: u64 = 10 * SECOND;

/// Applies the request limit of one upstream to the starts there.
#[derive(Debug, Clone, Default)]
pub struct RequestLimit {
    /// The limit in force, and when it was last advertised.
    current: Option<(RequestRate, Moment)>,
    /// Whether an answer of this upstream was received. Until then another node may know the limit
    /// better.
    has_answer: bool,
    /// Starts within [`BURST_US`], and the last one, the oldest first.
    starts: VecDeque<Moment>,
}

impl RequestLimit {
    /// Applies the limit that an answer advertises. Returns whether the limit in force changed.
    pub fn advertised(&mut self, now: Moment, notice: RateNotice) -> bool {
        self.has_answer = true;
        let advertised = match notice {
            RateNotice::Unreadable => return false,
            RateNotice::None => None,
            RateNotice::Limit(rate) => Some(rate),
        };
        let before = self.in_force();
        let is_lower =
            |(known, _): (RequestRate, Moment)| advertised.is_some_and(|rate| rate <= known);
        let is_settled = |(_, at): (RequestRate, Moment)| now.since(at) >= REORDER_WINDOW_US;
        if self
            .current
            .is_none_or(|current| is_lower(current) || is_settled(current))
        {
            self.current = advertised.map(|rate| (rate, now));
        }
        self.in_force() != before
    }

    /// Restores a limit that another node knows from an earlier run of this one. Returns whether it
    /// took effect.
    pub fn restored(&mut self, now: Moment, limit: RequestRate) -> bool {
        let is_unknown = !self.has_answer && self.current.is_none();
        if is_unknown {
            self.current = Some((limit, now));
        }
        is_unknown
    }

    /// Records that another incarnation has replaced the upstream. One with the same identity may
    /// receive requests meant for the previous one, whose limit applies until an answer changes it.
    pub fn replaced(&mut self, is_same_identity: bool) {
        if is_same_identity {
            self.has_answer = false;
        } else {
            *self = RequestLimit::default();
        }
    }

    /// Records the start of an attempt.
    pub fn started(&mut self, now: Moment) {
        let is_old = |at: &Moment| now.since(*at) > BURST_US;
        while self.starts.front().is_some_and(is_old) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// How long until another attempt may start after `ahead` others, in microseconds.
    pub fn wait_us(&self, now: Moment, ahead: usize) -> u64 {
        let Some(limit) = self.in_force() else {
            return 0;
        };
        let burst = limit.requests_in_us(BURST_US).max(1);
        let period_us = limit.time_for_us(burst).min(MAX_PERIOD_US);
        let ahead = ahead as u64;
        // An attempt starts one period after the attempt that is one burst before it.
        let before = usize::try_from(burst - ahead % burst).unwrap_or(usize::MAX);
        let first_us = match self.starts.len().checked_sub(before) {
            Some(index) => (self.starts[index] + period_us).since(now),
            None => 0,
        };
        first_us.saturating_add(period_us.saturating_mul(ahead / burst))
    }

    /// The limit in force.
    pub fn in_force(&self) -> Option<RequestRate> {
        self.current.map(|(rate, _)| rate)
    }
}
