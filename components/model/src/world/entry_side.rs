//! Requests at their entry nodes.

use super::{Asker, Request, Try, World};
use crate::caller::Told;
use crate::message::{Happening, Message, RequestId};
use crate::site::{vm_name, vm_of};
use entry::{Action, Call, Candidate, Event, Origin, Outcome, Price, Treatment};
use home::{Offer, Suspicion};
use names::{AttemptId, Moment, Name, MILLISECOND};
use rand::seq::IndexedRandom;

/// Upstreams of the own hall, and of each other hall, among which one request chooses.
const NEAR_CANDIDATES: usize = 8;
const FAR_CANDIDATES: usize = 2;
/// Time that an entry node leaves for the way back.
const WAY_BACK_US: u64 = 3 * MILLISECOND;
/// Added to the priority of a request for the calls that are made for it.
const INNER_PRIORITY: u8 = 10;

impl World {
    /// A request begins at a node.
    pub(super) fn begin(
        &mut self,
        class: usize,
        vm: usize,
        asker: Asker,
        deadline: Moment,
        tried: Option<Try>,
    ) {
        let (level, priority, root) = match asker {
            Asker::Caller(caller) => (0, self.site.classes[class].priority, caller),
            Asker::Run { vm, id } => {
                let parent = self.nodes[vm].jobs[&id];
                let root = self.requests[parent.req].root;
                (parent.level + 1, parent.priority + INNER_PRIORITY, root)
            }
        };
        let spec = &self.site.classes[class];
        let treatment = Treatment {
            repeatable: spec.repeatable,
            priority,
            max_runs: if level == 0 { spec.attempts } else { 1 },
            max_arrivals: spec.attempts,
            origin: match asker {
                Asker::Caller(_) => Origin::Client,
                Asker::Run { .. } => Origin::Upstream,
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
            asker,
            began: tried.map_or(self.now, |tried| tried.first),
            deadline,
            tried,
            root,
            running: 0,
            was_long: false,
            level,
            priority,
            call,
        });
        if let Asker::Run { vm, id } = asker {
            if let Some(run) = self.nodes[vm].upstream.runs.get_mut(&id) {
                run.calls.push(req);
            }
        }
        self.at(deadline, Happening::Expired { req });
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
            let most = if same_hall {
                NEAR_CANDIDATES
            } else {
                FAR_CANDIDATES
            };
            let drawn = ready.choose_multiple(&mut self.rng, most);
            candidates.extend(drawn.map(|other| Candidate {
                vm: vm_name(*other),
                same_hall,
                local: *other == vm,
            }));
        }
        candidates
    }

    /// Something happens to a request.
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
                } => self.make_offer(req, id, &to, may_queue, repeat),
                Action::Cancel { id, to } => {
                    let from = self.requests[req].vm;
                    self.send(from, vm_of(&to), Message::Cancel(id));
                }
                // Nothing is lost on the way here.
                Action::Query { .. } => {}
                Action::Finish(outcome) => self.finished(req, &outcome),
            }
        }
    }

    fn make_offer(
        &mut self,
        req: RequestId,
        id: AttemptId,
        to: &Name,
        may_queue: bool,
        repeat: bool,
    ) {
        self.offers += 1;
        let request = &self.requests[req];
        self.callers[request.root].cost.offers += 1;
        let class = &self.site.classes[request.class];
        let spent_us = self.now.since(request.began);
        let objective_us = (request.level == 0).then_some(class.objective_us);
        let offer = Offer {
            id,
            service: self.site.services[class.service].name.clone(),
            remaining_us: request.deadline.since(self.now).saturating_sub(WAY_BACK_US),
            objective_us: objective_us.map(|us| us.saturating_sub(spent_us)),
            priority: request.priority,
            level: request.level,
            repeatable: class.repeatable,
            may_queue,
            repeat,
            suspicion: Suspicion::None,
            returned: request.tried.is_some_and(|tried| tried.is_return),
            report_straggler: self.policy.hedges() && class.repeatable && request.level == 0,
            known_limit: None,
            account: self.account_of(request),
        };
        let from = request.vm;
        self.send(from, vm_of(to), Message::Offer { from, req, offer });
    }

    /// The account among which slots are shared, where the policy asks for that.
    fn account_of(&self, request: &Request) -> Option<Name> {
        if !self.policy.admission.fair_accounts {
            return None;
        }
        let account = self.callers[request.root].arrival.account?;
        Some(self.site.accounts[account].name.clone())
    }

    fn finished(&mut self, req: RequestId, outcome: &Outcome<bool>) {
        if matches!(outcome, Outcome::NotRun(_)) {
            self.note(req);
        }
        match self.requests[req].asker {
            Asker::Caller(caller) => self.caller_answered(req, caller, Told::of(outcome)),
            Asker::Run { vm, id } => {
                let is_good = matches!(outcome, Outcome::Answered(true));
                self.call_ended(vm, id, is_good);
            }
        }
    }
}
