//! Which services were short of slots lately, as far as this node has seen.
//!
//! An offer that only asks for a free slot at once is refused as busy whenever its upstream has none, also in a service
//! that is not short. So only refusals of offers that might queue count.

use home::{Reason, Refusal};
use names::{AttemptId, Moment, Name};
use std::collections::{HashMap, VecDeque};

/// Attempts at most whose refusal may still arrive; the oldest are dropped.
const MOST_LEFT: usize = 256;

/// When offers of each service that might queue were refused as busy.
#[derive(Debug, Default)]
pub(crate) struct Shortage {
    busy: HashMap<Name, Moment>,
    /// Attempts that might queue and that their calls have left without word of their end.
    left: VecDeque<(AttemptId, Name)>,
}

impl Shortage {
    /// Takes in that an offer that might queue was refused as busy.
    pub(crate) fn on_refusal(&mut self, now: Moment, service: &Name) {
        self.busy.insert(service.clone(), now);
    }

    /// Takes in that a call has left an attempt that might queue.
    pub(crate) fn on_abandoned(&mut self, id: AttemptId, service: &Name) {
        if self.left.len() >= MOST_LEFT {
            self.left.pop_front();
        }
        self.left.push_back((id, service.clone()));
    }

    /// Takes in a refusal of an attempt that its call has left. Returns whether it counts.
    pub(crate) fn on_late_refusal(
        &mut self,
        now: Moment,
        id: AttemptId,
        refusal: &Refusal,
    ) -> bool {
        let Some(at) = self.left.iter().position(|(left, _)| *left == id) else {
            return false;
        };
        let left = self.left.remove(at);
        match left.filter(|_| refusal.reason == Reason::Busy) {
            Some((_, service)) => {
                self.on_refusal(now, &service);
                true
            }
            None => false,
        }
    }

    /// Time since the last refusal that counts, in microseconds; none when there was none.
    pub(crate) fn since_us(&self, now: Moment, service: &Name) -> Option<u64> {
        self.busy.get(service).map(|at| now.since(*at))
    }
}
