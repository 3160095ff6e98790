//! Limits on repeats of a call, and their cost to the retry budget.

use super::Call;
use crate::shared::Entry;

impl<A: Clone> Call<A> {
    /// Whether another run is within the limits of the treatment and of the service's retry budget.
    /// If so, its repeat is spent.
    pub(super) fn may_retry(&mut self, entry: &mut Entry) -> bool {
        self.treatment.repeatable
            && self.runs < self.treatment.max_runs
            && self.try_spend_repeat(entry)
    }

    /// Spends a repeat from the service's retry budget, one for each upstream after the first that
    /// receives the request. Returns false if the treatment or the budget doesn't allow another
    /// upstream.
    pub(super) fn try_spend_repeat(&mut self, entry: &mut Entry) -> bool {
        if self.arrivals >= self.treatment.max_arrivals || !entry.spend_retry(&self.service) {
            return false;
        }
        self.repeat_pending = true;
        true
    }

    /// Records that an upstream has received the request.
    pub(super) fn record_arrival(&mut self) {
        self.arrivals += 1;
        self.repeat_pending = false;
    }

    pub(super) fn record_run(&mut self) {
        self.record_arrival();
        self.runs += 1;
    }

    /// Refunds a repeat that reached no upstream.
    pub(super) fn refund(&mut self, entry: &mut Entry) {
        if self.repeat_pending {
            self.repeat_pending = false;
            entry.refund_retry(&self.service);
        }
    }
}
