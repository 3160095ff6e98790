//! Callers: tries, retries and deadlines.

use crate::load::Arrival;
use crate::site::{Callers, Class};
use entry::Outcome;
use names::{Moment, MILLISECOND};

/// Before a retry, a caller waits at most for its remaining time divided by this.
const MAX_WAIT_DIVISOR: u64 = 3;

#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) arrival: Arrival,
    tries: u32,
    pub(crate) end: Option<End>,
    /// Refusals of tries after the first.
    pub(crate) retry_refusals: u32,
    pub(crate) cost: Cost,
}

/// Cost of a request and of the calls made for it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cost {
    pub(crate) offers: usize,
    pub(crate) starts: usize,
    /// Starts of a request while an earlier attempt of it was running.
    pub(crate) hedged_starts: usize,
    /// Time for which slots were occupied, in microseconds.
    pub(crate) slot_us: u64,
}

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Time from the first try to the answer, in microseconds.
    Answered(u64),
    Refused,
    Failed,
}

/// Reply to one try of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerReply {
    Answered,
    /// The request was not run; `Retry-After` in milliseconds.
    Refused(u64),
    Failed,
}

impl CallerReply {
    pub(crate) fn of(outcome: &Outcome<bool>) -> CallerReply {
        match outcome {
            Outcome::Answered(true) => CallerReply::Answered,
            Outcome::Answered(false) | Outcome::Unknown(_) => CallerReply::Failed,
            Outcome::NotRun(refusal) => CallerReply::Refused(refusal.retry_after_ms),
        }
    }
}

impl Caller {
    pub(crate) fn new(arrival: Arrival) -> Caller {
        Caller {
            arrival,
            tries: u32::from(arrival.remaining_us.is_some()),
            end: None,
            retry_refusals: 0,
            cost: Cost::default(),
        }
    }

    pub(crate) fn begin_try(&mut self) {
        self.tries += 1;
    }

    /// When the caller gives up.
    pub(crate) fn deadline(&self, class: &Class) -> Moment {
        let own = self.arrival.remaining_us.or(self.arrival.deadline_us);
        self.arrival.at + own.unwrap_or(class.deadline_us)
    }

    /// Processes the reply to a try. Returns when the caller sends its next try, if any.
    pub(crate) fn on_reply(
        &mut self,
        now: Moment,
        class: &Class,
        site: &Callers,
        reply: CallerReply,
    ) -> Option<Moment> {
        let deadline = self.deadline(class);
        let remaining_us = deadline.since(now);
        let may_retry = self.tries < site.max_tries && remaining_us > 0;
        if self.tries > 1 && matches!(reply, CallerReply::Refused(_)) {
            self.retry_refusals += 1;
        }
        match reply {
            CallerReply::Answered if now <= deadline => {
                self.end = Some(End::Answered(now.since(self.arrival.at)));
                None
            }
            CallerReply::Refused(ms) if may_retry => {
                let max_wait_us = remaining_us / MAX_WAIT_DIVISOR;
                let advised_us = ms * MILLISECOND;
                if advised_us > max_wait_us && !site.shortens_long_waits {
                    self.end = Some(End::Refused);
                    return None;
                }
                Some(now + advised_us.min(max_wait_us))
            }
            CallerReply::Refused(_) => {
                self.end = Some(End::Refused);
                None
            }
            CallerReply::Failed if may_retry && class.repeatable => Some(now),
            // The caller no longer waits for an answer after its deadline.
            CallerReply::Failed | CallerReply::Answered => {
                self.end = Some(End::Failed);
                None
            }
        }
    }
}
