//! The life of an attempt as typestate: only a queued or offered attempt can start, and one that
//! was refused or revoked no longer exists as a value that could.

use crate::limit::Class;
use crate::Offer;
use names::{AttemptId, Moment, Name, MILLISECOND};

/// Part of the objective that an attempt waits for a slot: a service that is short of slots serves more
/// requests in time if it refuses early. Measured against 0.12, 0.4, and all that a run leaves: 0.02 to
/// 0.06 of worth on days of high load.
const PATIENCE_PART: f64 = 0.22;

/// An attempt that can't be answered within its objective any more waits for so long, in microseconds: the time in which
/// the upstream says whether it may start at once.
const OVERDUE_WAIT_US: u64 = 20 * MILLISECOND;

/// State of an attempt that has just arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offered;

/// State of an attempt that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// When it entered the queue.
    pub at: Moment,
}

/// State of an attempt that occupies a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// When it took the slot.
    pub at: Moment,
    /// How long work took at the upstream then, by its own word, in hundredths of the usual; 0 when
    /// there was no word.
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
    /// Identity of the attempt.
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

    /// The same attempt, refused if it still waits at `at`.
    pub fn with_latest_start(mut self, at: Moment) -> Attempt<S> {
        self.latest_start = self.latest_start.min(at);
        self
    }

    /// Until when an answer has its full worth; none: until the deadline.
    pub fn objective(&self) -> Option<Moment> {
        self.objective
    }

    /// Priority from the policy.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// The class of its service time.
    pub fn class(&self) -> Class {
        self.class
    }

    /// Whether it can't be answered within its objective any more.
    pub fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// The client account in whose share it runs.
    pub fn account(&self) -> &Option<Name> {
        &self.account
    }

    /// Whether it may wait for a slot.
    pub fn may_queue(&self) -> bool {
        self.may_queue
    }

    /// Whether the entry duty is told when the run takes much longer than usual. Never so for a request that may run
    /// only once, or under which an upstream has ended.
    pub fn reports_straggler(&self) -> bool {
        self.reports_straggler
    }

    /// The state's own data.
    pub fn state(&self) -> &S {
        &self.state
    }

    fn with<T>(self, state: T) -> Attempt<T> {
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
    /// Takes in an offer that arrived at `now`.
    pub fn from_offer(now: Moment, offer: &Offer) -> Attempt<Offered> {
        let deadline = now + offer.remaining_us;
        let patience = offer.objective_us.map_or(offer.remaining_us, |objective| {
            (objective as f64 * PATIENCE_PART) as u64
        });
        Attempt {
            id: offer.id,
            deadline,
            latest_start: deadline.min(now + patience),
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

    /// The same attempt, which can't be answered within its objective any more: it stands behind those that can, and is
    /// refused when no slot comes free at once.
    pub fn into_overdue(mut self, now: Moment) -> Attempt<Offered> {
        self.is_overdue = true;
        self.latest_start = self.deadline.min(now + OVERDUE_WAIT_US);
        self
    }

    /// Takes a slot.
    pub fn start(self, now: Moment, slow_percent: u32) -> Attempt<Started> {
        self.with(Started {
            at: now,
            slow_percent,
        })
    }

    /// Waits for a slot.
    pub fn queue(self, now: Moment) -> Attempt<Queued> {
        self.with(Queued { at: now })
    }
}

impl Attempt<Queued> {
    /// Takes a slot.
    pub fn start(self, now: Moment, slow_percent: u32) -> Attempt<Started> {
        self.with(Started {
            at: now,
            slow_percent,
        })
    }
}
