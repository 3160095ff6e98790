//! Callers: how long they wait, and when they come back.

use crate::load::Arrival;
use crate::site::{Callers, Class};
use entry::Outcome;
use names::{Moment, MILLISECOND};

/// Part of what is left of its time for which a caller waits at most when it is told to come back.
const MOST_WAIT_PART: u64 = 3;

/// One caller with one request.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) arrival: Arrival,
    tries: u32,
    pub(crate) end: Option<End>,
    /// Refusals of tries after the first.
    pub(crate) refused_again: u32,
    /// What its request cost, with the calls made for it.
    pub(crate) cost: Cost,
}

/// What a request costs, with the calls made for it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cost {
    pub(crate) offers: usize,
    pub(crate) starts: usize,
    /// Starts of a request while an earlier start of it was running.
    pub(crate) second_starts: usize,
    /// Time in which slots were occupied, in microseconds.
    pub(crate) slot_us: u64,
}

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Answered after so many microseconds.
    Answered(u64),
    Refused,
    Failed,
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Told {
    Answered,
    /// Not run; with the time to come back, in milliseconds.
    Refused(u64),
    Failed,
}

impl Told {
    pub(crate) fn of(outcome: &Outcome<bool>) -> Told {
        match outcome {
            Outcome::Answered(true) => Told::Answered,
            Outcome::Answered(false) | Outcome::Unknown(_) => Told::Failed,
            Outcome::NotRun(refusal) => Told::Refused(refusal.retry_after_ms),
        }
    }
}

impl Caller {
    pub(crate) fn new(arrival: Arrival) -> Caller {
        Caller {
            arrival,
            tries: u32::from(arrival.left_us.is_some()),
            end: None,
            refused_again: 0,
            cost: Cost::default(),
        }
    }

    /// Begins a try.
    pub(crate) fn tries(&mut self) {
        self.tries += 1;
    }

    /// When the caller gives up.
    pub(crate) fn deadline(&self, class: &Class) -> Moment {
        let own = self.arrival.left_us.or(self.arrival.deadline_us);
        self.arrival.at + own.unwrap_or(class.deadline_us)
    }

    /// Takes in what it was told. Returns when it comes back, if it does.
    pub(crate) fn told(
        &mut self,
        now: Moment,
        class: &Class,
        site: &Callers,
        told: Told,
    ) -> Option<Moment> {
        let deadline = self.deadline(class);
        let left_us = deadline.since(now);
        let again = self.tries < site.tries && left_us > 0;
        if self.tries > 1 && matches!(told, Told::Refused(_)) {
            self.refused_again += 1;
        }
        match told {
            Told::Answered if now <= deadline => {
                self.end = Some(End::Answered(now.since(self.arrival.at)));
                None
            }
            Told::Refused(ms) if again => {
                let most_us = left_us / MOST_WAIT_PART;
                let told_us = ms * MILLISECOND;
                if told_us > most_us && !site.waits_a_third {
                    self.end = Some(End::Refused);
                    return None;
                }
                Some(now + told_us.min(most_us))
            }
            Told::Refused(_) => {
                self.end = Some(End::Refused);
                None
            }
            Told::Failed if again && class.repeatable => Some(now),
            // An answer after the deadline finds nobody.
            Told::Failed | Told::Answered => {
                self.end = Some(End::Failed);
                None
            }
        }
    }
}
