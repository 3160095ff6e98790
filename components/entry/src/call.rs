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
use hedge::Second;
use home::{QueryReply, Reason, Refusal, Suspicion};
use names::{AttemptId, Moment, Name};

/// Offers of one request at most, counting those that were refused or handed back.
const MOST_OFFERS: u32 = 8;
/// Offers that may queue at most: three full queues mean that the service is overloaded.
const MOST_QUEUE_OFFERS: u32 = 3;
/// Told to callers when no home duty named a time, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
/// The same when every upstream is known to be full, in milliseconds: about the time in which one
/// request of the users' sites ends.
const BUSY_RETRY_AFTER_MS: u64 = 100;

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Idle,
    Waiting { id: AttemptId, to: Name },
    Asking { id: AttemptId, to: Name },
    Done,
}

/// One request at its entry node. `A` is the type of a whole answer.
#[derive(Debug)]
pub struct Call<A> {
    service: Name,
    treatment: Treatment,
    deadline: Moment,
    candidates: Vec<Candidate>,
    /// Upstreams to which no connection is open, for when none of the candidates takes work any more.
    reserve: Vec<Candidate>,
    state: State,
    refused_by: Vec<Name>,
    closed: Vec<Name>,
    /// Upstreams that handed the request back unrun.
    revoked_by: Vec<Name>,
    offers: u32,
    queue_offers: u32,
    asked_to_queue: bool,
    runs: u32,
    /// Upstreams that have seen the request.
    arrivals: u32,
    /// Whether a repeat was taken out of the budget and has reached no upstream yet.
    repeat_paid: bool,
    maybe_ran: bool,
    fallback: Option<A>,
    last_refusal: Option<Refusal>,
    contacted: bool,
    late: u64,
    price: Price,
    /// Where it may run, once an upstream has ended while it ran the request.
    suspect: Option<Suspect>,
    suspicion: Suspicion,
    /// When the current attempt was offered.
    offered_at: Moment,
    second: Second,
    /// Whether the request came under suspicion elsewhere while it ran.
    hedge_forbidden: bool,
    /// What the last step decided of a second attempt.
    hedge: Option<Hedge>,
}

impl<A: Clone> Call<A> {
    /// A call that has not begun.
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
            closed: Vec::new(),
            revoked_by: Vec::new(),
            offers: 0,
            queue_offers: 0,
            asked_to_queue: false,
            runs: 0,
            arrivals: 0,
            repeat_paid: false,
            maybe_ran: false,
            fallback: None,
            last_refusal: None,
            contacted: false,
            late: 0,
            price: Price::default(),
            suspect: None,
            suspicion: Suspicion::None,
            offered_at: Moment(0),
            second: Second::None,
            hedge_forbidden: false,
            hedge: None,
        }
    }

    /// Sets what offers may cost.
    pub fn with_price(mut self, price: Price) -> Call<A> {
        self.price = price;
        self
    }

    /// Sets upstreams to which no connection is open. An offer to one waits for its connection.
    pub fn with_reserve(mut self, reserve: Vec<Candidate>) -> Call<A> {
        self.reserve = reserve;
        self
    }

    /// Sets that an upstream ended while it ran a copy of the request, and the VMs at which it may run, the best
    /// first.
    pub fn with_suspect_order(mut self, order: Vec<Name>) -> Call<A> {
        self.suspect = Some(Suspect::new(order));
        self
    }

    /// Whether the outcome has been given.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Offers made so far.
    pub fn offers(&self) -> u32 {
        self.offers
    }

    /// Whether any home duty that knows the call's idempotency key refused an offer.
    pub fn has_certain_refusal(&self) -> bool {
        self.contacted
    }

    /// Events dropped because their attempt was no longer the call's.
    pub fn late_events(&self) -> u64 {
        self.late
    }

    /// The caller's deadline.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Takes in an event and returns what has to be done.
    pub fn step(&mut self, now: Moment, event: Event<A>, entry: &mut Entry) -> Vec<Action<A>> {
        if self.is_done() {
            return self.late_event(now, event, entry);
        }
        if self.second.is_beside() {
            return self.step_both(now, event, entry);
        }
        match event {
            Event::Begin => self.begin(now, entry),
            Event::Expired => self.expired(entry),
            Event::CallerDisconnected => self.hung_up(entry),
            Event::Refused(id, refusal) => self.refused(now, id, refusal, entry),
            Event::Revoked(id) => self.revoked(now, id, entry),
            Event::Answered { id, answer, error } => self.answered(now, id, answer, error, entry),
            Event::Broken(id) | Event::NodeGone(id) => self.broken(now, id, entry),
            Event::UpstreamTerminated { id, order } => self.ended(now, id, order, entry),
            Event::NotSent(id) => self.not_sent(now, id, entry),
            Event::ConnectionLost(id) => self.lost(now, id, entry),
            Event::QueryReplied(id, reply) => self.told(now, id, reply, entry),
            Event::NodeUnresponsive(id) => self.silent(now, id, entry),
            Event::Straggles(id) => self.straggles(now, id, entry),
        }
    }

    fn begin(&mut self, now: Moment, entry: &mut Entry) -> Vec<Action<A>> {
        match self.treatment.origin {
            Origin::Client => entry.deposit_retry(&self.service),
            Origin::Upstream => {}
            Origin::UpstreamRepeat => entry.charge_retry(&self.service),
        }
        self.next(now, entry)
    }

    /// Makes the next offer, or gives up.
    fn next(&mut self, now: Moment, entry: &mut Entry) -> Vec<Action<A>> {
        self.state = State::Idle;
        if now >= self.deadline {
            return self.give_up(Reason::Deadline, entry);
        }
        if self.offers >= MOST_OFFERS || self.queue_offers >= MOST_QUEUE_OFFERS {
            return self.give_up(Reason::Busy, entry);
        }
        let may_queue = match entry.rule() {
            _ if self.suspect.is_some() => true,
            SelectionRule::Expected => self.queue_next(now, entry),
            SelectionRule::Priced => self.queue_next_priced(now, entry),
            SelectionRule::TwoChoices | SelectionRule::Random => true,
        };
        let (picked, suspicion) = match &self.suspect {
            Some(suspect) => suspect.next().unzip(),
            None => (self.pick(now, may_queue, entry), None),
        };
        self.suspicion = suspicion.unwrap_or_default();
        if picked.is_none() && self.take_reserve() {
            return self.next(now, entry);
        }
        let Some(to) = picked else {
            let reason = if self.candidates.is_empty() {
                Reason::NoUpstream
            } else {
                Reason::Busy
            };
            return self.give_up(reason, entry);
        };
        self.asked_to_queue = may_queue;
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
        let Some(vm) = self.end(id, entry) else {
            entry.on_late_refusal(now, id, &refusal);
            return Vec::new();
        };
        self.last_refusal = Some(refusal);
        self.contacted |= refusal.reason != Reason::Uncertain;
        if refusal.reason == Reason::Busy && self.might_queue() {
            entry.on_busy_refusal(now, &self.service);
        }
        match refusal.reason {
            Reason::Deadline => return self.give_up(Reason::Deadline, entry),
            Reason::KeyUsed => return self.finish(Outcome::Unknown(Reason::KeyUsed), entry),
            Reason::Quarantined => return self.give_up(Reason::Quarantined, entry),
            Reason::Shed => return self.shed(now, vm, entry),
            Reason::Busy if self.suspect.is_some() => self.was_busy(vm),
            Reason::Busy if !self.asked_to_queue => self.refused_by.push(vm),
            Reason::Leaving => {
                entry.set_draining(now, &vm, true);
                self.close(vm);
            }
            _ => self.close(vm),
        }
        self.next(now, entry)
    }

    /// An upstream has seen the request and turned it away, so the next one sees a repeat.
    fn shed(&mut self, now: Moment, vm: Name, entry: &mut Entry) -> Vec<Action<A>> {
        self.close(vm);
        self.arrived();
        if !self.may_reach_another(entry) {
            return self.give_up(Reason::Shed, entry);
        }
        self.next(now, entry)
    }

    fn revoked(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(vm) = self.end(id, entry) else {
            return Vec::new();
        };
        self.close_revoked(vm);
        self.next(now, entry)
    }

    fn answered(
        &mut self,
        now: Moment,
        id: AttemptId,
        answer: A,
        error: bool,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.end(id, entry) else {
            return Vec::new();
        };
        self.ran();
        if !error {
            self.note_winner(now, id);
        }
        if !error || !self.may_retry(entry) {
            return self.finish(Outcome::Answered(answer), entry);
        }
        self.fallback = Some(answer);
        self.retry_elsewhere(now, vm, entry)
    }

    fn broken(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(vm) = self.end(id, entry) else {
            return Vec::new();
        };
        self.ran();
        self.maybe_ran = true;
        if !self.may_retry(entry) {
            return self.give_up(Reason::Lost, entry);
        }
        self.retry_elsewhere(now, vm, entry)
    }

    fn not_sent(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(vm) = self.end(id, entry) else {
            return Vec::new();
        };
        entry.mark_unresponsive(now, &vm);
        self.last_refusal = Some(Refusal {
            reason: Reason::Unreachable,
            retry_after_ms: DEFAULT_RETRY_AFTER_MS,
        });
        self.close(vm);
        self.next(now, entry)
    }

    /// The upstream ended under the request, so that it may be what ended it: it runs once more at most, where it
    /// can be told from others, and no further upstream is risked for a request that was under suspicion before.
    fn ended(
        &mut self,
        now: Moment,
        id: AttemptId,
        order: Vec<Name>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.end(id, entry) else {
            return Vec::new();
        };
        self.ran();
        self.maybe_ran = true;
        let was_suspect = self.suspect.is_some();
        if was_suspect || order.is_empty() || !self.may_retry(entry) {
            return self.give_up(Reason::Lost, entry);
        }
        self.suspect = Some(Suspect::new(order));
        self.close(vm);
        self.next(now, entry)
    }

    /// A request that may not be repeated is asked after; another goes to the next upstream.
    fn lost(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(to) = self.current(id) else {
            return self.dropped();
        };
        entry.mark_unresponsive(now, &to);
        let asked = matches!(self.state, State::Asking { .. });
        if self.treatment.repeatable || asked {
            return self.broken(now, id, entry);
        }
        self.state = State::Asking { id, to: to.clone() };
        vec![Action::Query { id, to }]
    }

    fn told(
        &mut self,
        now: Moment,
        id: AttemptId,
        reply: QueryReply<A>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(vm) = self.current(id) else {
            return self.dropped();
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

    /// Leaves a silent node when the request may run twice; otherwise waits on.
    fn silent(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some(vm) = self.current(id) else {
            return self.dropped();
        };
        entry.mark_unresponsive(now, &vm);
        if !self.may_retry(entry) {
            return Vec::new();
        }
        self.leave_attempt(id, entry);
        self.runs += 1;
        self.arrivals += 1;
        self.maybe_ran = true;
        let mut actions = vec![Action::Cancel { id, to: vm.clone() }];
        actions.extend(self.retry_elsewhere(now, vm, entry));
        actions
    }

    fn expired(&mut self, entry: &mut Entry) -> Vec<Action<A>> {
        let Some((id, to)) = self.active() else {
            return self.give_up(Reason::Deadline, entry);
        };
        self.leave_attempt(id, entry);
        self.arrived();
        self.maybe_ran = true;
        let mut actions = vec![Action::Cancel { id, to }];
        actions.extend(self.give_up(Reason::Deadline, entry));
        actions
    }

    fn hung_up(&mut self, entry: &mut Entry) -> Vec<Action<A>> {
        let active = self.active();
        if let Some((id, _)) = &active {
            self.leave_attempt(*id, entry);
            // Its upstream may have seen the repeat.
            self.repeat_paid = false;
        }
        self.refund(entry);
        self.state = State::Done;
        active
            .map(|(id, to)| Action::Cancel { id, to })
            .into_iter()
            .collect()
    }

    /// The outcome when there is no further offer: never "not run" when any attempt may have run.
    fn give_up(&mut self, reason: Reason, entry: &mut Entry) -> Vec<Action<A>> {
        if let Some(answer) = self.fallback.take() {
            return self.finish(Outcome::Answered(answer), entry);
        }
        if self.maybe_ran {
            return self.finish(Outcome::Unknown(reason), entry);
        }
        let retry_after_ms = match reason {
            Reason::Busy => BUSY_RETRY_AFTER_MS,
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

    /// Ends the current attempt when it is `id`; counts the event as late otherwise.
    fn end(&mut self, id: AttemptId, entry: &mut Entry) -> Option<Name> {
        let Some(vm) = self.current(id) else {
            self.late += 1;
            return None;
        };
        entry.attempt_ended(&vm);
        self.state = State::Idle;
        Some(vm)
    }

    fn current(&self, id: AttemptId) -> Option<Name> {
        let (mine, vm) = self.active()?;
        (mine == id).then_some(vm)
    }

    fn active(&self) -> Option<(AttemptId, Name)> {
        match &self.state {
            State::Waiting { id, to } | State::Asking { id, to } => Some((*id, to.clone())),
            State::Idle | State::Done => None,
        }
    }

    fn dropped(&mut self) -> Vec<Action<A>> {
        self.late += 1;
        Vec::new()
    }
}
