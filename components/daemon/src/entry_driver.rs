//! Carries out the decisions of the entry duty.

use crate::activation;
use crate::callers::Try;
use crate::containment;
use crate::home_driver;
use crate::links::{self, Reply};
use crate::node::{Node, SharedAnswer, Waiter};
use async_channel::{Receiver, Sender};
use audit::stats::{self, Stage};
use entry::{Action, Call, Candidate, Event, Origin, Outcome, Price, Treatment, RETURN_TIME_US};
use futures_util::future::{select, Either};
use home::{Load, Offer, Suspicion};
use keys::KeyHash;
use names::{AttemptId, Moment, Name};
use quarantine::Verdict;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use wire::{Frame, Request};

/// Events of one call that may wait; a call has few attempts and each ends once.
const EVENTS: usize = 32;

/// One request on its way to an outcome.
struct Running<'a> {
    node: &'a Rc<Node>,
    req: Arc<Request>,
    treatment: Treatment,
    key: Option<KeyHash>,
    /// Since when its objective runs.
    began: Moment,
    /// Whether its caller was refused before.
    is_retry: bool,
    price: Price,
    call: Call<SharedAnswer>,
    tx: Sender<Event<SharedAnswer>>,
    attempts: Vec<AttemptId>,
}

/// How a call ended.
pub struct CallResult {
    /// The outcome; none when the caller hung up.
    pub outcome: Option<Outcome<SharedAnswer>>,
    /// Whether a home duty that knows the call's idempotency key refused an offer.
    pub has_certain_refusal: bool,
}

/// What a call needs to know.
pub struct CallPlan {
    /// Upstreams that may serve it.
    pub candidates: Vec<Candidate>,
    /// Upstreams to which no connection is open, for when none of those takes work any more.
    pub reserve: Vec<Candidate>,
    /// What the policy says.
    pub treatment: Treatment,
    /// The request.
    pub req: Arc<Request>,
    /// Its idempotency key, hashed.
    pub key: Option<KeyHash>,
    /// The caller's deadline.
    pub deadline: Moment,
    /// The caller's try, where its objective runs from its first one.
    pub caller_try: Option<Try>,
    /// What an offer may cost.
    pub price: Price,
    /// The VMs at which it may run, the best first, if an upstream ended while it ran a copy.
    pub suspect_order: Option<Vec<Name>>,
}

/// Takes a request to its outcome.
pub async fn run_call(
    node: &Rc<Node>,
    plan: CallPlan,
    hung_up: impl Future<Output = ()>,
) -> CallResult {
    let (tx, rx) = async_channel::bounded(EVENTS);
    let price = plan.price;
    let call = Call::new(
        plan.req.service.clone(),
        plan.treatment.clone(),
        plan.deadline,
        plan.candidates,
    )
    .with_price(price)
    .with_reserve(plan.reserve);
    let call = match plan.suspect_order {
        Some(order) => call.with_suspect_order(order),
        None => call,
    };
    let mut running = Running {
        node,
        req: plan.req,
        treatment: plan.treatment,
        key: plan.key,
        began: plan
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
    let outcome = running.run(&rx, plan.deadline, pin!(hung_up)).await;
    running.forget();
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

impl Running<'_> {
    async fn run(
        &mut self,
        rx: &Receiver<Event<SharedAnswer>>,
        deadline: Moment,
        mut hung_up: Pin<&mut impl Future<Output = ()>>,
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
            event = match select(next, hung_up.as_mut()).await {
                Either::Left((Ok(Ok(event)), _)) => event,
                Either::Left((_, _)) => self.expired(),
                Either::Right(((), _)) => Event::CallerDisconnected,
            };
        }
    }

    /// At the deadline an offer that never left this node was truly not run.
    fn expired(&mut self) -> Event<SharedAnswer> {
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
        // An upstream may have ended under a copy since the call began.
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
        let left = self.call.deadline().since(node.now());
        let view = node.entry.borrow().view(&to);
        let offer = Offer {
            id,
            service: self.req.service.clone(),
            remaining_us: left.saturating_sub(RETURN_TIME_US),
            objective_us: self.objective_us(),
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
        audit::request_offered(&self.req.id, &offer, &to, &view, age_us);
        self.attempts.push(id);
        let waiter = Waiter {
            tx: self.tx.clone(),
            vm: to.clone(),
            offered_at: node.now(),
            service: self.req.service.clone(),
            sent_to_boot: local.then_some(node.boot),
        };
        node.waiters.borrow_mut().insert(id, waiter);
        if local {
            home_driver::on_offer(node, &to, offer, self.key, self.req.clone(), Reply::Local);
        } else {
            links::offer(node, &to, offer, self.key, self.req.clone());
        }
    }

    /// Whether the node beside the upstream is asked to tell when the run takes much longer than usual. Calls made by
    /// upstreams are not hedged: the request that they are made for is.
    fn reports_straggler(&self) -> bool {
        let is_of_client = self.treatment.origin == Origin::Client;
        let node = self.node;
        is_of_client
            && self.call.may_hedge()
            && activation::is_on(node, node.now(), node.cfg.hedging.mode)
    }

    /// What is left of the time within which an answer has its full worth.
    fn objective_us(&self) -> Option<u64> {
        let spent = self.node.now().since(self.began);
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

    /// Takes the call's attempts out of the node's books; what comes for them now is late.
    fn forget(&mut self) {
        let mut waiters = self.node.waiters.borrow_mut();
        for id in &self.attempts {
            waiters.remove(id);
        }
    }
}

/// Takes in the state of an upstream that came with an answer or a refusal.
pub fn on_load_report(node: &Rc<Node>, vm: &Name, load: Load) {
    let now = node.now();
    node.entry.borrow_mut().on_report(now, vm, load);
}

/// Hands an event to the call that waits for the attempt; counts it as late when there is none.
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
