//! Admission of offers: which ones start, are queued or are refused.

use super::{Home, DOWN_RETRY_INTERVAL_US, MAX_QUEUED_PER_SLOT};
use crate::attempt::{Attempt, Queued};
use crate::cold::ColdAdmission;
use crate::config::Action;
use crate::limit::Class;
use crate::message::{Offer, Reason};
use crate::queue::Rank;
use crate::record::Record;
use names::Moment;

impl<A: Clone> Home<A> {
    /// Starts an offer, queues it until a slot is free or the upstream has reported, or refuses it.
    pub(super) fn admit_or_refuse(&mut self, now: Moment, offer: &Offer) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(reason) = self.closed_reason(now, offer) {
            self.refuse(now, offer.id, reason, &mut actions);
            return actions;
        }
        let class = Class {
            level: offer.level,
            repeatable: offer.repeatable,
        };
        let attempt = self.demote_if_overdue(now, offer, Attempt::from_offer(now, offer));
        let running = self.in_flight(now);
        let limit = self.current_limit(now, &running);
        self.concurrency_limit.offered(now);
        self.depth_tracker.observe(now, offer.level);
        let may_defer = self.slowdown.may_defer(class);
        let admission = self.cold_admission(now, 0);
        let is_unconfirmed = matches!(admission, ColdAdmission::Unconfirmed(_));
        if is_unconfirmed {
            self.probe_once(now, &mut actions);
        }
        if is_unconfirmed || may_defer && self.must_wait_for_report(now, &mut actions) {
            self.awaiting_report.push(attempt.id());
            let cost_us = self.slowdown.cost_us(class);
            self.queue.insert(attempt.queue(now), cost_us);
            return actions;
        }
        let is_deferred = !offer.may_queue && self.is_deferred(now, class);
        if is_deferred || self.likely_misses_deadline(now, &attempt) {
            // The entry duty tries another upstream next, which may be faster now. If all are as slow, the
            // request is offered again, to be queued.
            self.refuse(now, offer.id, Reason::Busy, &mut actions);
            return actions;
        }
        let level_limit = self.limit_for_level(now, offer.level, limit);
        let is_first = self.queue.is_empty() || !may_defer && self.queue.ahead_of(&attempt) == 0;
        let is_within_limit = self.request_limit.wait_us(now, 0) == 0;
        let has_capacity = admission == ColdAdmission::Free && is_within_limit;
        let has_free_slot = self.running.len() < level_limit as usize && is_first && has_capacity;
        if has_free_slot && !self.is_deferred_in_queue(now, class) {
            self.counters.probes_saved += 1;
            let percent = self.slowdown.reported_percent(now);
            self.start(attempt.start(now, percent), &mut actions);
            return actions;
        }
        let attempt = self.limit_wait_to_objective(now, attempt);
        let is_queued = self.admit(now, attempt.queue(now), true, &mut actions);
        self.counters.refused_cold += u64::from(!is_queued && admission != ColdAdmission::Free);
        self.counters.refused_limited += u64::from(!is_queued && !is_within_limit);
        actions
    }

    /// Queues an attempt or refuses it. With `displaces`, it replaces another one in a full
    /// queue. Returns whether it was queued.
    fn admit(
        &mut self,
        now: Moment,
        attempt: Attempt<Queued>,
        displaces: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let running = self.in_flight(now);
        let limit = self.current_limit(now, &running);
        if !attempt.may_queue() || !self.can_queue(now, &attempt, &running, limit) {
            self.refuse(now, attempt.id(), Reason::Busy, actions);
            return false;
        }
        if displaces {
            self.displace_for(now, &attempt, actions);
        }
        self.counters.queued += 1;
        let cost_us = self.slowdown.cost_us(attempt.class());
        self.queue.insert(attempt, cost_us);
        true
    }

    /// The reason why this upstream accepts no offer now, if there is one.
    pub(super) fn closed_reason(&self, now: Moment, offer: &Offer) -> Option<Reason> {
        if self.leaving {
            return Some(Reason::Leaving);
        }
        if offer.remaining_us == 0 {
            return Some(Reason::Deadline);
        }
        let class = Class {
            level: offer.level,
            repeatable: offer.repeatable,
        };
        if !self.ends_before_stop(now, class, offer.remaining_us) {
            return Some(Reason::Leaving);
        }
        let down_since = self.down_since?;
        let may_retry = now.since(down_since) >= DOWN_RETRY_INTERVAL_US && self.running.is_empty();
        (!may_retry).then_some(Reason::Down)
    }

    /// Whether a new attempt is expected to be served in time and the queue has space for it.
    pub(super) fn can_queue<S>(
        &self,
        now: Moment,
        attempt: &Attempt<S>,
        running: &[(Class, u64)],
        limit: u32,
    ) -> bool {
        let service_us = self.concurrency_limit.service_us(running);
        let ahead = self.queue.ahead_of(attempt);
        let slot_wait_us = (ahead + 1) as f64 * service_us / limit as f64;
        let wait_us = slot_wait_us.max(self.request_limit.wait_us(now, ahead) as f64);
        if self.cold_limiter.wait_us(now, ahead) > 0 {
            // Another upstream may have capacity now. An attempt that waits for this one to warm up is
            // answered late, and so are the calls behind it.
            return false;
        }
        let max_wait_us = attempt.latest_start().since(now) as f64;
        let remaining_us = attempt.deadline().since(now) as f64;
        let is_in_time = wait_us + service_us <= remaining_us && wait_us <= max_wait_us;
        is_in_time && (!self.is_full() || self.queue.longest_queue_drop(attempt).is_some())
    }

    fn is_full(&self) -> bool {
        self.queue.len() >= self.cfg.slots as usize * MAX_QUEUED_PER_SLOT
    }

    /// When the queue is full, refuses the last attempt of the account with the most for a new one.
    pub(super) fn displace_for<S>(
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
        let is_same_rank = Rank::of(last) == Rank::of(attempt);
        self.queue.remove(id);
        self.counters.refused_for_account += u64::from(is_same_rank);
        let record = if is_same_rank {
            Record::Displaced
        } else {
            Record::NotRun
        };
        self.refuse_with_record(now, id, Reason::Busy, record, actions);
    }

    /// Admits or refuses the attempts that arrived while there was no recent report and are still queued.
    pub(super) fn admit_awaiting_report(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.awaiting_report) {
            let Some(attempt) = self.queue.remove(id) else {
                continue;
            };
            let attempt = self.limit_wait_to_objective(now, attempt);
            // Without accounts, the queue may exceed its maximum length by these attempts: decisions there
            // stay as recorded in tests/decisions.rs.
            let has_accounts = self.queue.queued().accounts() > 0 || attempt.account().is_some();
            self.admit(now, attempt, has_accounts, actions);
        }
    }
}
