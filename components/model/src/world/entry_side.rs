//! Requests at their entry nodes.

use super::{Request, Requester, Try, World};
use crate::caller::CallerReply;
use crate::message::{Message, RequestId, ScheduledEvent};
use crate::site::{vm_name, vm_of};
use entry::{Action, Call, Candidate, Event, Origin, Outcome, Price, Treatment};
use home::{Offer, Suspicion};
use names::{AttemptId, Moment, Name, MILLISECOND};
use rand::seq::IndexedRandom;

/// Candidate upstreams per request, in the node's own hall and in each other hall.
const SAME_HALL_CANDIDATES: usize = 8;
const OTHER_HALL_CANDIDATES: usize = 2;
/// Time reserved for the return of the answer to the entry node, in microseconds.
const RETURN_TIME_US: u64 = 3 * MILLISECOND;
/// Added to the priority of a request for each level of calls made for it.
const NESTED_CALL_PRIORITY: u8 = 10;

impl World {
    /// Starts a request at a node.
    pub(super) fn start_request(
        &mut self,
        class: usize,
        vm: usize,
        requester: Requester,
        deadline: Moment,
        caller_try: Option<Try>,
    ) {
        let (level, priority, root_caller) = match requester {
            Requester::Caller(caller) => (0, self.site.classes[class].priority, caller),
            Requester::Attempt { vm, id } => {
                let parent = self.nodes[vm].jobs[&id];
                let root_caller = self.requests[parent.req].root_caller;
                (
                    parent.level + 1,
                    parent.priority + NESTED_CALL_PRIORITY,
                    root_caller,
                )
            }
        };
        let spec = &self.site.classes[class];
        let treatment = Treatment {
            repeatable: spec.repeatable,
            priority,
            max_runs: if level == 0 { spec.max_attempts } else { 1 },
            max_arrivals: spec.max_attempts,
            origin: match requester {
                Requester::Caller(_) => Origin::Client,
                Requester::Attempt { .. } => Origin::Upstream,
            },
        };
        let price = Price::of(priority, spec.objective_us, level > 0);
        let service = self.site.services[spec.service].name.clone();
        let candidates = self.candidates(spec.service, vm);
        let call = Call::new(service, treatment, deadline, candidates).with_price(price);
        let req = self.requests.len();
        self.requests.push(Request {
            class,
            vm,
            requester,
            objective_from: caller_try.map_or(self.now, |caller_try| caller_try.first_at),
            deadline,
            caller_try,
            root_caller,
            running_attempts: 0,
            had_tail_run: false,
            level,
            priority,
            call,
        });
        if let Requester::Attempt { vm, id } = requester {
            if let Some(run) = self.nodes[vm].upstream.runs.get_mut(&id) {
                run.calls.push(req);
            }
        }
        self.schedule(deadline, ScheduledEvent::Expired { req });
        self.step(req, Event::Begin);
    }

    fn candidates(&mut self, service: usize, vm: usize) -> Vec<Candidate> {
        let own_hall = self.site.vms[vm].hall;
        let halls = self.site.vms.iter().map(|vm| vm.hall).max().unwrap_or(0);
        let mut candidates = Vec::new();
        for hall in 0..=halls {
            let ready = self.site.vms.iter().enumerate().filter(|(_, other)| {
                other.service == service && other.hall == hall && other.up_at <= self.now
            });
            let ready: Vec<usize> = ready.map(|(index, _)| index).collect();
            let same_hall = hall == own_hall;
            let max_count = if same_hall {
                SAME_HALL_CANDIDATES
            } else {
                OTHER_HALL_CANDIDATES
            };
            let drawn = ready.choose_multiple(&mut self.rng, max_count);
            candidates.extend(drawn.map(|other| Candidate {
                vm: vm_name(*other),
                same_hall,
                local: *other == vm,
            }));
        }
        candidates
    }

    /// Passes an event to a request and executes the resulting actions.
    pub(super) fn step(&mut self, req: RequestId, event: Event<bool>) {
        let request = &mut self.requests[req];
        if request.call.is_done() {
            return;
        }
        let entry = &mut self.nodes[request.vm].entry;
        let actions = request.call.step(self.now, event, entry);
        for action in actions {
            match action {
                Action::Offer {
                    id,
                    to,
                    may_queue,
                    repeat,
                    ..
                } => self.send_offer(req, id, &to, may_queue, repeat),
                Action::Cancel { id, to } => {
                    let from = self.requests[req].vm;
                    self.send(from, vm_of(&to), Message::Cancel(id));
                }
                // The model loses no messages, so there is nothing to query.
                Action::Query { .. } => {}
                Action::Finish(outcome) => self.on_finish(req, &outcome),
            }
        }
    }

    fn send_offer(
        &mut self,
        req: RequestId,
        id: AttemptId,
        to: &Name,
        may_queue: bool,
        repeat: bool,
    ) {
        self.offers += 1;
        let request = &self.requests[req];
        self.callers[request.root_caller].cost.offers += 1;
        let class = &self.site.classes[request.class];
        let spent_us = self.now.since(request.objective_from);
        let objective_us = (request.level == 0).then_some(class.objective_us);
        let offer = Offer {
            id,
            service: self.site.services[class.service].name.clone(),
            remaining_us: request
                .deadline
                .since(self.now)
                .saturating_sub(RETURN_TIME_US),
            objective_us: objective_us.map(|us| us.saturating_sub(spent_us)),
            priority: request.priority,
            level: request.level,
            repeatable: class.repeatable,
            may_queue,
            repeat,
            suspicion: Suspicion::None,
            returned: request
                .caller_try
                .is_some_and(|caller_try| caller_try.is_retry),
            report_straggler: self.policy.hedges() && class.repeatable && request.level == 0,
            known_limit: None,
            account: self.fair_share_account(request),
        };
        let from = request.vm;
        self.send(from, vm_of(to), Message::Offer { from, req, offer });
    }

    /// Account for fair sharing of slots, if the policy uses it.
    fn fair_share_account(&self, request: &Request) -> Option<Name> {
        if !self.policy.admission.fair_accounts {
            return None;
        }
        let account = self.callers[request.root_caller].arrival.account?;
        Some(self.site.accounts[account].name.clone())
    }

    fn on_finish(&mut self, req: RequestId, outcome: &Outcome<bool>) {
        if matches!(outcome, Outcome::NotRun(_)) {
            self.record_refusal(req);
        }
        match self.requests[req].requester {
            Requester::Caller(caller) => {
                self.on_caller_reply(req, caller, CallerReply::of(outcome))
            }
            Requester::Attempt { vm, id } => {
                let is_good = matches!(outcome, Outcome::Answered(true));
                self.on_call_end(vm, id, is_good);
            }
        }
    }
}
