//! Callers: how long they wait, and when they come back.

use crate::load::Arrival;
use crate::site::Class;
use entry::Outcome;
use names::{Moment, MILLISECOND};

/// Part of what is left of its time for which a caller waits when it is told to come back.
const MOST_WAIT_PART: u64 = 3;
/// Tries of one caller.
const TRIES: u32 = 2;

/// One caller with one request.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) arrival: Arrival,
    tries: u32,
    pub(crate) end: Option<End>,
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
        }
    }

    /// Begins a try.
    pub(crate) fn tries(&mut self) {
        self.tries += 1;
    }

    /// When the caller gives up.
    pub(crate) fn deadline(&self, class: &Class) -> Moment {
        self.arrival.at + self.arrival.left_us.unwrap_or(class.deadline_us)
    }

    /// Takes in what it was told. Returns when it comes back, if it does.
    pub(crate) fn told(&mut self, now: Moment, class: &Class, told: Told) -> Option<Moment> {
        let left_us = self.deadline(class).since(now);
        let again = self.tries < TRIES && left_us > 0;
        match told {
            Told::Answered => {
                self.end = Some(End::Answered(now.since(self.arrival.at)));
                None
            }
            Told::Refused(ms) if again && ms * MILLISECOND <= left_us / MOST_WAIT_PART => {
                Some(now + ms * MILLISECOND)
            }
            Told::Refused(_) => {
                self.end = Some(End::Refused);
                None
            }
            Told::Failed if again && class.repeatable => Some(now),
            Told::Failed => {
                self.end = Some(End::Failed);
                None
            }
        }
    }
}
