//! Which offers start, wait or are refused.

use super::{Home, DOWN_TRIAL_US, QUEUE_PER_SLOT};
use crate::attempt::{Attempt, Queued};
use crate::cold::ColdAdmission;
use crate::config::Action;
use crate::limit::Class;
use crate::message::{Offer, Reason};
use crate::queue::Rank;
use crate::record::Record;
use names::Moment;

impl<A: Clone> Home<A> {
    /// Starts an offer, lets it wait for a slot or for a word on the pace, or refuses it.
    pub(super) fn decide(&mut self, now: Moment, offer: &Offer) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(reason) = self.closed(now, offer) {
            self.refuse_ended(now, offer.id, reason, &mut actions);
            return actions;
        }
        let class = Class {
            level: offer.level,
            repeatable: offer.repeatable,
        };
        let attempt = self.ranked(now, offer, Attempt::from_offer(now, offer));
        let running = self.in_flight(now);
        let limit = self.current_limit(now, &running);
        self.limit.offered(now);
        self.depth.observe(now, offer.level);
        let matters = self.pace.may_defer(class);
        let room = self.cold_room(now, 0);
        let in_doubt = matches!(room, ColdAdmission::Unconfirmed(_));
        if in_doubt {
            self.probe_once(now, &mut actions);
        }
        if in_doubt || matters && self.waits_for_report(now, &mut actions) {
            self.unsettled.push(attempt.id());
            let cost_us = self.pace.cost_us(class);
            self.queue.put(attempt.queue(now), cost_us);
            return actions;
        }
        let is_deferred = !offer.may_queue && self.is_deferred(now, class);
        if is_deferred || self.is_hopeless(now, &attempt) {
            // Another upstream is asked next, which may be faster now; if all are as slow, the request comes back to queue.
            self.refuse_ended(now, offer.id, Reason::Busy, &mut actions);
            return actions;
        }
        let allowed = self.allowed(now, offer.level, limit);
        let is_first = self.queue.is_empty() || !matters && self.queue.ahead_of(&attempt) == 0;
        let is_within_limit = self.request_limit.wait_us(now, 0) == 0;
        let has_room = room == ColdAdmission::Free && is_within_limit;
        let is_free = self.running.len() < allowed as usize && is_first && has_room;
        if is_free && !self.defers_queued(now, class) {
            self.counters.probes_saved += 1;
            let percent = self.pace.reported_percent(now);
            self.start(attempt.start(now, percent), &mut actions);
            return actions;
        }
        let attempt = self.in_time(now, attempt);
        let is_taken = self.admit(now, attempt.queue(now), true, &mut actions);
        self.counters.refused_cold += u64::from(!is_taken && room != ColdAdmission::Free);
        self.counters.refused_limited += u64::from(!is_taken && !is_within_limit);
        actions
    }

    /// Lets an attempt wait, in a full queue in the place of another where it `displaces` one, or refuses it. Returns
    /// whether it waits.
    fn admit(
        &mut self,
        now: Moment,
        attempt: Attempt<Queued>,
        displaces: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let running = self.in_flight(now);
        let limit = self.current_limit(now, &running);
        if !attempt.may_queue() || !self.fits(now, &attempt, &running, limit) {
            self.refuse_ended(now, attempt.id(), Reason::Busy, actions);
            return false;
        }
        if displaces {
            self.make_room(now, &attempt, actions);
        }
        self.counters.queued += 1;
        let cost_us = self.pace.cost_us(attempt.class());
        self.queue.put(attempt, cost_us);
        true
    }

    /// The reason why no offer is taken at all now, if there is one.
    pub(super) fn closed(&self, now: Moment, offer: &Offer) -> Option<Reason> {
        if self.leaving {
            return Some(Reason::Leaving);
        }
        if offer.remaining_us == 0 {
            return Some(Reason::Deadline);
        }
        let down = self.down_since?;
        let trial = now.since(down) >= DOWN_TRIAL_US && self.running.is_empty();
        (!trial).then_some(Reason::Down)
    }

    /// Whether a new attempt would be served before its deadline and finds room.
    pub(super) fn fits<S>(
        &self,
        now: Moment,
        attempt: &Attempt<S>,
        running: &[(Class, u64)],
        limit: u32,
    ) -> bool {
        let service = self.limit.service_us(running);
        let ahead = self.queue.ahead_of(attempt);
        let slot_wait = (ahead + 1) as f64 * service / limit as f64;
        let wait = slot_wait.max(self.request_limit.wait_us(now, ahead) as f64);
        if self.cold.wait_us(now, ahead) > 0 {
            // Another upstream may bear it now. What waits here until more is borne comes late, and so do the calls
            // behind it.
            return false;
        }
        let patience = attempt.latest_start().since(now) as f64;
        let remaining = attempt.deadline().since(now) as f64;
        let in_time = wait + service <= remaining && wait <= patience;
        in_time && (!self.is_full() || self.queue.longest_queue_drop(attempt).is_some())
    }

    fn is_full(&self) -> bool {
        self.queue.len() >= self.cfg.slots as usize * QUEUE_PER_SLOT
    }

    /// When the queue is full, refuses the last attempt of the longest queue for a new one.
    pub(super) fn make_room<S>(
        &mut self,
        now: Moment,
        attempt: &Attempt<S>,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_full() {
            return;
        }
        let Some(last) = self.queue.longest_queue_drop(attempt) else {
            return;
        };
        let id = last.id();
        let is_for_account = Rank::of(last) == Rank::of(attempt);
        self.queue.take(id);
        self.counters.refused_for_account += u64::from(is_for_account);
        let record = if is_for_account {
            Record::Displaced
        } else {
            Record::NotRun
        };
        self.refuse_as(now, id, Reason::Busy, record, actions);
    }

    /// Decides about the attempts that came while there was no word and got no slot since.
    pub(super) fn settle(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.unsettled) {
            let Some(attempt) = self.queue.take(id) else {
                continue;
            };
            let attempt = self.in_time(now, attempt);
            // Without accounts all decisions stay as recorded: there the queue may exceed its bound by such attempts.
            let has_accounts = self.queue.waiting().accounts() > 0 || attempt.account().is_some();
            self.admit(now, attempt, has_accounts, actions);
        }
    }
}
