//! Where the next offer of a call goes, and whether it may queue there.

use super::Call;
use crate::choice::{Candidate, SelectionRule};
use crate::event::{Action, Event};
use crate::shared::Entry;
use home::{Reason, Refusal, Suspicion};
use names::{AttemptId, Moment, Name};

/// Offers that ask for a free slot at once, before one that may queue.
const IMMEDIATE_OFFERS: u32 = 2;
/// The same under [`SelectionRule::Priced`], to upstreams of the own hall. A third of them is in a slow phase
/// and a third full at a busy time; a refusal costs a fraction of a millisecond. Measured against 3
/// on the users' grown sites: 0.02 to 0.04 of worth.
const IMMEDIATE_NEAR_OFFERS: u32 = 5;

impl<A: Clone> Call<A> {
    /// Whether the next offer may queue: enough were made that may not, or no upstream is left
    /// that might have a free slot.
    pub(super) fn queue_next(&self, now: Moment, entry: &Entry) -> bool {
        self.offers >= IMMEDIATE_OFFERS || self.open(false, now, entry).is_empty()
    }

    /// The same where crossing to another hall has a price: only upstreams of the own hall are asked for
    /// a free slot at once. A refusal tells how long the wait there is now, so that what comes next, a
    /// queue or a crossing, is chosen on news.
    pub(super) fn queue_next_priced(&self, now: Moment, entry: &Entry) -> bool {
        self.offers >= IMMEDIATE_NEAR_OFFERS || self.open(false, now, entry).is_empty()
    }

    /// The upstreams to which the next offer may go. One that may not queue goes to those that
    /// have not refused and are not known to be full or to leave: while the only one of the own hall left, every request
    /// there was refused, though other halls could serve it.
    pub(super) fn open<'a>(
        &'a self,
        may_queue: bool,
        now: Moment,
        entry: &Entry,
    ) -> Vec<&'a Candidate> {
        let near_only = entry.rule() == SelectionRule::Priced;
        self.candidates
            .iter()
            .filter(|candidate| !self.closed.contains(&candidate.vm))
            .filter(|candidate| {
                let refused = self.refused_by.contains(&candidate.vm);
                let fits = candidate.same_hall || !near_only;
                let is_closed =
                    entry.is_full(now, &candidate.vm) || entry.is_draining(now, &candidate.vm);
                may_queue || (fits && !refused && !is_closed)
            })
            .collect()
    }

    pub(super) fn pick(&self, now: Moment, may_queue: bool, entry: &mut Entry) -> Option<Name> {
        let open = self.open(may_queue, now, entry);
        entry.choose(now, &open, self.price, may_queue)
    }

    /// Adds the upstreams without a connection to the candidates, if these are gone rather than busy. Returns whether there
    /// are any.
    pub(super) fn take_reserve(&mut self) -> bool {
        let is_busy = |refusal: Refusal| refusal.reason == Reason::Busy;
        if self.suspect.is_some() || self.last_refusal.is_some_and(is_busy) {
            return false;
        }
        let reserve = std::mem::take(&mut self.reserve);
        let has_any = !reserve.is_empty();
        self.candidates.extend(reserve);
        has_any
    }

    /// A suspect that found no room goes on to the next VM in its order.
    pub(super) fn was_busy(&mut self, vm: Name) {
        if let Some(suspect) = &mut self.suspect {
            suspect.on_busy(vm, self.suspicion);
        }
    }

    /// Whether the current offer might queue. One that asks to run alone is also refused as busy because of another
    /// suspect, which says nothing of slots.
    pub(super) fn might_queue(&self) -> bool {
        self.asked_to_queue && self.suspicion != Suspicion::Alone
    }

    /// Ends the current attempt without word of how it ended; its refusal may still arrive.
    pub(super) fn leave_attempt(&mut self, id: AttemptId, entry: &mut Entry) {
        if self.might_queue() {
            entry.on_abandoned(id, &self.service);
        }
        self.end(id, entry);
    }

    /// Takes in an event that arrives after the outcome.
    pub(super) fn late_event(
        &mut self,
        now: Moment,
        event: Event<A>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        if let Event::Refused(id, refusal) = event {
            entry.on_late_refusal(now, id, &refusal);
        }
        self.dropped()
    }

    /// Makes no further offer to a VM.
    pub(super) fn close(&mut self, vm: Name) {
        if let Some(suspect) = &mut self.suspect {
            suspect.exclude(vm.clone());
        }
        self.closed.push(vm);
    }

    /// Makes no further offer to a VM that handed the request back unrun, as long as there are others.
    pub(super) fn close_revoked(&mut self, vm: Name) {
        self.revoked_by.push(vm.clone());
        self.close(vm);
        if self.closed.len() >= self.candidates.len() {
            self.closed.clear();
        }
    }

    /// Makes no further offer to a VM where the request failed, as long as there are others. One that handed the request
    /// back unrun and stays is better than one where it failed.
    pub(super) fn leave(&mut self, now: Moment, vm: Name, entry: &Entry) {
        let is_last = self.closed.len() + 1 >= self.candidates.len();
        if self.suspect.is_some() || !is_last || self.reopen_revoked(now, &vm, entry) {
            self.close(vm);
        }
    }

    /// Returns whether any VM other than `failed` may be offered the request again.
    fn reopen_revoked(&mut self, now: Moment, failed: &Name, entry: &Entry) -> bool {
        let revoked_by = std::mem::take(&mut self.revoked_by);
        let may_reopen =
            |vm: &Name| vm != failed && revoked_by.contains(vm) && !entry.is_draining(now, vm);
        let before = self.closed.len();
        self.closed.retain(|vm| !may_reopen(vm));
        self.closed.len() < before
    }

    pub(super) fn retry_elsewhere(
        &mut self,
        now: Moment,
        vm: Name,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        self.leave(now, vm, entry);
        self.next(now, entry)
    }
}
