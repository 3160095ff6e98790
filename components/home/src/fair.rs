//! Fair shares among client accounts: start-time fair queueing of the attempts of one rank and level.
//!
//! Load pattern: one account sends ten times its normal rate, and its attempts fill the queues of a
//! service. Ordered by deadline alone, all other accounts would be served as rarely as that one.
//!
//! The next attempt of an account has the start tag max(virtual time, finish tag of the account's last
//! start). Its finish tag is the start tag plus its cost, the typical service time of its class. The
//! smallest start tag is served first, and the virtual time is the start tag of the attempt that started
//! last. Round-robin was rejected: an account with queued attempts starved behind accounts that sent one
//! request at a time, because each of those rejoined the round before it ended. Attempts without an
//! account form one group; if there is no other, their order is that of deadlines.

use crate::attempt::{Attempt, Queued};
use names::{AttemptId, Moment, Name};
use std::collections::BTreeMap;

/// The account of an attempt; `None` is the group of attempts without one.
pub(crate) type Account = Option<Name>;

/// Order within an account, and among equal start tags: earlier deadlines first.
type DeadlineKey = (Moment, AttemptId);

/// One account's attempts in one lane.
#[derive(Debug, Default)]
struct Flow {
    /// Queued attempts with their costs in microseconds.
    queued: BTreeMap<DeadlineKey, (Attempt<Queued>, u64)>,
    /// Finish tag of the last start, which is the start tag of the first queued attempt.
    tag_us: u64,
}

/// The attempts of one rank and level, by account. Tags are kept until the virtual time has passed them,
/// or the lane is idle.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    flows: BTreeMap<Account, Flow>,
    virtual_time_us: u64,
    running: u32,
}

impl Lane {
    /// Whether no attempt of this lane runs or is queued, so that all tags can be dropped.
    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.len() == 0
    }

    /// Number of accounts whose tags are kept.
    pub(crate) fn flows(&self) -> usize {
        self.flows.len()
    }

    /// The start tag of the attempt that started last, in microseconds.
    pub(crate) fn virtual_time_us(&self) -> u64 {
        self.virtual_time_us
    }

    /// Queued attempts, account by account.
    pub(crate) fn attempts(&self) -> impl DoubleEndedIterator<Item = &Attempt<Queued>> {
        let flows = self.flows.values();
        flows.flat_map(|flow| flow.queued.values().map(|(attempt, _)| attempt))
    }

    /// Number of queued attempts.
    pub(crate) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.queued.len()).sum()
    }

    /// Number of the account's queued attempts.
    pub(crate) fn queued_of(&self, account: &Account) -> usize {
        self.flows.get(account).map_or(0, |flow| flow.queued.len())
    }

    pub(crate) fn insert(&mut self, attempt: Attempt<Queued>, cost_us: u64) {
        let flow = self.flows.entry(attempt.account().clone()).or_default();
        if flow.queued.is_empty() {
            flow.tag_us = flow.tag_us.max(self.virtual_time_us);
        }
        flow.queued
            .insert(deadline_key(&attempt), (attempt, cost_us));
    }

    /// Removes a queued attempt.
    pub(crate) fn remove(
        &mut self,
        account: &Account,
        key: DeadlineKey,
    ) -> Option<Attempt<Queued>> {
        let flow = self.flows.get_mut(account)?;
        let (attempt, _) = flow.queued.remove(&key)?;
        self.drop_passed_tags();
        Some(attempt)
    }

    /// Removes the attempt with the smallest start tag that `fits`, to start it: the caller has to call
    /// [`Lane::started`] next.
    pub(crate) fn take_first(
        &mut self,
        fits: &impl Fn(&Attempt<Queued>) -> bool,
    ) -> Option<Attempt<Queued>> {
        let first = |flow: &Flow| {
            let mut queued = flow.queued.iter();
            let (key, _) = queued.find(|(_, (attempt, _))| fits(attempt))?;
            Some((flow.tag_us, *key))
        };
        let flows = self.flows.values_mut();
        let (flow, (_, key)) = flows
            .filter_map(|flow| first(flow).map(|position| (flow, position)))
            .min_by_key(|(_, position)| *position)?;
        flow.queued.remove(&key).map(|(attempt, _)| attempt)
    }

    /// Records that an attempt of the account has started.
    pub(crate) fn started(&mut self, account: &Account, cost_us: u64) {
        self.running += 1;
        let flow = self.flows.entry(account.clone()).or_default();
        // An account whose attempts did not fit for a while is not compensated for it afterwards.
        self.virtual_time_us = self.virtual_time_us.max(flow.tag_us);
        flow.tag_us = self.virtual_time_us + cost_us;
        self.drop_passed_tags();
    }

    /// Records that a running attempt has ended.
    pub(crate) fn ended(&mut self) {
        self.running -= 1;
    }

    /// Number of queued attempts of this lane that are served before a new one: those of its own account,
    /// and those of others with smaller start tags.
    pub(crate) fn ahead_of<S>(&self, attempt: &Attempt<S>) -> usize {
        let own = self.flows.get(attempt.account());
        let costs_us: u64 = own.map_or(0, |flow| flow.queued.values().map(|(_, us)| us).sum());
        let first_tag_us = own.map_or(0, |flow| flow.tag_us).max(self.virtual_time_us);
        let position = (first_tag_us + costs_us, deadline_key(attempt));
        let others = self.flows.iter();
        let others = others.filter(|(account, _)| *account != attempt.account());
        let ahead = |flow: &Flow| {
            let mut tag_us = flow.tag_us;
            let queued = flow.queued.iter();
            let tagged = queued.map(|(key, (_, cost_us))| {
                tag_us += cost_us;
                (tag_us - cost_us, *key)
            });
            tagged.take_while(|other| *other < position).count()
        };
        let others: usize = others.map(|(_, flow)| ahead(flow)).sum();
        self.queued_of(attempt.account()) + others
    }

    /// Drops the accounts that have no queued attempts and whose finish tags the virtual time has reached.
    fn drop_passed_tags(&mut self) {
        let virtual_time_us = self.virtual_time_us;
        self.flows
            .retain(|_, flow| !flow.queued.is_empty() || flow.tag_us > virtual_time_us);
    }
}

fn deadline_key<S>(attempt: &Attempt<S>) -> DeadlineKey {
    (attempt.deadline(), attempt.id())
}
