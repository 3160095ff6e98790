//! The queue of a home duty, ordered by priority, level, account and deadline.

use crate::attempt::{Attempt, Queued, Started};
use crate::fair::{Account, Lane};
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

/// Order of the lanes: by rank, then deeper levels first. Within a lane the smallest start tag goes first.
type LaneKey = (Rank, Reverse<u32>);

/// Where an attempt waits.
#[derive(Debug)]
struct Place {
    lane: LaneKey,
    account: Account,
    deadline: Moment,
}

/// How many attempts of each account run, or wait; accounts that have none are not kept.
#[derive(Debug, Default)]
pub(crate) struct Counts(HashMap<Account, u32>);

impl Counts {
    /// The account's attempts.
    pub(crate) fn of(&self, account: &Account) -> u32 {
        self.0.get(account).copied().unwrap_or(0)
    }

    /// Accounts that are counted, without the group of attempts that have none.
    pub(crate) fn accounts(&self) -> usize {
        self.0.len() - usize::from(self.0.contains_key(&None))
    }

    fn add(&mut self, account: &Account) {
        *self.0.entry(account.clone()).or_insert(0) += 1;
    }

    fn sub(&mut self, account: &Account) {
        if let Some(count) = self.0.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(account);
            }
        }
    }
}

/// Attempts that wait for a slot, and what decides whose turn it is.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: BTreeMap<LaneKey, Lane>,
    places: HashMap<AttemptId, Place>,
    held: Counts,
    waiting: Counts,
}

impl Queue {
    /// Number of attempts that wait.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether the attempt waits.
    pub(crate) fn contains(&self, id: AttemptId) -> bool {
        self.places.contains_key(&id)
    }

    /// How many attempts of each account wait.
    pub(crate) fn waiting(&self) -> &Counts {
        &self.waiting
    }

    /// How many slots each account holds.
    pub(crate) fn held(&self) -> &Counts {
        &self.held
    }

    /// Number of accounts whose tags are kept, over all lanes.
    pub(crate) fn flows(&self) -> usize {
        self.lanes.values().map(Lane::flows).sum()
    }

    /// The virtual time of the lane that is furthest, in microseconds.
    pub(crate) fn virtual_time_us(&self) -> u64 {
        let lanes = self.lanes.values();
        lanes.map(Lane::virtual_time_us).max().unwrap_or(0)
    }

    /// Lets an attempt wait that costs its account `cost_us`.
    pub(crate) fn put(&mut self, attempt: Attempt<Queued>, cost_us: u64) {
        let place = Place {
            lane: lane_of(&attempt),
            account: attempt.account().clone(),
            deadline: attempt.deadline(),
        };
        self.waiting.add(&place.account);
        let lane = self.lanes.entry(place.lane).or_default();
        self.places.insert(attempt.id(), place);
        lane.put(attempt, cost_us);
    }

    /// Takes an attempt out, if it waits, that is not going to start.
    pub(crate) fn take(&mut self, id: AttemptId) -> Option<Attempt<Queued>> {
        let place = self.places.remove(&id)?;
        self.waiting.sub(&place.account);
        let lane = self.lanes.get_mut(&place.lane)?;
        let attempt = lane.take(&place.account, (place.deadline, id));
        if lane.is_idle() {
            self.lanes.remove(&place.lane);
        }
        attempt
    }

    /// Takes out the first attempt that `fits`, to start it: [`Queue::started`] has to follow.
    pub(crate) fn take_first(
        &mut self,
        fits: impl Fn(&Attempt<Queued>) -> bool,
    ) -> Option<Attempt<Queued>> {
        let mut lanes = self.lanes.values_mut();
        let attempt = lanes.find_map(|lane| lane.take_first(&fits))?;
        self.places.remove(&attempt.id());
        self.waiting.sub(attempt.account());
        Some(attempt)
    }

    /// Takes in that an attempt, which need not have waited, has got a slot.
    pub(crate) fn started(&mut self, attempt: &Attempt<Started>, cost_us: u64) {
        self.held.add(attempt.account());
        let lane = self.lanes.entry(lane_of(attempt)).or_default();
        lane.started(attempt.account(), cost_us);
    }

    /// Takes in that an attempt has given its slot back.
    pub(crate) fn ended(&mut self, attempt: &Attempt<Started>) {
        self.held.sub(attempt.account());
        let key = lane_of(attempt);
        let Some(lane) = self.lanes.get_mut(&key) else {
            return;
        };
        lane.ended();
        if lane.is_idle() {
            self.lanes.remove(&key);
        }
    }

    /// Whether any attempt is so.
    pub(crate) fn any(&self, is_so: impl Fn(&Attempt<Queued>) -> bool) -> bool {
        self.attempts().any(is_so)
    }

    /// Number of attempts served before a new one: all of higher ranks, those of its account in its rank, and of other
    /// accounts there only the deeper ones and those with smaller start tags.
    pub(crate) fn ahead_of<S>(&self, attempt: &Attempt<S>) -> usize {
        let (rank, level) = lane_of(attempt);
        let account = attempt.account();
        let lanes = self.lanes.iter();
        lanes
            .take_while(|((other, _), _)| *other <= rank)
            .map(|((other, other_level), lane)| {
                if *other < rank || *other_level < level {
                    return lane.len();
                }
                if *other_level == level {
                    lane.ahead_of(attempt)
                } else {
                    lane.waiting_of(account)
                }
            })
            .sum()
    }

    /// Longest queue drop: the attempt that is refused for a new one when the queue is full. It is the last one of the account with the most
    /// attempts in the lowest rank, unless that rank is above the new attempt's, or no other account has more there than
    /// the new attempt's would have.
    pub(crate) fn longest_queue_drop<S>(&self, attempt: &Attempt<S>) -> Option<&Attempt<Queued>> {
        let own = Rank::of(attempt);
        let lowest = Rank::of(self.attempts().next_back()?);
        if lowest < own {
            return None;
        }
        let mut most: BTreeMap<&Account, (usize, &Attempt<Queued>)> = BTreeMap::new();
        for last in self.attempts().filter(|it| Rank::of(*it) == lowest) {
            let (count, latest) = most.entry(last.account()).or_insert((0, last));
            *count += 1;
            *latest = last;
        }
        let key = |(count, last): &(usize, &Attempt<Queued>)| {
            (*count, lane_of(last), last.deadline(), last.id())
        };
        let (count, last) = most.values().copied().max_by_key(key)?;
        let would_have = most
            .get(attempt.account())
            .map_or(1, |(count, _)| count + 1);
        (lowest > own || count > would_have).then_some(last)
    }

    /// The attempts that have waited as long as they may.
    pub(crate) fn late(&self, now: Moment) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.latest_start() <= now)
    }

    /// The attempts whose deadline has passed.
    pub(crate) fn dead(&self, now: Moment) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.deadline() <= now)
    }

    fn ids_where(&self, is_so: impl Fn(&Attempt<Queued>) -> bool) -> Vec<AttemptId> {
        let found = self.attempts().filter(|attempt| is_so(attempt));
        found.map(|attempt| attempt.id()).collect()
    }

    /// All that wait.
    pub(crate) fn ids(&self) -> Vec<AttemptId> {
        self.attempts().map(|attempt| attempt.id()).collect()
    }

    /// What waits, rank by rank, level by level and account by account.
    fn attempts(&self) -> impl DoubleEndedIterator<Item = &Attempt<Queued>> {
        self.lanes.values().flat_map(Lane::attempts)
    }
}

fn lane_of<S>(attempt: &Attempt<S>) -> LaneKey {
    (Rank::of(attempt), Reverse(attempt.class().level))
}
