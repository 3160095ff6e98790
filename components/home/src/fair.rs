//! Fair shares among client accounts: start-time fair queueing of the attempts of one rank and level.
//!
//! The load that this answers: one account sends ten times its usual rate, and its attempts fill the queues of a service.
//! In order of deadlines alone, all other accounts are then served as rarely as that one.
//!
//! The next attempt of an account has the start tag max(virtual time, finish tag of the account's last start); its finish
//! tag is the start tag plus its cost, the usual service time of its class. The smallest start tag goes first, and the
//! virtual time is the start tag of the attempt that started last. Rounds were tried before: an account with queued
//! attempts starved behind accounts that came back with one request at a time, because the round did not end while those
//! were put back into it. Attempts without an account form one group; where no other is, their order is that of deadlines.

use crate::attempt::{Attempt, Queued};
use names::{AttemptId, Moment, Name};
use std::collections::BTreeMap;

/// The account of an attempt; none for the group of those without one.
pub(crate) type Account = Option<Name>;

/// Order within an account, and of equal start tags: earlier deadlines first.
type Due = (Moment, AttemptId);

/// One account in one lane.
#[derive(Debug, Default)]
struct Flow {
    /// Attempts that wait, with their costs in microseconds.
    waiting: BTreeMap<Due, (Attempt<Queued>, u64)>,
    /// Finish tag of the last start, and start tag of the first attempt that waits.
    tag_us: u64,
}

/// The attempts of one rank and level, by account. Tags are kept until the virtual time has passed them, or the lane is
/// idle.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    flows: BTreeMap<Account, Flow>,
    virtual_time_us: u64,
    running: u32,
}

impl Lane {
    /// Whether nothing runs or waits here, so that all tags can be forgotten.
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

    /// The attempts that wait, account by account.
    pub(crate) fn attempts(&self) -> impl DoubleEndedIterator<Item = &Attempt<Queued>> {
        let flows = self.flows.values();
        flows.flat_map(|flow| flow.waiting.values().map(|(attempt, _)| attempt))
    }

    /// Number of attempts that wait here.
    pub(crate) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiting.len()).sum()
    }

    /// Number of the account's attempts that wait here.
    pub(crate) fn waiting_of(&self, account: &Account) -> usize {
        self.flows.get(account).map_or(0, |flow| flow.waiting.len())
    }

    /// Lets an attempt wait.
    pub(crate) fn put(&mut self, attempt: Attempt<Queued>, cost_us: u64) {
        let flow = self.flows.entry(attempt.account().clone()).or_default();
        if flow.waiting.is_empty() {
            flow.tag_us = flow.tag_us.max(self.virtual_time_us);
        }
        flow.waiting.insert(due(&attempt), (attempt, cost_us));
    }

    /// Takes an attempt out.
    pub(crate) fn take(&mut self, account: &Account, due: Due) -> Option<Attempt<Queued>> {
        let flow = self.flows.get_mut(account)?;
        let (attempt, _) = flow.waiting.remove(&due)?;
        self.forget_passed();
        Some(attempt)
    }

    /// Takes out the attempt with the smallest start tag that `fits`; [`Lane::started`] has to follow.
    pub(crate) fn take_first(
        &mut self,
        fits: &impl Fn(&Attempt<Queued>) -> bool,
    ) -> Option<Attempt<Queued>> {
        let first = |flow: &Flow| {
            let mut waiting = flow.waiting.iter();
            let (due, _) = waiting.find(|(_, (attempt, _))| fits(attempt))?;
            Some((flow.tag_us, *due))
        };
        let flows = self.flows.values_mut();
        let (flow, (_, due)) = flows
            .filter_map(|flow| first(flow).map(|place| (flow, place)))
            .min_by_key(|(_, place)| *place)?;
        flow.waiting.remove(&due).map(|(attempt, _)| attempt)
    }

    /// Takes in that an attempt of the account has started.
    pub(crate) fn started(&mut self, account: &Account, cost_us: u64) {
        self.running += 1;
        let flow = self.flows.entry(account.clone()).or_default();
        // An account whose attempts did not fit for a while does not make up for it afterwards.
        self.virtual_time_us = self.virtual_time_us.max(flow.tag_us);
        flow.tag_us = self.virtual_time_us + cost_us;
        self.forget_passed();
    }

    /// Takes in that a running attempt has ended.
    pub(crate) fn ended(&mut self) {
        self.running -= 1;
    }

    /// Number of attempts here that are served before a new one: those of its account, and others' with smaller start
    /// tags.
    pub(crate) fn ahead_of<S>(&self, attempt: &Attempt<S>) -> usize {
        let own = self.flows.get(attempt.account());
        let costs_us: u64 = own.map_or(0, |flow| flow.waiting.values().map(|(_, us)| us).sum());
        let first_us = own.map_or(0, |flow| flow.tag_us).max(self.virtual_time_us);
        let place = (first_us + costs_us, due(attempt));
        let others = self.flows.iter();
        let others = others.filter(|(account, _)| *account != attempt.account());
        let ahead = |flow: &Flow| {
            let mut tag_us = flow.tag_us;
            let waiting = flow.waiting.iter();
            let tagged = waiting.map(|(due, (_, cost_us))| {
                tag_us += cost_us;
                (tag_us - cost_us, *due)
            });
            tagged.take_while(|other| *other < place).count()
        };
        let others: usize = others.map(|(_, flow)| ahead(flow)).sum();
        self.waiting_of(attempt.account()) + others
    }

    /// Drops the finish tags that the virtual time has reached, of accounts that have nothing waiting.
    fn forget_passed(&mut self) {
        let now_us = self.virtual_time_us;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.tag_us > now_us);
    }
}

fn due<S>(attempt: &Attempt<S>) -> Due {
    (attempt.deadline(), attempt.id())
}
