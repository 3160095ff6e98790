//! How many requests a second the upstream takes, by its own word, and how many were started.
//!
//! The load that this answers: an overloaded upstream asks for far less than its slots would start, while its service has
//! as many callers as before. What comes beyond its limit goes to other upstreams, waits for its turn where it can be in
//! time, or is refused at once.
//!
//! An upstream names a limit in each answer for as long as it holds. Answers overtake one another on their connections, so
//! the end of a limit, or a higher one, is believed only some time after the last answer that named a lower one.

use names::{Moment, MILLISECOND, SECOND};
use notices::{RateNotice, RequestRate};
use std::collections::VecDeque;

/// For so long after an answer that named a limit, an answer that names none or a higher one may be the older of the two,
/// in microseconds.
const OVERTAKING_US: u64 = 100 * MILLISECOND;
/// As many requests as the limit makes in this time may start at once, and one in any case, in microseconds.
const BURST_US: u64 = SECOND / 2;
/// One request may start after this time whatever the limit is, in microseconds: only an answer tells that it has ended.
const LONGEST_PAUSE_US: u64 = 10 * SECOND;

/// What the upstream takes, and what was started there.
#[derive(Debug, Clone, Default)]
pub struct RequestLimit {
    /// The limit in force, and when it was last named.
    named: Option<(RequestRate, Moment)>,
    /// Whether an answer of this upstream was read. Until then another node may know better.
    has_answer: bool,
    /// Starts within [`BURST_US`], and the last one, the oldest first.
    starts: VecDeque<Moment>,
}

impl RequestLimit {
    /// Takes in what an answer says. Returns whether another limit, or none, is in force now.
    pub fn advertised(&mut self, now: Moment, notice: RateNotice) -> bool {
        self.has_answer = true;
        let told = match notice {
            RateNotice::Unreadable => return false,
            RateNotice::None => None,
            RateNotice::Limit(rate) => Some(rate),
        };
        let before = self.in_force();
        let is_lower = |(known, _): (RequestRate, Moment)| told.is_some_and(|rate| rate <= known);
        let is_settled = |(_, at): (RequestRate, Moment)| now.since(at) >= OVERTAKING_US;
        if self
            .named
            .is_none_or(|named| is_lower(named) || is_settled(named))
        {
            self.named = told.map(|rate| (rate, now));
        }
        self.in_force() != before
    }

    /// Takes in a limit that another node has learned from an earlier run of this one. Returns whether it is in force now
    /// and was not before.
    pub fn restored(&mut self, now: Moment, limit: RequestRate) -> bool {
        let is_news = !self.has_answer && self.named.is_none();
        if is_news {
            self.named = Some((limit, now));
        }
        is_news
    }

    /// Takes in that another run of the upstream stands here. One of the same identity may get what was meant for the run
    /// before it, whose limit holds until an answer says otherwise.
    pub fn replaced(&mut self, is_same_identity: bool) {
        if is_same_identity {
            self.has_answer = false;
        } else {
            *self = RequestLimit::default();
        }
    }

    /// Takes in that an attempt has started.
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
        let burst = limit.in_us(BURST_US).max(1);
        let period_us = limit.time_of_us(burst).min(LONGEST_PAUSE_US);
        let ahead = ahead as u64;
        // An attempt starts a period after the one that is a burst before it.
        let before = usize::try_from(burst - ahead % burst).unwrap_or(usize::MAX);
        let first_us = match self.starts.len().checked_sub(before) {
            Some(index) => (self.starts[index] + period_us).since(now),
            None => 0,
        };
        first_us.saturating_add(period_us.saturating_mul(ahead / burst))
    }

    /// The limit in force.
    pub fn in_force(&self) -> Option<RequestRate> {
        self.named.map(|(rate, _)| rate)
    }
}
