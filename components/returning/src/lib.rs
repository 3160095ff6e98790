//! Callers that come back after a refusal.
//!
//! Answers the load in which a service is short of capacity for seconds: callers that were refused come back when their
//! objective has nearly passed or has passed, and take slots from requests that could still be answered in time. A second
//! try carries a new identity, so it is recognised by what does not change between two tries of one caller: the request
//! itself and the moment at which the caller gives up.

use names::{Moment, MILLISECOND};
use std::collections::HashMap;
use std::hash::Hash;

/// Two tries of one caller name the same deadline within this time, in microseconds: the deadline is passed on in whole
/// milliseconds, and each try spends some on the way.
pub const DEADLINE_TOLERANCE_US: u64 = 60 * MILLISECOND;
/// Refused requests that are remembered at most. An entry takes about 70 bytes.
pub const MAX_REMEMBERED: usize = 4_096;

/// A caller's request that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Refused {
    /// When its first try came.
    first_try: Moment,
    /// When the caller gives up.
    deadline: Moment,
}

impl Refused {
    /// Whether it was of the caller that gives up at `deadline`.
    fn is_of(&self, deadline: Moment) -> bool {
        deadline.0.abs_diff(self.deadline.0) <= DEADLINE_TOLERANCE_US
    }
}

/// Requests that this node has refused and whose callers may come back. `K` identifies a request by its content.
#[derive(Debug)]
pub struct CallerRetries<K> {
    /// Several callers may have sent equal requests.
    refused: HashMap<K, Vec<Refused>>,
    /// Refused requests in all.
    remembered: usize,
    /// When the earliest deadline passes, at which entries are dropped next.
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
    /// When the caller of this request first tried, if it was refused before. `deadline` is when the caller gives up.
    pub fn first_try(&self, now: Moment, request: &K, deadline: Moment) -> Option<Moment> {
        let refused = self.refused.get(request)?;
        let mut alive = refused.iter().filter(|refused| now < refused.deadline);
        let same = alive.find(|refused| refused.is_of(deadline));
        same.map(|refused| refused.first_try)
    }

    /// Takes in that a request was refused whose caller first tried at `first_try` and gives up at `deadline`. Beyond
    /// [`MAX_REMEMBERED`] it is not remembered: its next try counts as a first one.
    pub fn record_refusal(&mut self, now: Moment, request: K, first_try: Moment, deadline: Moment) {
        self.expire(now);
        if deadline <= now {
            return;
        }
        let known = self.refused.get_mut(&request);
        let same = known.and_then(|known| known.iter_mut().find(|known| known.is_of(deadline)));
        if let Some(same) = same {
            same.first_try = first_try;
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

    /// Number of refused requests that are remembered.
    pub fn len(&self) -> usize {
        self.remembered
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.remembered == 0
    }

    /// Drops requests whose callers have given up.
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
