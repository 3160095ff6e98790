//! The life of one request at its entry node.

mod hedge;
mod offers;
mod repeats;

use crate::choice::{Candidate, SelectionRule};
use crate::event::{Action, Event, Origin, Outcome, Treatment};
use crate::hedging::Hedge;
use crate::price::Price;
use crate::shared::Entry;
use crate::suspect::Suspect;
use hedge::HedgeState;
use home::{QueryReply, Reason, Refusal, Suspicion};
use names::{AttemptId, Moment, Name};

/// Maximum number of offers of one request, including those that were refused or revoked.
const MAX_OFFERS: u32 = 8;
/// Maximum number of offers that may queue: three full queues mean that the service is overloaded.
const MAX_QUEUE_OFFERS: u32 = 3;
/// Retry-after time for callers when no home duty has sent one, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
/// Retry-after time when every upstream is known to be full, in milliseconds: about the run time of
/// one request in deployments.
const BUSY_RETRY_AFTER_MS: u64 = 100;

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Idle,
    Waiting { id: AttemptId, to: Name },
    Querying { id: AttemptId, to: Name },
    Done,
}

/// One request at its entry node. `A` is the type of a complete answer.
#[derive(Debug)]
pub struct Call<A> {
    service: Name,
    treatment: Treatment,
    deadline: Moment,
    candidates: Vec<Candidate>,
    /// Upstreams without an open connection, used when no candidate accepts work any more.
    reserve: Vec<Candidate>,
    state: State,
    /// Upstreams that had no free slot for an offer that may not queue.
    refused_by: Vec<Name>,
    /// VMs that get no further offer.
    excluded: Vec<Name>,
    /// VMs whose home duty revoked an attempt before it ran.
    revoked_by: Vec<Name>,
    offers: u32,
    queue_offers: u32,
    offer_may_queue: bool,
    runs: u32,
    /// Number of upstreams that have received the request.
    arrivals: u32,
    /// Whether a repeat has been spent from the retry budget and has not reached an upstream yet.
    repeat_pending: bool,
    may_have_run: bool,
    fallback: Option<A>,
    last_refusal: Option<Refusal>,
    has_certain_refusal: bool,
    late_events: u64,
    price: Price,
    /// The longest that such requests have taken recently, in microseconds.
    longest_us: Option<u64>,
    /// VMs at which the request may run after an upstream has terminated while running it.
    suspect: Option<Suspect>,
    suspicion: Suspicion,
    /// When the current attempt was offered.
    offered_at: Moment,
    hedge_state: HedgeState,
    /// Whether the request has become a suspect because of another copy while it ran.
    hedge_forbidden: bool,
    /// What the last step decided about a hedged attempt.
    last_hedge: Option<Hedge>,
}

impl<A: Clone> Call<A> {
    /// Creates a call that has not begun.
    pub fn new(
        service: Name,
        treatment: Treatment,
        deadline: Moment,
        candidates: Vec<Candidate>,
    ) -> Call<A> {
        Call {
            service,
            treatment,
            deadline,
            candidates,
            reserve: Vec::new(),
            state: State::Idle,
            refused_by: Vec::new(),
            excluded: Vec::new(),
            revoked_by: Vec::new(),
            offers: 0,
            queue_offers: 0,
            offer_may_queue: false,
            runs: 0,
            arrivals: 0,
            repeat_pending: false,
            may_have_run: false,
            fallback: None,
            last_refusal: None,
            has_certain_refusal: false,
            late_events: 0,
            price: Price::default(),
            longest_us: None,
            suspect: None,
            suspicion: Suspicion::None,
            offered_at: Moment(0),
            hedge_state: HedgeState::None,
            hedge_forbidden: false,
            last_hedge: None,
        }
    }

    /// Sets the costs used to select upstreams, and the objective.
    pub fn with_price(mut self, price: Price) -> Call<A> {
        self.price = price;
        self
    }

    /// Sets the longest that such requests have taken recently, in microseconds; none if that is
    /// unknown. A stopping node makes no offer that may take longer than it has left.
    pub fn with_longest(mut self, longest_us: Option<u64>) -> Call<A> {
        self.longest_us = longest_us;
        self
    }

    /// Sets the upstreams without an open connection. An offer to one of them waits for the
    /// connection.
    pub fn with_reserve(mut self, reserve: Vec<Candidate>) -> Call<A> {
        self.reserve = reserve;
        self
    }

    /// Makes the request a suspect, because an upstream terminated while running a copy of it.
    /// `order` lists the VMs at which it may run, in order of preference.
    pub fn with_suspect_order(mut self, order: Vec<Name>) -> Call<A> {
        self.suspect = Some(Suspect::new(order));
        self
    }

    /// Whether the call has ended.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Offers made so far.
    pub fn offers(&self) -> u32 {
        self.offers
    }

    /// Whether an offer was refused by a home duty that knows whether the call's idempotency key
    /// was used.
    pub fn has_certain_refusal(&self) -> bool {
        self.has_certain_refusal
    }

    /// Number of events dropped because their attempt was no longer a current one of the call.
    pub fn late_events(&self) -> u64 {
        self.late_events
    }

    /// The caller's deadline.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// The longest that such requests have taken recently, in microseconds; none if that is unknown.
    pub fn longest_us(&self) -> Option<u64> {
        self.longest_us
    }

    /// The time that the request may need from now on, in microseconds.
    pub fn need_us(&self, now: Moment) -> u64 {
        shutdown::need_us(self.longest_us, self.deadline.since(now))
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: Moment, event: Event<A>, entry: &mut Entry) -> Vec<Action<A>> {
        if self.is_done() {
            return self.late_event(now, event, entry);
        }
        if self.hedge_state.is_in_flight() {
            return self.step_hedged(now, event, entry);
        }
        match event {
            Event::Begin => self.begin(now, entry),
            Event::Expired => self.expired(entry),
            Event::CallerDisconnected => self.caller_disconnected(entry),
            Event::Refused(id, refusal) => self.refused(now, id, refusal, entry),
            Event::Revoked(id) => self.revoked(now, id, entry),
            Event::Answered { id, answer, error } => self.answered(now, id, answer, error, entry),
            Event::Broken(id) | Event::NodeGone(id) => self.broken(now, id, entry),
            Event::UpstreamTerminated { id, order } => {
                self.upstream_terminated(now, id, order, entry)
            }
            Event::NotSent(id) => self.not_sent(now, id, entry),
            Event::ConnectionLost(id) => self.connection_lost(now, id, entry),
            Event::QueryReplied(id, reply) => self.query_replied(now, id, reply, entry),
            Event::NodeUnresponsive(id) => self.node_unresponsive(now, id, entry),
            Event::Straggles(id) => self.straggles(now, id, entry),
        }
    }

    fn begin(&mut self, now: Moment, entry: &mut Entry) -> Vec<Action<A>> {
        match self.treatment.origin {
            Origin::Client => entry.deposit_retry(&self.service),
            Origin::Upstream => {}
            Origin::UpstreamRepeat => entry.charge_retry(&self.service),
        }
        self.offer_next(now, entry)
    }

    /// Makes the next offer, or ends the call when none is possible.
    fn offer_next(&mut self, now: Moment, entry: &mut Entry) -> Vec<Action<A>> {
        self.state = State::Idle;
        if now >= self.deadline {
            return self.give_up(Reason::Deadline, entry);
        }
        if !entry.may_offer(now, self.need_us(now)) {
            return self.give_up(Reason::Leaving, entry);
        }
        if self.offers >= MAX_OFFERS || self.queue_offers >= MAX_QUEUE_OFFERS {
            return self.give_up(Reason::Busy, entry);
        }
        let may_queue = match entry.rule() {
            _ if self.suspect.is_some() => true,
            SelectionRule::Expected => self.next_may_queue(now, entry),
            SelectionRule::Priced => self.next_may_queue_priced(now, entry),
            SelectionRule::TwoChoices | SelectionRule::Random => true,
        };
        let (picked, suspicion) = match &self.suspect {
            Some(suspect) => suspect.next().unzip(),
            None => (self.pick(now, may_queue, entry), None),
        };
        self.suspicion = suspicion.unwrap_or_default();
        if picked.is_none() && self.add_reserve() {
            return self.offer_next(now, entry);
        }
        let Some(to) = picked else {
            let reason = if self.candidates.is_empty() {
                Reason::NoUpstream
            } else {
                Reason::Busy
            };
            return self.give_up(reason, entry);
        };
        self.offer_may_queue = may_queue;
        let is_trial = self.suspicion == Suspicion::Alone;
        self.queue_offers += u32::from(may_queue && !is_trial);
        let id = entry.next_attempt();
        entry.attempt_offered(&to);
        self.offers += 1;
        self.offered_at = now;
        self.state = State::Waiting { id, to: to.clone() };
        let repeat = self.arrivals > 0 || self.treatment.origin == Origin::UpstreamRepeat;
        vec![Action::Offer {
            id,
            to,
            may_queue,
            repeat,
            suspicion: self.suspicion,
        }]
    }

    fn refused(
        &mut self,
        now: Moment,
        id: AttemptId,
        refusal: Refusal,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.end_attempt(id, entry) else {
            entry.on_late_refusal(now, id, &refusal);
            return Vec::new();
        };
        self.last_refusal = Some(refusal);
        self.has_certain_refusal |= refusal.reason != Reason::Uncertain;
        if refusal.reason == Reason::Busy && self.could_queue() {
            entry.on_busy_refusal(now, &self.service);
        }
        match refusal.reason {
            Reason::Deadline => return self.give_up(Reason::Deadline, entry),
            Reason::KeyUsed => return self.finish(Outcome::Unknown(Reason::KeyUsed), entry),
            Reason::Quarantined => return self.give_up(Reason::Quarantined, entry),
            Reason::Shed => return self.shed(now, vm, entry),
            Reason::Busy if self.suspect.is_some() => self.on_suspect_busy(vm),
            Reason::Busy if !self.offer_may_queue => self.refused_by.push(vm),
            Reason::Leaving => {
                entry.set_draining(now, &vm, true);
                self.exclude(vm);
            }
            _ => self.exclude(vm),
        }
        self.offer_next(now, entry)
    }

    /// Handles a request that an upstream received and rejected: the next upstream receives a
    /// repeat.
    fn shed(&mut self, now: Moment, vm: Name, entry: &mut Entry) -> Vec<Action<A>> {
        self.exclude(vm);
        self.record_arrival();
        if !self.try_spend_repeat(entry) {
            return self.give_up(Reason::Shed, entry);
        }
        self.offer_next(now, entry)
    }

    fn revoked(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(vm) = self.end_attempt(id, entry) else {
            return Vec::new();
        };
        self.exclude_revoked(vm);
        self.offer_next(now, entry)
    }

    fn answered(
        &mut self,
        now: Moment,
        id: AttemptId,
        answer: A,
        error: bool,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.end_attempt(id, entry) else {
            return Vec::new();
        };
        self.record_run();
        if !error {
            self.record_winner(now, id);
        }
        if !error || !self.may_retry(entry) {
            return self.finish(Outcome::Answered(answer), entry);
        }
        self.fallback = Some(answer);
        self.retry_elsewhere(now, vm, entry)
    }

    fn broken(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(vm) = self.end_attempt(id, entry) else {
            return Vec::new();
        };
        self.record_run();
        self.may_have_run = true;
        if !self.may_retry(entry) {
            return self.give_up(Reason::Lost, entry);
        }
        self.retry_elsewhere(now, vm, entry)
    }

    fn not_sent(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(vm) = self.end_attempt(id, entry) else {
            return Vec::new();
        };
        entry.mark_unresponsive(now, &vm);
        self.last_refusal = Some(Refusal {
            reason: Reason::Unreachable,
            retry_after_ms: DEFAULT_RETRY_AFTER_MS,
        });
        self.exclude(vm);
        self.offer_next(now, entry)
    }

    /// Handles an upstream that terminated while running the request, which may be the cause. The
    /// request runs at most once more, where it can be distinguished from other suspects. A request
    /// that was a suspect before is not run again, so that it can't crash another upstream.
    fn upstream_terminated(
        &mut self,
        now: Moment,
        id: AttemptId,
        order: Vec<Name>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.end_attempt(id, entry) else {
            return Vec::new();
        };
        self.record_run();
        self.may_have_run = true;
        let was_suspect = self.suspect.is_some();
        if was_suspect || order.is_empty() || !self.may_retry(entry) {
            return self.give_up(Reason::Lost, entry);
        }
        self.suspect = Some(Suspect::new(order));
        self.exclude(vm);
        self.offer_next(now, entry)
    }

    /// Sends a query about a request that may not be repeated. Offers a repeatable request to the
    /// next upstream.
    fn connection_lost(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(to) = self.vm_if_current(id) else {
            return self.drop_late_event();
        };
        entry.mark_unresponsive(now, &to);
        let is_querying = matches!(self.state, State::Querying { .. });
        if self.treatment.repeatable || is_querying {
            return self.broken(now, id, entry);
        }
        self.state = State::Querying { id, to: to.clone() };
        vec![Action::Query { id, to }]
    }

    fn query_replied(
        &mut self,
        now: Moment,
        id: AttemptId,
        reply: QueryReply<A>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.vm_if_current(id) else {
            return self.drop_late_event();
        };
        entry.mark_responsive(&vm);
        match reply {
            QueryReply::Started => {
                self.state = State::Waiting { id, to: vm };
                Vec::new()
            }
            QueryReply::Answered(answer) => self.answered(now, id, answer, false, entry),
            QueryReply::Ran | QueryReply::Forgotten => self.broken(now, id, entry),
            QueryReply::Revoked => self.revoked(now, id, entry),
        }
    }

    /// Abandons the attempt at an unresponsive node if the request may run again; otherwise keeps
    /// waiting.
    fn node_unresponsive(
        &mut self,
        now: Moment,
        id: AttemptId,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.vm_if_current(id) else {
            return self.drop_late_event();
        };
        entry.mark_unresponsive(now, &vm);
        if !self.may_retry(entry) {
            return Vec::new();
        }
        self.abandon_attempt(id, entry);
        self.runs += 1;
        self.arrivals += 1;
        self.may_have_run = true;
        let mut actions = vec![Action::Cancel { id, to: vm.clone() }];
        actions.extend(self.retry_elsewhere(now, vm, entry));
        actions
    }

    fn expired(&mut self, entry: &mut Entry) -> Vec<Action<A>> {
        let Some((id, to)) = self.active_attempt() else {
            return self.give_up(Reason::Deadline, entry);
        };
        self.abandon_attempt(id, entry);
        self.record_arrival();
        self.may_have_run = true;
        let mut actions = vec![Action::Cancel { id, to }];
        actions.extend(self.give_up(Reason::Deadline, entry));
        actions
    }

    fn caller_disconnected(&mut self, entry: &mut Entry) -> Vec<Action<A>> {
        let active = self.active_attempt();
        if let Some((id, _)) = &active {
            self.abandon_attempt(*id, entry);
            // The upstream may have received the repeat.
            self.repeat_pending = false;
        }
        self.refund(entry);
        self.state = State::Done;
        active
            .map(|(id, to)| Action::Cancel { id, to })
            .into_iter()
            .collect()
    }

    /// Ends the call without a further offer. The outcome is never "not run" if an attempt may have
    /// run.
    fn give_up(&mut self, reason: Reason, entry: &mut Entry) -> Vec<Action<A>> {
        if let Some(answer) = self.fallback.take() {
            return self.finish(Outcome::Answered(answer), entry);
        }
        if self.may_have_run {
            return self.finish(Outcome::Unknown(reason), entry);
        }
        let retry_after_ms = match reason {
            Reason::Busy => BUSY_RETRY_AFTER_MS,
            Reason::Leaving => shutdown::RETRY_AFTER_MS,
            _ => DEFAULT_RETRY_AFTER_MS,
        };
        let refusal = self.last_refusal.unwrap_or(Refusal {
            reason,
            retry_after_ms,
        });
        self.finish(Outcome::NotRun(refusal), entry)
    }

    fn finish(&mut self, outcome: Outcome<A>, entry: &mut Entry) -> Vec<Action<A>> {
        self.refund(entry);
        self.state = State::Done;
        vec![Action::Finish(outcome)]
    }

    /// Ends the current attempt if it is `id`, and returns its VM. Otherwise counts a late event.
    fn end_attempt(&mut self, id: AttemptId, entry: &mut Entry) -> Option<Name> {
        let Some(vm) = self.vm_if_current(id) else {
            self.late_events += 1;
            return None;
        };
        entry.attempt_ended(&vm);
        self.state = State::Idle;
        Some(vm)
    }

    fn vm_if_current(&self, id: AttemptId) -> Option<Name> {
        let (current, vm) = self.active_attempt()?;
        (current == id).then_some(vm)
    }

    fn active_attempt(&self) -> Option<(AttemptId, Name)> {
        match &self.state {
            State::Waiting { id, to } | State::Querying { id, to } => Some((*id, to.clone())),
            State::Idle | State::Done => None,
        }
    }

    fn drop_late_event(&mut self) -> Vec<Action<A>> {
        self.late_events += 1;
        Vec::new()
    }
}
