//! How many requests a second the upstream says that it takes.
//!
//! An upstream names a limit in each answer for as long as it holds. Answers overtake one another on their connections, so
//! the end of a limit, or a higher one, is believed only some time after the last answer that named a lower one.

use names::{Moment, MILLISECOND};
use notices::{RateNotice, RequestRate};

/// For so long after an answer that named a limit, an answer that names none or a higher one may be the older of the two,
/// in microseconds.
const OVERTAKING_US: u64 = 100 * MILLISECOND;

/// What the upstream says of how many requests it takes.
#[derive(Debug, Clone, Default)]
pub struct RequestLimit {
    /// The limit in force, and when it was last named.
    named: Option<(RequestRate, Moment)>,
}

impl RequestLimit {
    /// Takes in what an answer says. Returns whether another limit, or none, is in force now.
    pub fn noticed(&mut self, now: Moment, notice: RateNotice) -> bool {
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

    /// The limit in force.
    pub fn in_force(&self) -> Option<RequestRate> {
        self.named.map(|(rate, _)| rate)
    }
}
