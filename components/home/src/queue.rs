//! The queue of a home duty, ordered by priority, level and deadline.

use crate::attempt::{Attempt, Queued};
use names::{AttemptId, Moment};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

/// Who goes before whom: attempts that can still be answered within their objective, then higher priorities.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    is_overdue: bool,
    priority: Reverse<u8>,
}

impl Rank {
    /// The rank of an attempt.
    pub(crate) fn of<S>(attempt: &Attempt<S>) -> Rank {
        Rank {
            is_overdue: attempt.is_overdue(),
            priority: Reverse(attempt.priority()),
        }
    }
}

/// Order in the queue: by rank, then deeper levels first, then earlier deadlines.
type Place = (Rank, Reverse<u32>, Moment, AttemptId);

/// Attempts that wait for a slot.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    attempts: BTreeMap<Place, Attempt<Queued>>,
    places: HashMap<AttemptId, Place>,
}

impl Queue {
    /// Number of attempts that wait.
    pub(crate) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether the attempt waits.
    pub(crate) fn contains(&self, id: AttemptId) -> bool {
        self.places.contains_key(&id)
    }

    /// Lets an attempt wait.
    pub(crate) fn put(&mut self, attempt: Attempt<Queued>) {
        let place = (
            Rank::of(&attempt),
            Reverse(attempt.class().level),
            attempt.deadline(),
            attempt.id(),
        );
        self.places.insert(attempt.id(), place);
        self.attempts.insert(place, attempt);
    }

    /// Takes an attempt out, if it waits.
    pub(crate) fn take(&mut self, id: AttemptId) -> Option<Attempt<Queued>> {
        let place = self.places.remove(&id)?;
        self.attempts.remove(&place)
    }

    /// Takes out the first attempt that `fits`.
    pub(crate) fn take_first(
        &mut self,
        fits: impl Fn(&Attempt<Queued>) -> bool,
    ) -> Option<Attempt<Queued>> {
        let id = self.attempts.values().find(|attempt| fits(attempt))?.id();
        self.take(id)
    }

    /// Whether any attempt is so.
    pub(crate) fn any(&self, is_so: impl Fn(&Attempt<Queued>) -> bool) -> bool {
        self.attempts.values().any(is_so)
    }

    /// The attempt served last.
    pub(crate) fn last(&self) -> Option<&Attempt<Queued>> {
        self.attempts.values().next_back()
    }

    /// Number of attempts served before a new one of this rank.
    pub(crate) fn ahead_of(&self, rank: Rank) -> usize {
        self.attempts
            .keys()
            .take_while(|(other, ..)| *other <= rank)
            .count()
    }

    /// The attempts that have waited too long, each with whether its deadline has passed.
    pub(crate) fn late(&self, now: Moment) -> Vec<(AttemptId, bool)> {
        self.attempts
            .values()
            .filter(|attempt| attempt.latest_start() <= now)
            .map(|attempt| (attempt.id(), attempt.deadline() <= now))
            .collect()
    }

    /// All that wait.
    pub(crate) fn ids(&self) -> Vec<AttemptId> {
        self.attempts.values().map(|attempt| attempt.id()).collect()
    }
}
