//! The life cycle of an attempt as typestate: only an offered or queued attempt can start, and one
//! that was refused or revoked no longer exists as a value.

use crate::limit::Class;
use crate::Offer;
use names::{AttemptId, Moment, Name, MILLISECOND};

/// Fraction of its objective that an attempt waits for a slot. A service that is short of slots answers
/// more requests in time if it refuses early: with 0.12, with 0.4, or with the entire objective less the
/// time of one run, the value of answers is 0.02 to 0.06 lower under high load.
const MAX_WAIT_FRACTION: f64 = 0.22;

/// How long an attempt waits for a slot when it can't be answered within its objective any more, in
/// microseconds: enough for a probe that shows whether it can start immediately.
const OVERDUE_WAIT_US: u64 = 20 * MILLISECOND;

/// State of an attempt that has arrived and is not admitted yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offered;

/// State of an attempt that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// When the attempt entered the queue.
    pub at: Moment,
}

/// State of an attempt that occupies a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// When the attempt took the slot.
    pub at: Moment,
    /// Service time that the upstream reported at that time, in percent of the typical one; 0 without
    /// a report.
    pub slow_percent: u32,
}

/// One attempt in state `S`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt<S> {
    id: AttemptId,
    deadline: Moment,
    latest_start: Moment,
    objective: Option<Moment>,
    priority: u8,
    class: Class,
    may_queue: bool,
    is_overdue: bool,
    reports_straggler: bool,
    account: Option<Name>,
    state: S,
}

impl<S> Attempt<S> {
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// The caller's deadline on this process's clock.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// When the attempt is refused if it still waits for a slot.
    pub fn latest_start(&self) -> Moment {
        self.latest_start
    }

    /// Lowers the latest start to `at`.
    pub fn with_latest_start(mut self, at: Moment) -> Attempt<S> {
        self.latest_start = self.latest_start.min(at);
        self
    }

    /// Until when an answer has its full value; none: until the deadline.
    pub fn objective(&self) -> Option<Moment> {
        self.objective
    }

    /// Priority from the policy.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// The class by which service times are grouped.
    pub fn class(&self) -> Class {
        self.class
    }

    /// Whether the attempt can't be answered within its objective any more.
    pub fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// The client account whose share of the slots the attempt uses.
    pub fn account(&self) -> &Option<Name> {
        &self.account
    }

    /// Whether the attempt may wait for a slot.
    pub fn may_queue(&self) -> bool {
        self.may_queue
    }

    /// Whether the entry duty gets a report when the run takes much longer than typical. Never for a
    /// request that may run only once, or during which an upstream has terminated.
    pub fn reports_straggler(&self) -> bool {
        self.reports_straggler
    }

    pub fn state(&self) -> &S {
        &self.state
    }

    fn with_state<T>(self, state: T) -> Attempt<T> {
        Attempt {
            id: self.id,
            deadline: self.deadline,
            latest_start: self.latest_start,
            objective: self.objective,
            priority: self.priority,
            class: self.class,
            may_queue: self.may_queue,
            is_overdue: self.is_overdue,
            reports_straggler: self.reports_straggler,
            account: self.account,
            state,
        }
    }
}

impl Attempt<Offered> {
    /// The attempt of an offer that arrived at `now`.
    pub fn from_offer(now: Moment, offer: &Offer) -> Attempt<Offered> {
        let deadline = now + offer.remaining_us;
        let max_wait_us = offer.objective_us.map_or(offer.remaining_us, |objective| {
            (objective as f64 * MAX_WAIT_FRACTION) as u64
        });
        Attempt {
            id: offer.id,
            deadline,
            latest_start: deadline.min(now + max_wait_us),
            objective: offer.objective_us.map(|us| now + us),
            priority: offer.priority,
            class: Class {
                level: offer.level,
                repeatable: offer.repeatable,
            },
            may_queue: offer.may_queue,
            is_overdue: false,
            reports_straggler: offer.report_straggler
                && offer.repeatable
                && offer.suspicion.is_none(),
            account: offer.account.clone(),
            state: Offered,
        }
    }

    /// Marks the attempt as one that can't be answered within its objective any more: it is queued behind
    /// those that can, and is refused unless a slot becomes free almost immediately.
    pub fn into_overdue(mut self, now: Moment) -> Attempt<Offered> {
        self.is_overdue = true;
        self.latest_start = self.deadline.min(now + OVERDUE_WAIT_US);
        self
    }

    /// Takes a slot.
    pub fn start(self, now: Moment, slow_percent: u32) -> Attempt<Started> {
        self.with_state(Started {
            at: now,
            slow_percent,
        })
    }

    /// Enters the queue.
    pub fn queue(self, now: Moment) -> Attempt<Queued> {
        self.with_state(Queued { at: now })
    }
}

impl Attempt<Queued> {
    /// Takes a slot.
    pub fn start(self, now: Moment, slow_percent: u32) -> Attempt<Started> {
        self.with_state(Started {
            at: now,
            slow_percent,
        })
    }
}
