//! Recognises callers that try again after a refusal.
//!
//! When a service is short of capacity for seconds, callers that were refused try again when their
//! objective has passed or nearly passed, and would take slots from requests that can still be answered
//! in time. A second try has a new request ID, so it is recognised by what stays the same between two
//! tries of one caller: the request itself, and the time at which the caller gives up.

use names::{Moment, MILLISECOND};
use std::collections::HashMap;
use std::hash::Hash;

/// Maximum difference between the deadlines of two tries of one caller, in microseconds. Deadlines are
/// transmitted in whole milliseconds, and each try spends some time in transit.
pub const DEADLINE_TOLERANCE_US: u64 = 60 * MILLISECOND;
/// Maximum number of refused requests that are remembered. An entry takes about 70 bytes.
pub const MAX_REMEMBERED: usize = 4_096;

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Refused {
    /// When its first try arrived.
    first_try: Moment,
    /// When the caller gives up.
    deadline: Moment,
}

impl Refused {
    /// Whether it belongs to a caller that gives up at `deadline`.
    fn matches(&self, deadline: Moment) -> bool {
        deadline.0.abs_diff(self.deadline.0) <= DEADLINE_TOLERANCE_US
    }
}

/// Refused requests of one node whose callers may try again. `K` identifies a request by its content.
#[derive(Debug)]
pub struct CallerRetries<K> {
    /// One entry per caller: several callers may have sent equal requests.
    refused: HashMap<K, Vec<Refused>>,
    /// Total number of entries.
    remembered: usize,
    /// The earliest deadline, when entries expire next.
    next_expiry: Moment,
}

impl<K> Default for CallerRetries<K> {
    fn default() -> CallerRetries<K> {
        CallerRetries {
            refused: HashMap::new(),
            remembered: 0,
            next_expiry: Moment(u64::MAX),
        }
    }
}

impl<K: Hash + Eq> CallerRetries<K> {
    /// When the caller of this request first tried, if it was refused before. `deadline` is when the
    /// caller gives up.
    pub fn first_try(&self, now: Moment, request: &K, deadline: Moment) -> Option<Moment> {
        let refused = self.refused.get(request)?;
        let mut unexpired = refused.iter().filter(|refused| now < refused.deadline);
        let matching = unexpired.find(|refused| refused.matches(deadline));
        matching.map(|refused| refused.first_try)
    }

    /// Records that a request was refused whose caller first tried at `first_try` and gives up at
    /// `deadline`. When the table is full, it is not remembered, and its next try counts as the first.
    pub fn record_refusal(&mut self, now: Moment, request: K, first_try: Moment, deadline: Moment) {
        self.expire(now);
        if deadline <= now {
            return;
        }
        let known = self.refused.get_mut(&request);
        let matching =
            known.and_then(|known| known.iter_mut().find(|known| known.matches(deadline)));
        if let Some(matching) = matching {
            matching.first_try = first_try;
            return;
        }
        if self.remembered >= MAX_REMEMBERED {
            return;
        }
        self.remembered += 1;
        self.next_expiry = self.next_expiry.min(deadline);
        self.refused.entry(request).or_default().push(Refused {
            first_try,
            deadline,
        });
    }

    /// Number of remembered refused requests.
    pub fn len(&self) -> usize {
        self.remembered
    }

    pub fn is_empty(&self) -> bool {
        self.remembered == 0
    }

    /// Drops entries whose callers have given up.
    fn expire(&mut self, now: Moment) {
        if now < self.next_expiry {
            return;
        }
        self.refused.retain(|_, refused| {
            refused.retain(|refused| now < refused.deadline);
            !refused.is_empty()
        });
        let all = || self.refused.values().flatten();
        self.next_expiry = all()
            .map(|refused| refused.deadline)
            .min()
            .unwrap_or(Moment(u64::MAX));
        self.remembered = all().count();
    }
}
