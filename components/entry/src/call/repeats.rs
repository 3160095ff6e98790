//! What a call may repeat, and what that costs.

use super::Call;
use crate::shared::Entry;

impl<A: Clone> Call<A> {
    /// Whether another run is within the policy, the call's level and the service's budget.
    pub(super) fn may_retry(&mut self, entry: &mut Entry) -> bool {
        self.treatment.repeatable
            && self.runs < self.treatment.max_runs
            && self.may_reach_another(entry)
    }

    /// Whether another upstream may see the request. What it costs is taken out of the service's
    /// budget, once for each upstream after the first.
    pub(super) fn may_reach_another(&mut self, entry: &mut Entry) -> bool {
        if self.arrivals >= self.treatment.max_arrivals || !entry.spend_retry(&self.service) {
            return false;
        }
        self.repeat_paid = true;
        true
    }

    /// Takes in that an upstream has seen the request.
    pub(super) fn arrived(&mut self) {
        self.arrivals += 1;
        self.repeat_paid = false;
    }

    pub(super) fn ran(&mut self) {
        self.arrived();
        self.runs += 1;
    }

    /// Gives back what a repeat cost that reached no upstream.
    pub(super) fn refund(&mut self, entry: &mut Entry) {
        if self.repeat_paid {
            self.repeat_paid = false;
            entry.refund_retry(&self.service);
        }
    }
}
