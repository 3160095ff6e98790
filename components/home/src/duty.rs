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
use crate::record::{Record, RecordLookup, Records};
use crate::request_limit::RequestLimit;
use crate::stragglers::Stragglers;
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use notices::{RateNotice, RequestRate};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;

/// The queue holds at most this many attempts for each slot.
const QUEUE_PER_SLOT: usize = 8;
/// Shortest time after which a refused caller may come back, in milliseconds.
const LEAST_RETRY_AFTER_MS: u64 = 50;
/// While the upstream is down, one offer in this interval is let through to try it.
const DOWN_TRIAL_US: u64 = SECOND / 4;

/// The home duty of one upstream. `A` is the type of a whole answer.
#[derive(Debug)]
pub struct Home<A> {
    boot: BootId,
    cfg: Config,
    limit: ConcurrencyLimit,
    depth: DepthTracker,
    running: HashMap<AttemptId, Attempt<Started>>,
    queue: Queue,
    records: Records<A>,
    leaving: bool,
    pace: Slowdown,
    stragglers: Stragglers,
    cold: ColdLimiter,
    request_limit: RequestLimit,
    /// When the look at the upstream began that is under way.
    looking: Option<Moment>,
    /// Queued attempts that wait for a word of the upstream before it is known whether they are taken.
    unsettled: Vec<AttemptId>,
    down_since: Option<Moment>,
    counters: Counters,
    rng: SmallRng,
}

impl<A: Clone> Home<A> {
    /// A home duty of the given boot with nothing running.
    pub fn new(boot: BootId, cfg: Config) -> Home<A> {
        assert!(cfg.slots > 0, "an upstream has at least one slot");
        Home {
            boot,
            limit: ConcurrencyLimit::new(cfg.slots),
            depth: DepthTracker::default(),
            records: Records::new(cfg.max_records, cfg.max_answers, cfg.keep_us),
            rng: SmallRng::seed_from_u64(cfg.seed),
            running: HashMap::new(),
            queue: Queue::default(),
            leaving: false,
            pace: Slowdown::default(),
            stragglers: Stragglers::default(),
            cold: ColdLimiter::default(),
            request_limit: RequestLimit::default(),
            looking: None,
            unsettled: Vec::new(),
            down_since: None,
            counters: Counters::default(),
            cfg,
        }
    }

    /// Takes in an offer.
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
            RecordLookup::New => self.decide(now, offer),
        }
    }

    /// Answers a question about an attempt. Asking is fencing: an attempt that has not started is
    /// recorded as not run and can't start afterwards. `boot` is the boot to which the attempt was
    /// offered; another boot knows nothing of it.
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

    /// Cancels an attempt. Returns whether it is running; one that is queued is dropped.
    pub fn cancel(&mut self, now: Moment, id: AttemptId) -> bool {
        !self.revoke(now, id) && self.running.contains_key(&id)
    }

    /// Takes in the end of a running attempt. `answer` is the whole answer, if there was one.
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
            self.pace.record_run(attempt.class(), service_us, percent);
        }
        self.stragglers
            .ended(&attempt, service_us, verdict, &self.pace);
        self.limit
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
                self.refuse_ended(now, id, Reason::Shed, &mut actions);
            }
            Verdict::NotSent => {
                self.down_since = Some(now);
                self.refuse_ended(now, id, Reason::Down, &mut actions);
            }
        }
        self.fill(now, &mut actions);
        actions
    }

    /// Lets time pass: drops what is past its deadline and hands back what waits at a slow upstream.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.records.tick(now);
        self.expire(now, &mut actions);
        self.hand_back_slow(now, &mut actions);
        self.fill(now, &mut actions);
        actions.extend(self.report_stragglers(now));
        actions
    }

    /// Reports the runs that take much longer than usual, each once.
    pub fn report_stragglers(&mut self, now: Moment) -> Vec<Action> {
        let due = self.stragglers.take_due(now);
        self.counters.stragglers += due.len() as u64;
        due.into_iter().map(Action::Straggles).collect()
    }

    /// When the run of an attempt is to be reported as a straggler, as far as is known now; none when it is not to be.
    pub fn straggler_due(&self, id: AttemptId) -> Option<Moment> {
        self.stragglers.due(id)
    }

    /// How long the run of an attempt has taken, and the 90th percentile of runs like it, in microseconds.
    pub fn run_times(&self, now: Moment, id: AttemptId) -> Option<(u64, u64)> {
        let attempt = self.running.get(&id)?;
        let usual_us = self.stragglers.typical_us(attempt)?;
        Some((now.since(attempt.state().at), usual_us))
    }

    /// Stops taking new work and hands back what is queued. What runs goes on.
    pub fn start_drain(&mut self, now: Moment) -> Vec<Action> {
        self.leaving = true;
        let mut actions = Vec::new();
        self.hand_back_all(now, &mut actions);
        actions
    }

    /// Takes new work again after [`Home::start_drain`].
    pub fn end_drain(&mut self) {
        self.leaving = false;
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Whether the queue holds anything, so that [`Home::tick`] is worth calling soon.
    pub fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// The state of the upstream as carried on answers and refusals.
    pub fn load(&self, now: Moment) -> Load {
        let running = self.in_flight(now);
        Load {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.current_limit(now, &running),
            service_us: self.limit.service_us(&running) as u64,
            errors_permille: self.limit.errors_permille(),
            slow_percent: self.pace.reported_percent(now),
            deferred_us: self.held_us(now),
            cold_wait_us: self.cold.wait_us(now, 0),
            request_limit: self.request_limit(),
            limit_wait_us: self.request_limit.wait_us(now, self.queue.len()),
            leaving: self.leaving,
        }
    }

    /// The whole answer of an attempt, while it is kept.
    pub fn answer(&self, id: AttemptId) -> Option<A> {
        match self.records.look_up(id) {
            RecordLookup::Ended(Record::Answered(answer)) => answer,
            _ => None,
        }
    }

    /// Counted events.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of ended attempts on record.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    fn start(&mut self, attempt: Attempt<Started>, actions: &mut Vec<Action>) {
        self.counters.started += 1;
        self.cold.started(attempt.state().at);
        self.request_limit.started(attempt.state().at);
        self.stragglers.started(&attempt);
        let id = attempt.id();
        let cost_us = self.pace.cost_us(attempt.class());
        self.queue.started(&attempt, cost_us);
        actions.push(Action::Start(id));
        let before = self.running.insert(id, attempt);
        assert!(before.is_none(), "attempt {id} started a second time");
        assert!(
            self.running.len() <= self.cfg.slots as usize,
            "more attempts run than there are slots"
        );
    }

    /// Starts queued attempts while slots are free.
    ///
    /// Slots are given out before waits are ended: a slot that comes free between two ticks is not to find the attempt
    /// refused whose wait ended since the last one.
    fn fill(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.refuse_dead(now, actions);
        self.start_queued(now, actions);
        self.expire(now, actions);
    }

    fn start_queued(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.down_since.is_some() {
            self.hand_back_all(now, actions);
            return;
        }
        if self.queue.is_empty() || self.leaving {
            return;
        }
        let pace = &self.pace;
        let matters = self.queue.any(|attempt| pace.may_defer(attempt.class()));
        if matters && self.waits_for_report(now, actions) {
            return;
        }
        while !self.queue.is_empty() {
            match self.cold_room(now, 0) {
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
            let percent = self.pace.reported_percent(now);
            self.start(attempt.start(now, percent), actions);
        }
        self.settle(now, actions);
    }

    /// Takes the first queued attempt for whose level a slot is free.
    fn next_queued(&mut self, now: Moment, limit: u32) -> Option<Attempt<Queued>> {
        let busy = self.running.len() as u32;
        let kept = self.cfg.adaptive.then_some(&self.depth);
        let can_wait = self.cfg.can_probe && !self.pace.is_probing_suspended(now);
        let pace = &self.pace;
        self.queue.take_first(|attempt| {
            let level = attempt.class().level;
            if can_wait && pace.is_deferred(now, attempt.class()) {
                return false;
            }
            busy < kept.map_or(limit, |depth| depth.limit(now, level, limit))
        })
    }

    /// The limit for a call of `level`. Where deeper calls go before all others by their priority, no
    /// slots are kept for them besides.
    fn allowed(&self, now: Moment, level: u32, limit: u32) -> u32 {
        if self.cfg.adaptive {
            self.depth.limit(now, level, limit)
        } else {
            limit
        }
    }

    /// Refuses what has waited as long as it may.
    fn expire(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.refuse_dead(now, actions);
        for id in self.queue.late(now) {
            self.queue.take(id);
            self.refuse_ended(now, id, Reason::Busy, actions);
        }
    }

    /// Refuses what is past its deadline.
    fn refuse_dead(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for id in self.queue.dead(now) {
            self.queue.take(id);
            self.refuse_ended(now, id, Reason::Deadline, actions);
        }
    }

    fn hand_back_slow(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.queue.is_empty() || !self.cfg.adaptive {
            return;
        }
        let running = self.in_flight(now);
        if self.limit.is_slow(&running) && self.current_limit(now, &running) * 2 <= self.cfg.slots {
            self.hand_back_all(now, actions);
        }
    }

    fn hand_back_all(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for id in self.queue.ids() {
            self.revoke(now, id);
            actions.push(Action::Revoke(id));
        }
    }

    /// Takes an attempt out of the queue that will not run. Returns whether it waited.
    fn revoke(&mut self, now: Moment, id: AttemptId) -> bool {
        let waited = self.queue.take(id).is_some();
        if waited {
            self.counters.revoked += 1;
            self.records.end(now, id, Record::NotRun);
        }
        waited
    }

    /// Records that an attempt was not run, then says so: in this order.
    fn refuse_ended(
        &mut self,
        now: Moment,
        id: AttemptId,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        self.refuse_as(now, id, reason, Record::NotRun, actions);
    }

    fn refuse_as(
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

    /// The time to drain what is queued, spread over its double so that callers don't return at once.
    fn retry_after_ms(&mut self, now: Moment) -> u64 {
        let running = self.in_flight(now);
        let service = self.limit.service_us(&running);
        let drain_us =
            (self.queue.len() + 1) as f64 * service / self.current_limit(now, &running) as f64;
        let ahead = self.queue.len();
        let wait_us = (drain_us as u64 + self.held_us(now))
            .max(self.cold.wait_us(now, ahead))
            .max(self.request_limit.wait_us(now, ahead));
        let wait_ms = (wait_us / MILLISECOND).max(LEAST_RETRY_AFTER_MS);
        self.rng.random_range(wait_ms..=2 * wait_ms)
    }

    fn current_limit(&self, now: Moment, running: &[(Class, u64)]) -> u32 {
        let usable = ((self.cfg.slots as f64 * self.cfg.usable_fraction) as u32).max(1);
        if !self.cfg.adaptive {
            return usable;
        }
        self.limit.current(now, running).min(usable)
    }

    fn in_flight(&self, now: Moment) -> Vec<(Class, u64)> {
        self.running
            .values()
            .map(|attempt| (attempt.class(), now.since(attempt.state().at)))
            .collect()
    }

    /// Takes in that another run of the upstream stands here, with `slots` slots. What runs at the
    /// one before goes on and keeps its slot until it ends.
    pub fn upstream_replaced(
        &mut self,
        now: Moment,
        slots: u32,
        earlier: PriorStarts,
    ) -> Vec<Action> {
        self.cfg.slots = slots.max(1);
        self.limit = ConcurrencyLimit::new(self.cfg.slots);
        self.pace = Slowdown::default();
        self.stragglers.forget_run_times();
        self.cold.replaced(earlier);
        self.request_limit
            .replaced(earlier == PriorStarts::SameIdentity);
        self.down_since = None;
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        actions
    }

    /// Takes in how long work takes at the upstream, in hundredths of the usual. Returns whether
    /// that differs from what it said before.
    pub fn slowdown_reported(&mut self, now: Moment, percent: u32) -> bool {
        self.pace.reported(now, percent)
    }

    /// Takes in what an answer of the upstream says of how many requests it takes. Returns whether another limit, or none,
    /// is in force now.
    pub fn limit_advertised(&mut self, now: Moment, notice: RateNotice) -> bool {
        self.request_limit.advertised(now, notice)
    }

    /// The requests a second that the upstream takes, by its own word.
    pub fn request_limit(&self) -> Option<RequestRate> {
        self.request_limit.in_force()
    }

    /// Takes in a limit that the sender of an offer knows. Returns whether it is in force now and was not before.
    pub fn limit_restored(&mut self, now: Moment, offer: &Offer) -> bool {
        let limit = offer.known_limit;
        limit.is_some_and(|limit| self.request_limit.restored(now, limit))
    }

    /// Sets how many starts the upstream bears while it is cold.
    pub fn set_cold_capacity(&mut self, bears: ColdCapacity) {
        self.cold.set_cold_capacity(bears);
    }

    /// Takes in the upstream's own registration: how much longer it is cold, in microseconds.
    pub fn cold_reported(&mut self, now: Moment, left_us: u64) {
        if self.cfg.can_probe {
            self.cold.reported_late(now, left_us);
        } else {
            self.cold.reported(now, left_us);
        }
    }

    /// Takes in that this process stood still.
    pub fn paused(&mut self, now: Moment) {
        self.cold.paused(now);
    }

    /// What is known of the upstream's warmth.
    pub fn cold_limiter(&self) -> &ColdLimiter {
        &self.cold
    }

    /// What is known of the upstream's pace.
    pub fn slowdown(&self) -> &Slowdown {
        &self.pace
    }

    /// Whether the attempt waits.
    pub fn is_queued(&self, id: AttemptId) -> bool {
        self.queue.contains(id)
    }

    /// Whether the attempt runs or waits.
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
