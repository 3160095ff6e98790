//! The home duty's state machine.

mod accounts;
mod admission;
mod chances;
mod holding;

use crate::attempt::{Attempt, Queued, Started};
use crate::cold::{ColdAdmission, ColdCapacity, ColdLimiter, PriorStarts};
use crate::config::{Action, Config, Counters};
use crate::depth::DepthTracker;
use crate::limit::{Class, ConcurrencyLimit, Verdict};
use crate::message::{Load, Offer, QueryReply, Reason, Refusal};
use crate::pace::Slowdown;
use crate::queue::Queue;
use crate::record::{AnswerLimit, Record, RecordLookup, Records};
use crate::request_limit::RequestLimit;
use crate::stragglers::Stragglers;
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use notices::{RateNotice, RequestRate};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shutdown::{Durations, Plan};
use std::collections::HashMap;

/// Maximum number of queued attempts per slot.
const MAX_QUEUED_PER_SLOT: usize = 8;
/// Minimum retry-after time of a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// While the upstream is down, one offer per interval is admitted to test it; in microseconds.
const DOWN_RETRY_INTERVAL_US: u64 = SECOND / 4;

/// The home duty of one upstream. `A` is the type of a complete answer.
#[derive(Debug)]
pub struct Home<A> {
    boot: BootId,
    cfg: Config,
    concurrency_limit: ConcurrencyLimit,
    depth_tracker: DepthTracker,
    running: HashMap<AttemptId, Attempt<Started>>,
    queue: Queue,
    records: Records<A>,
    leaving: bool,
    /// The planned stop of this node, once it has begun.
    shutdown: Option<Plan>,
    /// Durations of successful runs, by class.
    durations: Durations<Class>,
    slowdown: Slowdown,
    stragglers: Stragglers,
    cold_limiter: ColdLimiter,
    request_limit: RequestLimit,
    /// When the probe in progress began.
    probe_started_at: Option<Moment>,
    /// Queued attempts that are admitted or refused after the next report of the upstream.
    awaiting_report: Vec<AttemptId>,
    down_since: Option<Moment>,
    counters: Counters,
    rng: SmallRng,
}

impl<A: Clone> Home<A> {
    pub fn new(boot: BootId, cfg: Config) -> Home<A> {
        assert!(cfg.slots > 0, "an upstream has at least one slot");
        Home {
            boot,
            concurrency_limit: ConcurrencyLimit::new(cfg.slots),
            depth_tracker: DepthTracker::default(),
            records: Records::new(cfg.max_records, cfg.max_answers, cfg.keep_us),
            rng: SmallRng::seed_from_u64(cfg.seed),
            running: HashMap::new(),
            queue: Queue::default(),
            leaving: false,
            shutdown: None,
            durations: Durations::default(),
            slowdown: Slowdown::default(),
            stragglers: Stragglers::default(),
            cold_limiter: ColdLimiter::default(),
            request_limit: RequestLimit::default(),
            probe_started_at: None,
            awaiting_report: Vec::new(),
            down_since: None,
            counters: Counters::default(),
            cfg,
        }
    }

    /// Limits the size of the answers that are kept for replay.
    pub fn limit_answers(&mut self, limit: AnswerLimit<A>) {
        self.records.limit_answers(limit);
    }

    /// Starts, queues or refuses an offered attempt. An offer of an attempt that is already active or on
    /// record is ignored.
    pub fn offer(&mut self, now: Moment, offer: &Offer) -> Vec<Action> {
        self.counters.offers += 1;
        if self.is_active(offer.id) {
            self.counters.late_offers += 1;
            return Vec::new();
        }
        match self.records.look_up(offer.id) {
            RecordLookup::Ended(_) => {
                self.counters.late_offers += 1;
                Vec::new()
            }
            RecordLookup::Forgotten => {
                self.counters.late_offers += 1;
                vec![Action::Refuse(offer.id, refusal(Reason::Stale, 0))]
            }
            RecordLookup::New => self.admit_or_refuse(now, offer),
        }
    }

    /// Answers a query about an attempt. A query is a fence: an attempt that has not started is recorded
    /// as not run and can't start afterwards. `boot` is the boot to which the attempt was offered;
    /// another boot has no records of it.
    pub fn query(&mut self, now: Moment, id: AttemptId, boot: BootId) -> QueryReply<A> {
        if boot != self.boot {
            return QueryReply::Forgotten;
        }
        if self.running.contains_key(&id) {
            return QueryReply::Started;
        }
        if self.revoke(now, id) {
            return QueryReply::Revoked;
        }
        match self.records.look_up(id) {
            RecordLookup::Ended(Record::Answered(Some(answer))) => QueryReply::Answered(answer),
            RecordLookup::Ended(Record::Answered(None)) => QueryReply::Ran,
            RecordLookup::Ended(Record::Broken) => QueryReply::Ran,
            RecordLookup::Ended(Record::NotRun | Record::Displaced) => QueryReply::Revoked,
            RecordLookup::Forgotten => QueryReply::Forgotten,
            RecordLookup::New => {
                self.counters.fenced += 1;
                self.records.end(now, id, Record::NotRun);
                QueryReply::Revoked
            }
        }
    }

    /// Revokes the attempt if it is queued. Returns whether it is running.
    pub fn cancel(&mut self, now: Moment, id: AttemptId) -> bool {
        !self.revoke(now, id) && self.running.contains_key(&id)
    }

    /// Records the end of a running attempt and starts queued ones. `answer` is the complete answer, if
    /// there was one.
    pub fn completed(
        &mut self,
        now: Moment,
        id: AttemptId,
        verdict: Verdict,
        answer: Option<A>,
    ) -> Vec<Action> {
        let Some(attempt) = self.running.remove(&id) else {
            self.counters.late_completions += 1;
            return Vec::new();
        };
        self.queue.ended(&attempt);
        let service_us = now.since(attempt.state().at);
        if verdict == Verdict::Good {
            let percent = attempt.state().slow_percent;
            self.slowdown
                .record_run(attempt.class(), service_us, percent);
            self.durations.record(now, &attempt.class(), service_us);
        }
        self.stragglers
            .ended(&attempt, service_us, verdict, &self.slowdown);
        self.concurrency_limit
            .completed(now, attempt.class(), service_us, verdict);
        let mut actions = Vec::new();
        match verdict {
            Verdict::Good | Verdict::Error => {
                self.down_since = None;
                self.records.end(now, id, Record::Answered(answer));
            }
            Verdict::Broken | Verdict::Cancelled => self.records.end(now, id, Record::Broken),
            Verdict::Ended => {
                self.down_since = Some(now);
                self.records.end(now, id, Record::Broken);
            }
            Verdict::Shed => {
                self.refuse(now, id, Reason::Shed, &mut actions);
            }
            Verdict::NotSent => {
                self.down_since = Some(now);
                self.refuse(now, id, Reason::Down, &mut actions);
            }
            Verdict::Replaced => {
                self.refuse(now, id, Reason::NoUpstream, &mut actions);
            }
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Refuses attempts that waited too long, revokes the queue of a slow upstream, starts queued attempts
    /// and reports stragglers.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.records.tick(now);
        self.refuse_expired(now, &mut actions);
        self.revoke_unfinishable(now, &mut actions);
        self.revoke_if_slow(now, &mut actions);
        self.dispatch(now, &mut actions);
        actions.extend(self.report_stragglers(now));
        actions
    }

    /// Reports the runs that take much longer than typical, each once.
    pub fn report_stragglers(&mut self, now: Moment) -> Vec<Action> {
        let due = self.stragglers.take_due(now);
        self.counters.stragglers += due.len() as u64;
        due.into_iter().map(Action::Straggles).collect()
    }

    /// When the run of an attempt is due to be reported as a straggler, by the run times known now; none
    /// if it is not to be reported.
    pub fn straggler_due(&self, id: AttemptId) -> Option<Moment> {
        self.stragglers.due(id)
    }

    /// The age of an attempt's run and the 90th percentile of comparable runs, in microseconds.
    pub fn run_times(&self, now: Moment, id: AttemptId) -> Option<(u64, u64)> {
        let attempt = self.running.get(&id)?;
        let typical_us = self.stragglers.typical_us(attempt)?;
        Some((now.since(attempt.state().at), typical_us))
    }

    /// Begins the planned stop of this node: attempts start only while they can end in time.
    pub fn begin_shutdown(&mut self, now: Moment, plan: Plan) -> Vec<Action> {
        self.shutdown = Some(plan);
        let mut actions = Vec::new();
        self.revoke_unfinishable(now, &mut actions);
        actions
    }

    /// Refuses new offers and revokes the queue. Running attempts continue.
    pub fn start_drain(&mut self, now: Moment) -> Vec<Action> {
        self.leaving = true;
        let mut actions = Vec::new();
        self.revoke_all(now, &mut actions);
        actions
    }

    /// Accepts offers again after [`Home::start_drain`].
    pub fn end_drain(&mut self) {
        self.leaving = false;
    }

    /// Whether no attempt runs or is queued.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Whether any attempt is queued, so that [`Home::tick`] should be called soon.
    pub fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// The state of the upstream that is sent with answers and refusals.
    pub fn load(&self, now: Moment) -> Load {
        let running = self.in_flight(now);
        Load {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.current_limit(now, &running),
            service_us: self.concurrency_limit.service_us(&running) as u64,
            errors_permille: self.concurrency_limit.errors_permille(),
            slow_percent: self.slowdown.reported_percent(now),
            deferred_us: self.deferred_us(now),
            cold_wait_us: self.cold_limiter.wait_us(now, 0),
            request_limit: self.request_limit(),
            limit_wait_us: self.request_limit.wait_us(now, self.queue.len()),
            leaving: self.leaving,
        }
    }

    /// The complete answer of an attempt, while it is kept.
    pub fn answer(&self, id: AttemptId) -> Option<A> {
        match self.records.look_up(id) {
            RecordLookup::Ended(Record::Answered(answer)) => answer,
            _ => None,
        }
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of records of ended attempts.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    fn start(&mut self, attempt: Attempt<Started>, actions: &mut Vec<Action>) {
        self.counters.started += 1;
        self.cold_limiter.started(attempt.state().at);
        self.request_limit.started(attempt.state().at);
        self.stragglers.started(&attempt);
        let id = attempt.id();
        let cost_us = self.slowdown.cost_us(attempt.class());
        self.queue.started(&attempt, cost_us);
        actions.push(Action::Start(id));
        let previous = self.running.insert(id, attempt);
        assert!(previous.is_none(), "attempt {id} started a second time");
        assert!(
            self.running.len() <= self.cfg.slots as usize,
            "more attempts run than there are slots"
        );
    }

    /// Starts queued attempts while slots are free, then refuses those that waited too long.
    ///
    /// In this order, an attempt whose wait ended since the last tick still gets a slot that becomes
    /// free before the next one.
    fn dispatch(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.refuse_past_deadline(now, actions);
        self.revoke_unfinishable(now, actions);
        self.start_queued(now, actions);
        self.refuse_expired(now, actions);
    }

    fn start_queued(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.down_since.is_some() {
            self.revoke_all(now, actions);
            return;
        }
        if self.queue.is_empty() || self.leaving {
            return;
        }
        let slowdown = &self.slowdown;
        let may_defer = self
            .queue
            .any(|attempt| slowdown.may_defer(attempt.class()));
        if may_defer && self.must_wait_for_report(now, actions) {
            return;
        }
        while !self.queue.is_empty() {
            match self.cold_admission(now, 0) {
                ColdAdmission::Free => {}
                ColdAdmission::Unconfirmed(_) => {
                    self.probe_once(now, actions);
                    return;
                }
                ColdAdmission::Full(_) => break,
            }
            if self.request_limit.wait_us(now, 0) > 0 {
                break;
            }
            let running = self.in_flight(now);
            let limit = self.current_limit(now, &running);
            let Some(attempt) = self.next_queued(now, limit) else {
                break;
            };
            let percent = self.slowdown.reported_percent(now);
            self.start(attempt.start(now, percent), actions);
        }
        self.admit_awaiting_report(now, actions);
    }

    /// Removes the first queued attempt for whose level a slot is free.
    fn next_queued(&mut self, now: Moment, limit: u32) -> Option<Attempt<Queued>> {
        let running = self.running.len() as u32;
        let depth_tracker = self.cfg.adaptive.then_some(&self.depth_tracker);
        let can_defer = self.cfg.can_probe && !self.slowdown.is_probing_suspended(now);
        let slowdown = &self.slowdown;
        self.queue.take_first(|attempt| {
            let level = attempt.class().level;
            if can_defer && slowdown.is_deferred(now, attempt.class()) {
                return false;
            }
            running < depth_tracker.map_or(limit, |depth| depth.limit(now, level, limit))
        })
    }

    /// The concurrency limit for a call of `level`. Without the adaptive limit, no slots are kept for
    /// deeper calls: their priority puts them before all others.
    fn limit_for_level(&self, now: Moment, level: u32, limit: u32) -> u32 {
        if self.cfg.adaptive {
            self.depth_tracker.limit(now, level, limit)
        } else {
            limit
        }
    }

    /// Refuses queued attempts whose deadline or latest start has passed.
    fn refuse_expired(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.refuse_past_deadline(now, actions);
        for id in self.queue.past_latest_start(now) {
            self.queue.remove(id);
            self.refuse(now, id, Reason::Busy, actions);
        }
    }

    fn refuse_past_deadline(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for id in self.queue.past_deadline(now) {
            self.queue.remove(id);
            self.refuse(now, id, Reason::Deadline, actions);
        }
    }

    fn revoke_if_slow(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.queue.is_empty() || !self.cfg.adaptive {
            return;
        }
        let running = self.in_flight(now);
        if self.concurrency_limit.is_slow(&running)
            && self.current_limit(now, &running) * 2 <= self.cfg.slots
        {
            self.revoke_all(now, actions);
        }
    }

    /// Whether a run of this class that begins now ends before the planned stop does. `limit_us` is
    /// the time until its deadline.
    fn ends_before_stop(&self, now: Moment, class: Class, limit_us: u64) -> bool {
        let Some(plan) = self.shutdown else {
            return true;
        };
        let longest_us = self.durations.longest_us(&class);
        plan.fits(now, shutdown::need_us(longest_us, limit_us))
    }

    /// Revokes queued attempts that can't end before the planned stop does.
    fn revoke_unfinishable(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.shutdown.is_none() || self.queue.is_empty() {
            return;
        }
        let unfinishable = self.queue.ids_where(|attempt| {
            let limit_us = attempt.deadline().since(now);
            !self.ends_before_stop(now, attempt.class(), limit_us)
        });
        for id in unfinishable {
            self.revoke(now, id);
            actions.push(Action::Revoke(id));
        }
    }

    fn revoke_all(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for id in self.queue.ids() {
            self.revoke(now, id);
            actions.push(Action::Revoke(id));
        }
    }

    /// Removes an attempt from the queue and records it as not run. Returns whether it was queued.
    fn revoke(&mut self, now: Moment, id: AttemptId) -> bool {
        let was_queued = self.queue.remove(id).is_some();
        if was_queued {
            self.counters.revoked += 1;
            self.records.end(now, id, Record::NotRun);
        }
        was_queued
    }

    /// Records that an attempt was not run, then refuses it, in this order.
    fn refuse(&mut self, now: Moment, id: AttemptId, reason: Reason, actions: &mut Vec<Action>) {
        self.refuse_with_record(now, id, reason, Record::NotRun, actions);
    }

    fn refuse_with_record(
        &mut self,
        now: Moment,
        id: AttemptId,
        reason: Reason,
        record: Record<A>,
        actions: &mut Vec<Action>,
    ) {
        self.counters.refused += 1;
        self.records.end(now, id, record);
        let retry_after_ms = self.retry_after_ms(now);
        actions.push(Action::Refuse(id, refusal(reason, retry_after_ms)));
    }

    /// A random time between the expected time to serve the queue and its double, so that refused callers
    /// don't all retry at once.
    fn retry_after_ms(&mut self, now: Moment) -> u64 {
        let running = self.in_flight(now);
        let service_us = self.concurrency_limit.service_us(&running);
        let drain_us =
            (self.queue.len() + 1) as f64 * service_us / self.current_limit(now, &running) as f64;
        let ahead = self.queue.len();
        let wait_us = (drain_us as u64 + self.deferred_us(now))
            .max(self.cold_limiter.wait_us(now, ahead))
            .max(self.request_limit.wait_us(now, ahead));
        let wait_ms = (wait_us / MILLISECOND).max(MIN_RETRY_AFTER_MS);
        self.rng.random_range(wait_ms..=2 * wait_ms)
    }

    fn current_limit(&self, now: Moment, running: &[(Class, u64)]) -> u32 {
        let usable_slots = ((self.cfg.slots as f64 * self.cfg.usable_fraction) as u32).max(1);
        if !self.cfg.adaptive {
            return usable_slots;
        }
        self.concurrency_limit
            .current(now, running)
            .min(usable_slots)
    }

    fn in_flight(&self, now: Moment) -> Vec<(Class, u64)> {
        self.running
            .values()
            .map(|attempt| (attempt.class(), now.since(attempt.state().at)))
            .collect()
    }

    /// Resets what is known of the upstream, because another incarnation with `slots` slots has replaced it.
    /// Attempts that run at the previous one keep their slots until they end.
    pub fn upstream_replaced(
        &mut self,
        now: Moment,
        slots: u32,
        prior_starts: PriorStarts,
    ) -> Vec<Action> {
        self.cfg.slots = slots.max(1);
        self.concurrency_limit = ConcurrencyLimit::new(self.cfg.slots);
        self.slowdown = Slowdown::default();
        self.stragglers.forget_run_times();
        self.durations.clear();
        self.cold_limiter.replaced(prior_starts);
        self.request_limit
            .replaced(prior_starts == PriorStarts::SameIdentity);
        self.down_since = None;
        let mut actions = Vec::new();
        self.dispatch(now, &mut actions);
        actions
    }

    /// Records the service time that the upstream reports, in percent of the typical one. Returns whether
    /// it differs from the last report.
    pub fn slowdown_reported(&mut self, now: Moment, percent: u32) -> bool {
        self.slowdown.reported(now, percent)
    }

    /// Records the request limit that an answer of the upstream advertises. Returns whether the limit in
    /// force has changed.
    pub fn limit_advertised(&mut self, now: Moment, notice: RateNotice) -> bool {
        self.request_limit.advertised(now, notice)
    }

    /// The request rate that the upstream advertises as its limit.
    pub fn request_limit(&self) -> Option<RequestRate> {
        self.request_limit.in_force()
    }

    /// Restores the request limit known to the sender of an offer. Returns whether it is newly in force.
    pub fn limit_restored(&mut self, now: Moment, offer: &Offer) -> bool {
        let limit = offer.known_limit;
        limit.is_some_and(|limit| self.request_limit.restored(now, limit))
    }

    /// Sets how many starts the upstream sustains while it is cold.
    pub fn set_cold_capacity(&mut self, capacity: ColdCapacity) {
        self.cold_limiter.set_cold_capacity(capacity);
    }

    /// Records how much longer the upstream is cold by its registration, in microseconds. Where probes
    /// can confirm warmth, a registration, which may be delayed, does not.
    pub fn cold_reported(&mut self, now: Moment, left_us: u64) {
        if self.cfg.can_probe {
            self.cold_limiter.reported_late(now, left_us);
        } else {
            self.cold_limiter.reported(now, left_us);
        }
    }

    /// Called after this process was suspended: attempts started before may reach the upstream only now.
    pub fn paused(&mut self, now: Moment) {
        self.cold_limiter.paused(now);
    }

    pub fn cold_limiter(&self) -> &ColdLimiter {
        &self.cold_limiter
    }

    pub fn slowdown(&self) -> &Slowdown {
        &self.slowdown
    }

    pub fn is_queued(&self, id: AttemptId) -> bool {
        self.queue.contains(id)
    }

    /// Whether the attempt is running or queued.
    pub fn is_active(&self, id: AttemptId) -> bool {
        self.running.contains_key(&id) || self.queue.contains(id)
    }
}

fn refusal(reason: Reason, retry_after_ms: u64) -> Refusal {
    Refusal {
        reason,
        retry_after_ms,
    }
}
