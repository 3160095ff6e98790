//! Recent shortages of slots, by service, as seen by this node.
//!
//! An offer that may not queue is refused as busy whenever its upstream has no free slot, even if
//! the service is not short of slots. So only refusals of offers that might queue count.

use home::{Reason, Refusal};
use names::{AttemptId, Moment, Name};
use std::collections::{HashMap, VecDeque};

/// Maximum number of abandoned attempts to remember; the oldest are dropped.
const MAX_ABANDONED: usize = 256;

/// When an offer that might queue was last refused as busy, by service.
#[derive(Debug, Default)]
pub(crate) struct Shortage {
    last_busy: HashMap<Name, Moment>,
    /// Attempts that might queue, whose calls abandoned them before the outcome was known. A
    /// refusal may still arrive.
    abandoned: VecDeque<(AttemptId, Name)>,
}

impl Shortage {
    /// Records that an offer that might queue was refused as busy.
    pub(crate) fn on_refusal(&mut self, now: Moment, service: &Name) {
        self.last_busy.insert(service.clone(), now);
    }

    /// Records that a call has abandoned an attempt that might queue.
    pub(crate) fn on_abandoned(&mut self, id: AttemptId, service: &Name) {
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back((id, service.clone()));
    }

    /// Handles a refusal of an abandoned attempt. Returns whether it counts as a shortage.
    pub(crate) fn on_late_refusal(
        &mut self,
        now: Moment,
        id: AttemptId,
        refusal: &Refusal,
    ) -> bool {
        let Some(index) = self
            .abandoned
            .iter()
            .position(|(attempt, _)| *attempt == id)
        else {
            return false;
        };
        let attempt = self.abandoned.remove(index);
        match attempt.filter(|_| refusal.reason == Reason::Busy) {
            Some((_, service)) => {
                self.on_refusal(now, &service);
                true
            }
            None => false,
        }
    }

    /// Time since the last refusal that counts, in microseconds; none if there was none.
    pub(crate) fn since_us(&self, now: Moment, service: &Name) -> Option<u64> {
        self.last_busy.get(service).map(|at| now.since(*at))
    }
}
