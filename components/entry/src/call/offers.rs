//! Selection of the upstream for the next offer of a call, and whether the offer may queue there.

use super::Call;
use crate::choice::{Candidate, SelectionRule};
use crate::event::{Action, Event};
use crate::shared::Entry;
use home::{Reason, Refusal, Suspicion};
use names::{AttemptId, Moment, Name};

/// Number of offers that only use a free slot, before one that may queue.
const IMMEDIATE_OFFERS: u32 = 2;
/// The same under [`SelectionRule::Priced`], to upstreams of the same hall. At peak load, a third
/// of them is in a slow phase and a third is full, and a refusal costs a fraction of a millisecond.
/// Compared with 3 such offers, this adds 0.02 to 0.04 of the value of the requests in larger
/// deployments.
const IMMEDIATE_SAME_HALL_OFFERS: u32 = 5;

impl<A: Clone> Call<A> {
    /// Whether the next offer may queue: enough offers that may not queue were made, or no upstream
    /// is left that might have a free slot.
    pub(super) fn next_may_queue(&self, now: Moment, entry: &Entry) -> bool {
        self.offers >= IMMEDIATE_OFFERS || self.eligible(false, now, entry).is_empty()
    }

    /// The same where crossing to another hall has a price: offers that may not queue go to
    /// upstreams of the same hall only. A refusal reports the current wait there, so that the next
    /// choice between queueing and crossing to another hall uses up-to-date reports.
    pub(super) fn next_may_queue_priced(&self, now: Moment, entry: &Entry) -> bool {
        self.offers >= IMMEDIATE_SAME_HALL_OFFERS || self.eligible(false, now, entry).is_empty()
    }

    /// The upstreams to which the next offer may go. An offer that may not queue goes only to
    /// upstreams that have not refused and are not known to be full or draining. Without the check
    /// for draining, every request was refused while the only upstream of the hall drained, though
    /// other halls could have served it.
    pub(super) fn eligible<'a>(
        &'a self,
        may_queue: bool,
        now: Moment,
        entry: &Entry,
    ) -> Vec<&'a Candidate> {
        let same_hall_only = entry.rule() == SelectionRule::Priced;
        self.candidates
            .iter()
            .filter(|candidate| !self.excluded.contains(&candidate.vm))
            .filter(|candidate| {
                let refused = self.refused_by.contains(&candidate.vm);
                let fits = candidate.same_hall || !same_hall_only;
                let is_unavailable =
                    entry.is_full(now, &candidate.vm) || entry.is_draining(now, &candidate.vm);
                may_queue || (fits && !refused && !is_unavailable)
            })
            .collect()
    }

    pub(super) fn pick(&self, now: Moment, may_queue: bool, entry: &mut Entry) -> Option<Name> {
        let eligible = self.eligible(may_queue, now, entry);
        entry.choose(now, &eligible, self.price, may_queue)
    }

    /// Adds the upstreams without a connection to the candidates, unless the candidates are merely
    /// busy. Returns whether any were added.
    pub(super) fn add_reserve(&mut self) -> bool {
        let is_busy = |refusal: Refusal| refusal.reason == Reason::Busy;
        if self.suspect.is_some() || self.last_refusal.is_some_and(is_busy) {
            return false;
        }
        let reserve = std::mem::take(&mut self.reserve);
        let has_any = !reserve.is_empty();
        self.candidates.extend(reserve);
        has_any
    }

    /// Moves a suspect on to the next VM in its order after a refusal for lack of capacity.
    pub(super) fn on_suspect_busy(&mut self, vm: Name) {
        if let Some(suspect) = &mut self.suspect {
            suspect.on_busy(vm, self.suspicion);
        }
    }

    /// Whether the current offer could queue, so that a refusal as busy shows a shortage of slots.
    /// An offer to run alone can also be refused as busy because of another suspect, whatever slots
    /// are free.
    pub(super) fn could_queue(&self) -> bool {
        self.offer_may_queue && self.suspicion != Suspicion::Alone
    }

    /// Abandons the current attempt, whose result is unknown; its refusal may still arrive.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId, entry: &mut Entry) {
        if self.could_queue() {
            entry.on_abandoned(id, &self.service);
        }
        self.end_attempt(id, entry);
    }

    /// Handles an event that arrives after the call has ended.
    pub(super) fn late_event(
        &mut self,
        now: Moment,
        event: Event<A>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        if let Event::Refused(id, refusal) = event {
            entry.on_late_refusal(now, id, &refusal);
        }
        self.drop_late_event()
    }

    /// Excludes a VM from further offers.
    pub(super) fn exclude(&mut self, vm: Name) {
        if let Some(suspect) = &mut self.suspect {
            suspect.exclude(vm.clone());
        }
        self.excluded.push(vm);
    }

    /// Excludes a VM that revoked the attempt before it ran. If no candidate is left, all are
    /// admitted again.
    pub(super) fn exclude_revoked(&mut self, vm: Name) {
        self.revoked_by.push(vm.clone());
        self.exclude(vm);
        if self.excluded.len() >= self.candidates.len() {
            self.excluded.clear();
        }
    }

    /// Excludes a VM where the request failed, unless it is the last candidate. A VM that revoked
    /// its attempt before it ran, and is not draining, is preferred to one where the request
    /// failed.
    pub(super) fn exclude_failed(&mut self, now: Moment, vm: Name, entry: &Entry) {
        let is_last = self.excluded.len() + 1 >= self.candidates.len();
        if self.suspect.is_some() || !is_last || self.readmit_revoked(now, &vm, entry) {
            self.exclude(vm);
        }
    }

    /// Readmits the VMs that revoked the request, except `failed` and those that are draining.
    /// Returns whether there are any.
    fn readmit_revoked(&mut self, now: Moment, failed: &Name, entry: &Entry) -> bool {
        let revoked_by = std::mem::take(&mut self.revoked_by);
        let may_readmit =
            |vm: &Name| vm != failed && revoked_by.contains(vm) && !entry.is_draining(now, vm);
        let before = self.excluded.len();
        self.excluded.retain(|vm| !may_readmit(vm));
        self.excluded.len() < before
    }

    pub(super) fn retry_elsewhere(
        &mut self,
        now: Moment,
        vm: Name,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        self.exclude_failed(now, vm, entry);
        self.offer_next(now, entry)
    }
}
