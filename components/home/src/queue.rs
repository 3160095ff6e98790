//! The queue of a home duty, ordered by priority, level, account and deadline.

use crate::attempt::{Attempt, Queued, Started};
use crate::fair::{Account, Lane};
use names::{AttemptId, Moment};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

/// Precedence of attempts: those that can still be answered within their objective first, then by
/// descending priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    is_overdue: bool,
    priority: Reverse<u8>,
}

impl Rank {
    pub(crate) fn of<S>(attempt: &Attempt<S>) -> Rank {
        Rank {
            is_overdue: attempt.is_overdue(),
            priority: Reverse(attempt.priority()),
        }
    }
}

/// Lanes are served by rank, then deeper levels first. Within a lane, the smallest start tag is first.
type LaneKey = (Rank, Reverse<u32>);

/// Where an attempt is queued.
#[derive(Debug)]
struct QueueEntry {
    lane: LaneKey,
    account: Account,
    deadline: Moment,
}

/// Number of running or queued attempts of each account. Accounts without any have no entry.
#[derive(Debug, Default)]
pub(crate) struct AccountCounts(HashMap<Account, u32>);

impl AccountCounts {
    /// Number of the account's attempts.
    pub(crate) fn of(&self, account: &Account) -> u32 {
        self.0.get(account).copied().unwrap_or(0)
    }

    /// Number of accounts, without the group of attempts that have no account.
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

/// Queued attempts, and the state of fair queueing among accounts.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: BTreeMap<LaneKey, Lane>,
    entries: HashMap<AttemptId, QueueEntry>,
    running: AccountCounts,
    queued: AccountCounts,
}

impl Queue {
    /// Number of queued attempts.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the attempt is queued.
    pub(crate) fn contains(&self, id: AttemptId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Number of queued attempts of each account.
    pub(crate) fn queued(&self) -> &AccountCounts {
        &self.queued
    }

    /// Number of slots that each account occupies.
    pub(crate) fn running(&self) -> &AccountCounts {
        &self.running
    }

    /// Number of accounts whose tags are kept, over all lanes.
    pub(crate) fn flows(&self) -> usize {
        self.lanes.values().map(Lane::flows).sum()
    }

    /// The maximum of the lanes' virtual times, in microseconds.
    pub(crate) fn virtual_time_us(&self) -> u64 {
        let lanes = self.lanes.values();
        lanes.map(Lane::virtual_time_us).max().unwrap_or(0)
    }

    /// Queues an attempt that costs its account `cost_us`.
    pub(crate) fn insert(&mut self, attempt: Attempt<Queued>, cost_us: u64) {
        let entry = QueueEntry {
            lane: lane_of(&attempt),
            account: attempt.account().clone(),
            deadline: attempt.deadline(),
        };
        self.queued.add(&entry.account);
        let lane = self.lanes.entry(entry.lane).or_default();
        self.entries.insert(attempt.id(), entry);
        lane.insert(attempt, cost_us);
    }

    /// Removes an attempt that is not going to start, if it is queued.
    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<Attempt<Queued>> {
        let entry = self.entries.remove(&id)?;
        self.queued.sub(&entry.account);
        let lane = self.lanes.get_mut(&entry.lane)?;
        let attempt = lane.remove(&entry.account, (entry.deadline, id));
        if lane.is_idle() {
            self.lanes.remove(&entry.lane);
        }
        attempt
    }

    /// Removes the first attempt that `fits`, to start it: the caller has to call [`Queue::started`] next.
    pub(crate) fn take_first(
        &mut self,
        fits: impl Fn(&Attempt<Queued>) -> bool,
    ) -> Option<Attempt<Queued>> {
        let mut lanes = self.lanes.values_mut();
        let attempt = lanes.find_map(|lane| lane.take_first(&fits))?;
        self.entries.remove(&attempt.id());
        self.queued.sub(attempt.account());
        Some(attempt)
    }

    /// Records that an attempt, queued before or not, has taken a slot.
    pub(crate) fn started(&mut self, attempt: &Attempt<Started>, cost_us: u64) {
        self.running.add(attempt.account());
        let lane = self.lanes.entry(lane_of(attempt)).or_default();
        lane.started(attempt.account(), cost_us);
    }

    /// Records that an attempt has released its slot.
    pub(crate) fn ended(&mut self, attempt: &Attempt<Started>) {
        self.running.sub(attempt.account());
        let key = lane_of(attempt);
        let Some(lane) = self.lanes.get_mut(&key) else {
            return;
        };
        lane.ended();
        if lane.is_idle() {
            self.lanes.remove(&key);
        }
    }

    /// Whether any queued attempt satisfies the predicate.
    pub(crate) fn any(&self, predicate: impl Fn(&Attempt<Queued>) -> bool) -> bool {
        self.attempts().any(predicate)
    }

    /// Number of queued attempts served before a new one: all of higher ranks, those of its own account in
    /// its rank, and of other accounts in its rank the deeper ones and those with smaller start tags.
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
                    lane.queued_of(account)
                }
            })
            .sum()
    }

    /// Longest queue drop: the attempt that is refused for a new one when the queue is full. It is the last
    /// one of the account with the most attempts in the lowest rank. None if that rank is above the new
    /// attempt's, or is the same and no account has more attempts there than the new attempt's would have.
    pub(crate) fn longest_queue_drop<S>(&self, attempt: &Attempt<S>) -> Option<&Attempt<Queued>> {
        let own_rank = Rank::of(attempt);
        let lowest = Rank::of(self.attempts().next_back()?);
        if lowest < own_rank {
            return None;
        }
        let mut by_account: BTreeMap<&Account, (usize, &Attempt<Queued>)> = BTreeMap::new();
        for other in self.attempts().filter(|it| Rank::of(*it) == lowest) {
            let (count, last) = by_account.entry(other.account()).or_insert((0, other));
            *count += 1;
            *last = other;
        }
        let key = |(count, last): &(usize, &Attempt<Queued>)| {
            (*count, lane_of(last), last.deadline(), last.id())
        };
        let (count, last) = by_account.values().copied().max_by_key(key)?;
        let own_count = by_account
            .get(attempt.account())
            .map_or(1, |(count, _)| count + 1);
        (lowest > own_rank || count > own_count).then_some(last)
    }

    /// The attempts whose latest start has passed.
    pub(crate) fn past_latest_start(&self, now: Moment) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.latest_start() <= now)
    }

    /// The attempts whose deadline has passed.
    pub(crate) fn past_deadline(&self, now: Moment) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.deadline() <= now)
    }

    /// The attempts that satisfy the predicate.
    pub(crate) fn ids_where(&self, predicate: impl Fn(&Attempt<Queued>) -> bool) -> Vec<AttemptId> {
        let found = self.attempts().filter(|attempt| predicate(attempt));
        found.map(|attempt| attempt.id()).collect()
    }

    /// All queued attempts.
    pub(crate) fn ids(&self) -> Vec<AttemptId> {
        self.attempts().map(|attempt| attempt.id()).collect()
    }

    /// Queued attempts by rank, level and account.
    fn attempts(&self) -> impl DoubleEndedIterator<Item = &Attempt<Queued>> {
        self.lanes.values().flat_map(Lane::attempts)
    }
}

fn lane_of<S>(attempt: &Attempt<S>) -> LaneKey {
    (Rank::of(attempt), Reverse(attempt.class().level))
}
