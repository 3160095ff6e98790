//! Carries out the decisions of the entry duty.

use crate::activation;
use crate::callers::Try;
use crate::containment;
use crate::home_driver::{self, Offered};
use crate::links::{self, Reply};
use crate::node::{Node, SharedAnswer, Waiter};
use crate::registration;
use async_channel::{Receiver, Sender};
use audit::stats::{self, Stage};
use entry::{Action, Call, Candidate, Event, Origin, Outcome, Price, Treatment, RETURN_TIME_US};
use futures_util::future::{select, Either};
use home::{Load, Offer, Suspicion};
use keys::KeyHash;
use names::{AttemptId, Moment, Name};
use quarantine::Verdict;
use shutdown::{need_us, Plan};
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use wire::{Frame, Request};

/// Capacity of a call's event queue; a call has few attempts, and each ends once.
const EVENT_QUEUE_LENGTH: usize = 32;

/// A call in progress.
struct RunningCall<'a> {
    node: &'a Rc<Node>,
    req: Arc<Request>,
    treatment: Treatment,
    key: Option<KeyHash>,
    /// When its objective began.
    objective_start: Moment,
    /// Whether an earlier try of its caller was refused.
    is_retry: bool,
    price: Price,
    call: Call<SharedAnswer>,
    tx: Sender<Event<SharedAnswer>>,
    attempts: Vec<AttemptId>,
}

/// Result of a call.
pub struct CallResult {
    /// The outcome; none when the caller disconnected.
    pub outcome: Option<Outcome<SharedAnswer>>,
    /// Whether a home duty that has records of the call's idempotency key refused an offer.
    pub has_certain_refusal: bool,
}

/// Input of a call.
pub struct CallPlan {
    /// Upstreams that may serve it.
    pub candidates: Vec<Candidate>,
    /// Upstreams without an open connection, used once none of the candidates accepts work any more.
    pub reserve: Vec<Candidate>,
    /// Treatment by the policy.
    pub treatment: Treatment,
    /// The request.
    pub req: Arc<Request>,
    /// Its idempotency key, hashed.
    pub key: Option<KeyHash>,
    /// The caller's deadline.
    pub deadline: Moment,
    /// The longest that such requests have taken recently, in microseconds.
    pub longest_us: Option<u64>,
    /// The caller's try; set if its objective counts from its first try.
    pub caller_try: Option<Try>,
    /// Prices for the selection of an upstream.
    pub price: Price,
    /// VMs at which the request may run, best first; set if an upstream has terminated while it ran
    /// a copy.
    pub suspect_order: Option<Vec<Name>>,
}

/// Runs a call until it has an outcome or its caller disconnects.
pub async fn run_call(
    node: &Rc<Node>,
    plan: CallPlan,
    disconnected: impl Future<Output = ()>,
) -> CallResult {
    let (tx, rx) = async_channel::bounded(EVENT_QUEUE_LENGTH);
    let price = plan.price;
    let call = Call::new(
        plan.req.service.clone(),
        plan.treatment.clone(),
        plan.deadline,
        plan.candidates,
    )
    .with_price(price)
    .with_longest(plan.longest_us)
    .with_reserve(plan.reserve);
    let call = match plan.suspect_order {
        Some(order) => call.with_suspect_order(order),
        None => call,
    };
    let mut running = RunningCall {
        node,
        req: plan.req,
        treatment: plan.treatment,
        key: plan.key,
        objective_start: plan
            .caller_try
            .map_or(node.now(), |caller_try| caller_try.first_at),
        is_retry: plan
            .caller_try
            .is_some_and(|caller_try| caller_try.is_retry),
        price,
        call,
        tx,
        attempts: Vec::new(),
    };
    let outcome = running.run(&rx, plan.deadline, pin!(disconnected)).await;
    running.remove_waiters();
    while let Ok(event) = rx.try_recv() {
        running.step(event);
    }
    if matches!(&outcome, Some(Outcome::Answered(answer)) if !answer.is_error()) {
        containment::on_remote_completion(node, &running.req);
    }
    CallResult {
        outcome,
        has_certain_refusal: running.call.has_certain_refusal(),
    }
}

impl RunningCall<'_> {
    async fn run(
        &mut self,
        rx: &Receiver<Event<SharedAnswer>>,
        deadline: Moment,
        mut disconnected: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<Outcome<SharedAnswer>> {
        let mut event = Event::Begin;
        loop {
            if let Some(outcome) = self.step(event) {
                return Some(outcome);
            }
            if self.call.is_done() {
                return None;
            }
            let next = pin!(self.node.clock.timeout_at(deadline, rx.recv()));
            event = match select(next, disconnected.as_mut()).await {
                Either::Left((Ok(Ok(event)), _)) => event,
                Either::Left((_, _)) => self.on_deadline(),
                Either::Right(((), _)) => Event::CallerDisconnected,
            };
        }
    }

    /// At the deadline, an offer that never left this node is certain not to have run.
    fn on_deadline(&mut self) -> Event<SharedAnswer> {
        let Some(id) = self.attempts.last().copied() else {
            return Event::Expired;
        };
        let unsent = self
            .node
            .waiters
            .borrow()
            .get(&id)
            .is_some_and(|waiter| waiter.sent_to_boot.is_none());
        if unsent && links::withdraw(self.node, id) {
            return Event::NotSent(id);
        }
        Event::Expired
    }

    fn step(&mut self, event: Event<SharedAnswer>) -> Option<Outcome<SharedAnswer>> {
        let now = self.node.now();
        let is_straggler = matches!(event, Event::Straggles(_));
        // An upstream may have terminated while it ran a copy since the call began.
        if is_straggler && containment::verdict(self.node, &self.req) != Verdict::Free {
            self.call.forbid_hedge();
        }
        let actions = {
            let mut entry = self.node.entry.borrow_mut();
            self.call.step(now, event, &mut entry)
        };
        if let Some(hedge) = self.call.take_hedge() {
            stats::hedged(hedge.decision);
            audit::hedge_decided(&self.req.id, &hedge);
        }
        let mut outcome = None;
        for action in actions {
            match action {
                Action::Finish(finished) => outcome = Some(finished),
                Action::Offer {
                    id,
                    to,
                    may_queue,
                    repeat,
                    suspicion,
                } => self.offer(id, to, may_queue, repeat, suspicion),
                Action::Query { id, to } => links::query(self.node, &to, id),
                Action::Cancel { id, to } => self.cancel(id, &to),
            }
        }
        outcome
    }

    fn offer(
        &mut self,
        id: AttemptId,
        to: Name,
        may_queue: bool,
        repeat: bool,
        suspicion: Suspicion,
    ) {
        let node = self.node;
        let now = node.now();
        let upstream = registration::upstream_of(node, &to);
        let mut entry = node.entry.borrow_mut();
        if let Some(upstream) = &upstream {
            entry.set_upstream(&to, &upstream.id);
        }
        let remaining_us = entry.work_deadline(self.call.deadline()).since(now);
        let view = entry.view(&to);
        drop(entry);
        let offer = Offer {
            id,
            service: self.req.service.clone(),
            remaining_us: remaining_us.saturating_sub(RETURN_TIME_US),
            objective_us: self.remaining_objective_us(),
            priority: self.treatment.priority,
            level: self.req.level,
            repeatable: self.treatment.repeatable,
            may_queue,
            repeat,
            suspicion,
            returned: self.is_retry,
            report_straggler: self.reports_straggler(),
            known_limit: view.known_limit,
            account: None,
        };
        let local = to == node.cfg.vm;
        stats::attempt_offered(local);
        if repeat {
            stats::repeat_offered();
        }
        let age_us = node.now().since(view.reported_at);
        audit::request_offered(&self.req.id, &offer, &to, upstream.as_ref(), &view, age_us);
        self.attempts.push(id);
        let waiter = Waiter {
            tx: self.tx.clone(),
            vm: to.clone(),
            offered_at: now,
            service: self.req.service.clone(),
            deadline: self.call.deadline(),
            longest_us: self.call.longest_us(),
            is_fenced: false,
            sent_to_boot: local.then_some(node.boot),
        };
        node.waiters.borrow_mut().insert(id, waiter);
        let offered = Offered {
            offer,
            key: self.key,
            req: self.req.clone(),
            upstream,
        };
        if local {
            home_driver::on_offer(node, &to, offered, Reply::Local);
        } else {
            links::offer(node, &to, offered);
        }
    }

    /// Whether the home duty is to report when the run takes much longer than typical. Calls made
    /// by upstreams are not hedged, since the request for which they are made is.
    fn reports_straggler(&self) -> bool {
        let is_client_request = self.treatment.origin == Origin::Client;
        let node = self.node;
        is_client_request
            && self.call.may_hedge()
            && activation::is_on(node, node.now(), node.cfg.hedging.mode)
    }

    /// Remaining time within which an answer has its full value.
    fn remaining_objective_us(&self) -> Option<u64> {
        let spent = self.node.now().since(self.objective_start);
        let objective = self.price.objective_us;
        objective.map(|objective| objective.saturating_sub(spent))
    }

    fn cancel(&mut self, id: AttemptId, to: &Name) {
        if *to == self.node.cfg.vm {
            home_driver::cancel(self.node, id);
        } else {
            links::send(self.node, to, &Frame::Cancel { id });
        }
    }

    /// Removes the call's attempts from the node's table; events that arrive for them now are late.
    fn remove_waiters(&mut self) {
        let mut waiters = self.node.waiters.borrow_mut();
        for id in &self.attempts {
            waiters.remove(id);
        }
    }
}

/// Revokes the attempts that have not started and could not end before the planned stop any more.
/// Their callers can be told at once that the request has not run.
pub fn revoke_unfinishable(node: &Rc<Node>, plan: &Plan) {
    let now = node.now();
    let mut due = Vec::new();
    for (id, waiter) in node.waiters.borrow_mut().iter_mut() {
        let need_us = need_us(waiter.longest_us, waiter.deadline.since(now));
        if waiter.is_fenced || plan.fits(now, need_us) {
            continue;
        }
        waiter.is_fenced = true;
        due.push((*id, waiter.vm.clone(), waiter.sent_to_boot.is_some()));
    }
    for (id, vm, is_sent) in due {
        if vm == node.cfg.vm {
            home_driver::revoke(node, id);
        } else if is_sent {
            links::query(node, &vm, id);
        } else if links::withdraw(node, id) {
            deliver(node, id, Event::NotSent(id));
        }
    }
}

/// Applies the upstream state reported with an answer or a refusal.
pub fn on_load_report(node: &Rc<Node>, vm: &Name, load: Load) {
    let now = node.now();
    let upstream = registration::upstream_of(node, vm);
    let mut entry = node.entry.borrow_mut();
    if let Some(upstream) = upstream {
        entry.set_upstream(vm, &upstream.id);
    }
    entry.on_report(now, vm, load);
}

/// Delivers an event to the call that waits for the attempt; counts it as late when there is none.
pub fn deliver(node: &Rc<Node>, id: AttemptId, event: Event<SharedAnswer>) {
    let refusal = match &event {
        Event::Refused(_, refusal) => Some(*refusal),
        _ => None,
    };
    let waiters = node.waiters.borrow();
    if let Some(waiter) = waiters.get(&id).filter(|_| !event.is_report()) {
        let took_us = node.now().since(waiter.offered_at);
        stats::record_latency(Stage::Offer, &waiter.service, event.as_str(), took_us);
    }
    let delivered = waiters
        .get(&id)
        .is_some_and(|waiter| waiter.tx.try_send(event).is_ok());
    if !delivered {
        stats::late_event("event");
        if let Some(refusal) = refusal {
            let mut entry = node.entry.borrow_mut();
            entry.on_late_refusal(node.now(), id, &refusal);
        }
    }
}
