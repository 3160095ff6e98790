//! Attempts at the nodes beside upstreams.

use super::{Asker, Job, World, TICK_US};
use crate::message::{Happening, Message, RequestId};
use crate::upstream::Run;
use entry::Event;
use home::{Action, Offer, PriorStarts, ProbeResult, Verdict};
use names::{AttemptId, MILLISECOND};

/// Time that a look at an upstream's pace takes.
pub(super) const LOOK_US: u64 = MILLISECOND;

impl World {
    /// An offer reaches the node beside an upstream.
    pub(super) fn offered(&mut self, vm: usize, from: usize, req: RequestId, offer: &Offer) {
        let job = Job {
            req,
            from,
            arrived: self.now,
            deadline: self.now + offer.remaining_us,
            priority: offer.priority,
            level: offer.level,
            repeatable: offer.repeatable,
        };
        let node = &mut self.nodes[vm];
        node.jobs.insert(offer.id, job);
        let actions = node.home.offer(self.now, offer);
        self.perform(vm, actions);
    }

    /// Nobody waits for an attempt any more.
    pub(super) fn cancelled(&mut self, vm: usize, id: AttemptId) {
        let node = &mut self.nodes[vm];
        let is_running = node.home.cancel(self.now, id);
        let is_repeatable = node.jobs.get(&id).is_some_and(|job| job.repeatable);
        if !is_running {
            node.jobs.remove(&id);
        } else if is_repeatable {
            self.end(vm, id, Verdict::Cancelled);
        }
    }

    pub(super) fn tick(&mut self, vm: usize) {
        let actions = self.nodes[vm].home.tick(self.now);
        self.perform(vm, actions);
        self.at(self.now + TICK_US, Happening::Tick { vm });
    }

    pub(super) fn probed(&mut self, vm: usize) {
        let node = &mut self.nodes[vm];
        let pace = &self.site.pace;
        let probed = ProbeResult::Reported {
            percent: Some(node.upstream.percent(self.now, pace, &self.troubles)),
            cold_us: Some(node.upstream.cold_us(self.now, pace)),
        };
        let actions = node.home.probe_finished(self.now, probed);
        self.perform(vm, actions);
    }

    /// The upstream's own work on an attempt is done; calls may follow.
    pub(super) fn worked(&mut self, vm: usize, id: AttemptId) {
        let Some(run) = self.nodes[vm].upstream.runs.get_mut(&id) else {
            return;
        };
        let deadline = run.deadline;
        let class = self.requests[run.req].class;
        let calls = self.site.classes[class].calls;
        let upstream = &mut self.nodes[vm].upstream;
        let calls = calls.filter(|calls| upstream.makes_calls(calls.share));
        let Some(calls) = calls else {
            self.end(vm, id, Verdict::Good);
            return;
        };
        let at_once = if calls.in_turn { 1 } else { calls.times };
        if let Some(run) = upstream.runs.get_mut(&id) {
            run.waits_for = at_once;
            run.in_turn = calls.times - at_once;
        }
        for _ in 0..at_once {
            if !self.nodes[vm].jobs.contains_key(&id) {
                // The one before was refused at once, and its request failed by that.
                return;
            }
            self.begin(calls.class, vm, Asker::Run { vm, id }, deadline, None);
        }
    }

    /// A call made for an attempt has ended.
    pub(super) fn call_ended(&mut self, vm: usize, id: AttemptId, is_good: bool) {
        let Some(run) = self.nodes[vm].upstream.runs.get_mut(&id) else {
            return;
        };
        if !is_good {
            self.end(vm, id, Verdict::Error);
            return;
        }
        if run.in_turn > 0 {
            run.in_turn -= 1;
            let deadline = run.deadline;
            let class = self.requests[run.req].class;
            if let Some(calls) = self.site.classes[class].calls {
                self.begin(calls.class, vm, Asker::Run { vm, id }, deadline, None);
            }
            return;
        }
        run.waits_for -= 1;
        if run.waits_for == 0 {
            self.end(vm, id, Verdict::Good);
        }
    }

    pub(super) fn ran_out(&mut self, vm: usize, id: AttemptId) {
        if self.nodes[vm].upstream.runs.contains_key(&id) {
            self.end(vm, id, Verdict::Error);
        }
    }

    /// An attempt ends; the calls made for it end with it.
    pub(super) fn end(&mut self, vm: usize, id: AttemptId, verdict: Verdict) {
        let node = &mut self.nodes[vm];
        let Some(run) = node.upstream.runs.remove(&id) else {
            return;
        };
        if verdict != Verdict::Good {
            self.wasted += 1;
        }
        let request = &mut self.requests[run.req];
        request.running -= 1;
        let cost = &mut self.callers[request.root].cost;
        cost.slot_us += self.now.since(run.started);
        let percent = node
            .upstream
            .percent(self.now, &self.site.pace, &self.troubles);
        node.home.slowdown_reported(self.now, percent);
        let is_good = verdict == Verdict::Good;
        let answer = (verdict != Verdict::Cancelled).then_some(is_good);
        let actions = node.home.completed(self.now, id, verdict, answer);
        for call in run.calls {
            self.step(call, Event::CallerDisconnected);
        }
        let event = match answer {
            Some(answer) => Event::Answered {
                id,
                answer,
                error: !is_good,
            },
            None => Event::Broken(id),
        };
        self.tell_end(vm, id, event);
        self.perform(vm, actions);
    }

    pub(super) fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        self.check_refusals(vm, &actions);
        for action in actions {
            match action {
                Action::Start(id) => self.start(vm, id),
                Action::Probe => self.at(self.now + LOOK_US, Happening::ProbeResult { vm }),
                Action::Refuse(id, refusal) => self.tell_end(vm, id, Event::Refused(id, refusal)),
                Action::Revoke(id) => self.tell_end(vm, id, Event::Revoked(id)),
                Action::Straggles(id) => self.tell_straggler(vm, id),
            }
        }
    }

    fn tell_straggler(&mut self, vm: usize, id: AttemptId) {
        if let Some(Job { req, from, .. }) = self.nodes[vm].jobs.get(&id).copied() {
            self.send(vm, from, Message::Straggles { req, id });
        }
    }

    fn start(&mut self, vm: usize, id: AttemptId) {
        self.runs += 1;
        let node = &mut self.nodes[vm];
        let Job { req, deadline, .. } = node.jobs[&id];
        let request = &mut self.requests[req];
        let class = &self.site.classes[request.class];
        let service = &self.site.services[class.service];
        let upstream = &mut node.upstream;
        let percent = upstream.percent(self.now, &self.site.pace, &self.troubles);
        let mut work_us = upstream.work_us(class, percent);
        let at_work = upstream.runs.len() as u64 + 1;
        let bears = u64::from(service.bears.unwrap_or(service.slots));
        work_us = work_us * at_work.max(bears) / bears;
        if let Some(tail) = class.tail.filter(|_| !request.was_long) {
            if upstream.is_long(tail.share) {
                request.was_long = true;
                work_us = (work_us as f64 * tail.factor) as u64;
            }
        }
        let cost = &mut self.callers[request.root].cost;
        cost.starts += 1;
        cost.second_starts += usize::from(request.running > 0);
        request.running += 1;
        let run = Run {
            req,
            deadline,
            waits_for: 0,
            in_turn: 0,
            calls: Vec::new(),
            started: self.now,
        };
        node.upstream.runs.insert(id, run);
        if self.falls_over(vm) {
            return;
        }
        self.at(self.now + work_us, Happening::Worked { vm, id });
        self.at(deadline, Happening::RanOut { vm, id });
    }

    /// Takes in a start at an upstream; returns whether it falls over by that.
    fn falls_over(&mut self, vm: usize) -> bool {
        let node = &mut self.nodes[vm];
        let starts = node.upstream.started(self.now);
        let Some(cold) = self.site.services[self.site.vms[vm].service].cold else {
            return false;
        };
        let is_cold = node.upstream.cold_us(self.now, &self.site.pace) > 0;
        if !is_cold || starts <= cold.falls_at {
            return false;
        }
        let up_at = self.now + cold.down_us;
        let lost = node.upstream.fall(up_at);
        let actions = node.home.start_drain(self.now);
        self.falls.push(self.now);
        self.site.vms[vm].up_at = up_at;
        self.at(up_at, Happening::Back { vm });
        self.perform(vm, actions);
        for id in lost {
            self.end(vm, id, Verdict::Broken);
        }
        true
    }

    /// An upstream that fell over stands there again.
    pub(super) fn back(&mut self, vm: usize) {
        let node = &mut self.nodes[vm];
        let slots = self.site.services[self.site.vms[vm].service].slots;
        node.home.end_drain();
        let actions = node
            .home
            .upstream_replaced(self.now, slots, PriorStarts::None);
        self.perform(vm, actions);
    }

    fn tell_end(&mut self, vm: usize, id: AttemptId, event: Event<bool>) {
        let node = &mut self.nodes[vm];
        let Some(Job { req, from, .. }) = node.jobs.remove(&id) else {
            return;
        };
        let load = node.home.load(self.now);
        let message = Message::Ended {
            from: vm,
            req,
            load,
            event,
        };
        self.send(vm, from, message);
    }
}
