//! The life of an attempt as typestate: only a queued or offered attempt can start, and one that
//! was refused or revoked no longer exists as a value that could.

use crate::limit::Class;
use crate::Offer;
use names::{AttemptId, Moment};

/// Part of the objective that an attempt waits for a slot: a service that is short of slots serves more
/// requests in time if it refuses early. Measured against 0.12, 0.4, and all that a run leaves: 0.02 to
/// 0.06 of worth on days of high load.
const PATIENCE_PART: f64 = 0.22;
/// Time kept for the run out of what is left of the objective, in terms of its usual time: runs of one
/// class differ by a third at the users' sites.
const RUN_MARGIN: f64 = 1.3;
/// Part of the objective that is kept for the run while its usual time is not known.
const UNKNOWN_RUN_PART: f64 = 0.5;

/// When an attempt is too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Latest {
    /// When it is refused if it still waits for a slot.
    start: Moment,
    /// The last moment at which a start lets it be answered within its objective.
    useful_start: Moment,
}

impl Latest {
    /// For an offer that arrived at `now`, of a class of requests that usually take `service_us`
    /// microseconds.
    fn of(now: Moment, offer: &Offer, service_us: Option<f64>) -> Latest {
        let deadline = now + offer.remaining_us;
        let Some(objective_us) = offer.objective_us else {
            return Latest {
                start: deadline,
                useful_start: deadline,
            };
        };
        let objective = objective_us as f64;
        let run = service_us.map_or(objective * UNKNOWN_RUN_PART, |service| service * RUN_MARGIN);
        let start = deadline.min(now + (objective * PATIENCE_PART) as u64);
        let useful_start = deadline.min(now + (objective - run).max(0.0) as u64);
        Latest {
            start,
            useful_start: useful_start.max(start),
        }
    }
}

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
    pub percent: u32,
}

/// One attempt in state `S`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt<S> {
    id: AttemptId,
    deadline: Moment,
    latest: Latest,
    priority: u8,
    class: Class,
    may_queue: bool,
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
        self.latest.start
    }

    /// Lets the attempt wait until `until`, the expected end of a slow phase, if it can be answered within
    /// its objective then.
    pub(crate) fn wait_until(&mut self, until: Moment) {
        let until = until.min(self.latest.useful_start);
        self.latest.start = self.latest.start.max(until);
    }

    /// Priority from the policy.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// The class of its service time.
    pub fn class(&self) -> Class {
        self.class
    }

    /// Whether it may wait for a slot.
    pub fn may_queue(&self) -> bool {
        self.may_queue
    }

    /// The state's own data.
    pub fn state(&self) -> &S {
        &self.state
    }

    fn with<T>(self, state: T) -> Attempt<T> {
        Attempt {
            id: self.id,
            deadline: self.deadline,
            latest: self.latest,
            priority: self.priority,
            class: self.class,
            may_queue: self.may_queue,
            state,
        }
    }
}

impl Attempt<Offered> {
    /// Takes in an offer that arrived at `now`, of a class of requests that usually take `service_us`
    /// microseconds.
    pub fn arrive(now: Moment, offer: &Offer, service_us: Option<f64>) -> Attempt<Offered> {
        Attempt {
            id: offer.id,
            deadline: now + offer.remaining_us,
            latest: Latest::of(now, offer, service_us),
            priority: offer.priority,
            class: Class {
                level: offer.level,
                repeatable: offer.repeatable,
            },
            may_queue: offer.may_queue,
            state: Offered,
        }
    }

    /// Takes a slot.
    pub fn start(self, now: Moment, percent: u32) -> Attempt<Started> {
        self.with(Started { at: now, percent })
    }

    /// Waits for a slot.
    pub fn queue(self, now: Moment) -> Attempt<Queued> {
        self.with(Queued { at: now })
    }
}

impl Attempt<Queued> {
    /// Takes a slot.
    pub fn start(self, now: Moment, percent: u32) -> Attempt<Started> {
        self.with(Started { at: now, percent })
    }
}
