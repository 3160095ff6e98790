//! Attempts at the nodes of upstreams.

use super::{Job, Requester, World, TICK_US};
use crate::message::{Message, RequestId, ScheduledEvent};
use crate::upstream::Run;
use entry::Event;
use home::{Action, Offer, PriorStarts, ProbeResult, Verdict};
use names::{AttemptId, MILLISECOND};

/// Duration of a health probe, in microseconds.
pub(super) const PROBE_US: u64 = MILLISECOND;

impl World {
    /// An offer arrives at the node of an upstream.
    pub(super) fn on_offer(&mut self, vm: usize, from: usize, req: RequestId, offer: &Offer) {
        let job = Job {
            req,
            from,
            arrived_at: self.now,
            deadline: self.now + offer.remaining_us,
            priority: offer.priority,
            level: offer.level,
            repeatable: offer.repeatable,
        };
        let node = &mut self.nodes[vm];
        node.jobs.insert(offer.id, job);
        let actions = node.home.offer(self.now, offer);
        self.apply_actions(vm, actions);
    }

    /// The result of an attempt is no longer needed.
    pub(super) fn on_cancel(&mut self, vm: usize, id: AttemptId) {
        let node = &mut self.nodes[vm];
        let is_running = node.home.cancel(self.now, id);
        let is_repeatable = node.jobs.get(&id).is_some_and(|job| job.repeatable);
        if !is_running {
            node.jobs.remove(&id);
        } else if is_repeatable {
            self.end_run(vm, id, Verdict::Cancelled);
        }
    }

    pub(super) fn tick(&mut self, vm: usize) {
        let actions = self.nodes[vm].home.tick(self.now);
        self.apply_actions(vm, actions);
        self.schedule(self.now + TICK_US, ScheduledEvent::Tick { vm });
    }

    pub(super) fn on_probe_result(&mut self, vm: usize) {
        let node = &mut self.nodes[vm];
        let speed = &self.site.speed;
        let result = ProbeResult::Reported {
            percent: Some(node.upstream.slow_percent(self.now, speed, &self.faults)),
            cold_us: Some(node.upstream.remaining_cold_us(self.now, speed)),
        };
        let actions = node.home.probe_finished(self.now, result);
        self.apply_actions(vm, actions);
    }

    /// The upstream has finished its own work on an attempt; calls may follow.
    pub(super) fn on_work_done(&mut self, vm: usize, id: AttemptId) {
        let Some(run) = self.nodes[vm].upstream.runs.get_mut(&id) else {
            return;
        };
        let deadline = run.deadline;
        let class = self.requests[run.req].class;
        let calls = self.site.classes[class].calls;
        let upstream = &mut self.nodes[vm].upstream;
        let calls = calls.filter(|calls| upstream.makes_calls(calls.share));
        let Some(calls) = calls else {
            self.end_run(vm, id, Verdict::Good);
            return;
        };
        let concurrent = if calls.sequential { 1 } else { calls.count };
        if let Some(run) = upstream.runs.get_mut(&id) {
            run.pending_calls = concurrent;
            run.remaining_calls = calls.count - concurrent;
        }
        for _ in 0..concurrent {
            if !self.nodes[vm].jobs.contains_key(&id) {
                // An earlier call was refused immediately, which ended the attempt with an error.
                return;
            }
            self.start_request(
                calls.class,
                vm,
                Requester::Attempt { vm, id },
                deadline,
                None,
            );
        }
    }

    /// A call made for an attempt has ended.
    pub(super) fn on_call_end(&mut self, vm: usize, id: AttemptId, is_good: bool) {
        let Some(run) = self.nodes[vm].upstream.runs.get_mut(&id) else {
            return;
        };
        if !is_good {
            self.end_run(vm, id, Verdict::Error);
            return;
        }
        if run.remaining_calls > 0 {
            run.remaining_calls -= 1;
            let deadline = run.deadline;
            let class = self.requests[run.req].class;
            if let Some(calls) = self.site.classes[class].calls {
                self.start_request(
                    calls.class,
                    vm,
                    Requester::Attempt { vm, id },
                    deadline,
                    None,
                );
            }
            return;
        }
        run.pending_calls -= 1;
        if run.pending_calls == 0 {
            self.end_run(vm, id, Verdict::Good);
        }
    }

    pub(super) fn on_timeout(&mut self, vm: usize, id: AttemptId) {
        if self.nodes[vm].upstream.runs.contains_key(&id) {
            self.end_run(vm, id, Verdict::Error);
        }
    }

    /// Ends a run and cancels the calls made for it.
    pub(super) fn end_run(&mut self, vm: usize, id: AttemptId, verdict: Verdict) {
        let node = &mut self.nodes[vm];
        let Some(run) = node.upstream.runs.remove(&id) else {
            return;
        };
        if verdict != Verdict::Good {
            self.wasted_runs += 1;
        }
        let request = &mut self.requests[run.req];
        request.running_attempts -= 1;
        let cost = &mut self.callers[request.root_caller].cost;
        cost.slot_us += self.now.since(run.started_at);
        let percent = node
            .upstream
            .slow_percent(self.now, &self.site.speed, &self.faults);
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
        self.report_end(vm, id, event);
        self.apply_actions(vm, actions);
    }

    pub(super) fn apply_actions(&mut self, vm: usize, actions: Vec<Action>) {
        self.count_avoidable_refusals(vm, &actions);
        for action in actions {
            match action {
                Action::Start(id) => self.start_run(vm, id),
                Action::Probe => {
                    self.schedule(self.now + PROBE_US, ScheduledEvent::ProbeResult { vm })
                }
                Action::Refuse(id, refusal) => self.report_end(vm, id, Event::Refused(id, refusal)),
                Action::Revoke(id) => self.report_end(vm, id, Event::Revoked(id)),
                Action::Straggles(id) => self.report_straggler(vm, id),
            }
        }
    }

    fn report_straggler(&mut self, vm: usize, id: AttemptId) {
        if let Some(Job { req, from, .. }) = self.nodes[vm].jobs.get(&id).copied() {
            self.send(vm, from, Message::Straggles { req, id });
        }
    }

    fn start_run(&mut self, vm: usize, id: AttemptId) {
        self.runs += 1;
        let node = &mut self.nodes[vm];
        let Job { req, deadline, .. } = node.jobs[&id];
        let request = &mut self.requests[req];
        let class = &self.site.classes[request.class];
        let service = &self.site.services[class.service];
        let upstream = &mut node.upstream;
        let percent = upstream.slow_percent(self.now, &self.site.speed, &self.faults);
        let mut work_us = upstream.work_us(class, percent);
        let running = upstream.runs.len() as u64 + 1;
        let sustained = u64::from(service.sustained_concurrency.unwrap_or(service.slots));
        work_us = work_us * running.max(sustained) / sustained;
        if let Some(tail) = class.tail.filter(|_| !request.had_tail_run) {
            if upstream.is_tail_run(tail.share) {
                request.had_tail_run = true;
                work_us = (work_us as f64 * tail.factor) as u64;
            }
        }
        let cost = &mut self.callers[request.root_caller].cost;
        cost.starts += 1;
        cost.hedged_starts += usize::from(request.running_attempts > 0);
        request.running_attempts += 1;
        let run = Run {
            req,
            deadline,
            pending_calls: 0,
            remaining_calls: 0,
            calls: Vec::new(),
            started_at: self.now,
        };
        node.upstream.runs.insert(id, run);
        if self.crashes_on_start(vm) {
            return;
        }
        self.schedule(self.now + work_us, ScheduledEvent::WorkDone { vm, id });
        self.schedule(deadline, ScheduledEvent::TimedOut { vm, id });
    }

    /// Records a start at an upstream; returns whether the upstream crashes because of it.
    fn crashes_on_start(&mut self, vm: usize) -> bool {
        let node = &mut self.nodes[vm];
        let starts = node.upstream.record_start(self.now);
        let Some(cold) = self.site.services[self.site.vms[vm].service].cold else {
            return false;
        };
        let is_cold = node.upstream.remaining_cold_us(self.now, &self.site.speed) > 0;
        if !is_cold || starts <= cold.crash_threshold {
            return false;
        }
        let up_at = self.now + cold.downtime_us;
        let lost = node.upstream.crash(up_at);
        let actions = node.home.start_drain(self.now);
        self.overload_crashes.push(self.now);
        self.site.vms[vm].up_at = up_at;
        self.schedule(up_at, ScheduledEvent::UpstreamUp { vm });
        self.apply_actions(vm, actions);
        for id in lost {
            self.end_run(vm, id, Verdict::Broken);
        }
        true
    }

    /// An upstream is back after a crash.
    pub(super) fn on_upstream_up(&mut self, vm: usize) {
        let node = &mut self.nodes[vm];
        let slots = self.site.services[self.site.vms[vm].service].slots;
        node.home.end_drain();
        let actions = node
            .home
            .upstream_replaced(self.now, slots, PriorStarts::None);
        self.apply_actions(vm, actions);
    }

    fn report_end(&mut self, vm: usize, id: AttemptId, event: Event<bool>) {
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
