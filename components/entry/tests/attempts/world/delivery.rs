//! Handling of messages and actions by the nodes of the world.

use super::{index, vm, Body, CallId, Message, World, DEADLINE_US, LEVELS};
use entry::{Action, Event, HedgeDecision};
use home::{Offer, QueryReply};
use names::AttemptId;

impl World {
    pub(super) fn receive(&mut self, message: Message) {
        let Message {
            entry,
            home,
            link,
            body,
        } = message;
        match body {
            Body::Offer(_) | Body::Query(..) | Body::Cancel(_) if self.homes[home].paused => {
                // A paused process reads the message later.
                self.in_transit.push(Message {
                    entry,
                    home,
                    link,
                    body,
                });
            }
            Body::Offer(offer) => {
                let node = &mut self.homes[home];
                node.reply_links.entry(offer.id).or_insert((entry, link));
                let actions = node.duty.offer(self.now, &offer);
                self.perform_home_actions(home, actions);
            }
            Body::Query(id, boot) => {
                let node = &mut self.homes[home];
                let reply = node.duty.query(self.now, id, boot);
                node.reply_links.insert(id, (entry, link));
                if reply == QueryReply::Revoked && self.oracle.shed.contains(&id) {
                    self.oracle.shed_reported_as_revoked += 1;
                }
                self.reply(home, Body::QueryReply(id, reply));
            }
            Body::Cancel(id) => {
                if !self.homes[home].duty.cancel(self.now, id) && self.knows_attempt(home, id) {
                    self.cancelled.insert((home, self.homes[home].boot, id));
                }
            }
            reply => self.receive_reply(entry, home, link, reply),
        }
    }

    fn knows_attempt(&self, home: usize, id: AttemptId) -> bool {
        self.homes[home].reply_links.contains_key(&id)
    }

    fn receive_reply(&mut self, entry: usize, home: usize, link: u64, reply: Body) {
        if self.links.get(&(entry, home)) != Some(&link) {
            return;
        }
        let (id, event) = match reply {
            Body::Refused(id, refusal) => (id, Event::Refused(id, refusal)),
            Body::Revoked(id) => (id, Event::Revoked(id)),
            Body::Answered(id, answer, error) => (id, Event::Answered { id, answer, error }),
            Body::Broken(id) => (id, Event::Broken(id)),
            Body::Terminated(id) => {
                let order = (0..self.homes.len()).map(vm).collect();
                (id, Event::UpstreamTerminated { id, order })
            }
            Body::QueryReply(id, reply) => (id, Event::QueryReplied(id, reply)),
            Body::Straggles(id) => (id, Event::Straggles(id)),
            other => panic!("{other:?} is not a reply"),
        };
        let attempt = self.entries[entry].attempts.get(&id).copied();
        if let Some((call, _, _)) = attempt {
            self.step_call(entry, call, event);
        }
    }

    pub(super) fn perform_home_actions(&mut self, home: usize, actions: Vec<home::Action>) {
        for action in actions {
            match action {
                home::Action::Start(id) => {
                    assert!(
                        !self.homes[home].draining,
                        "a draining upstream was given new work"
                    );
                    let attempt = (home, self.homes[home].boot, id);
                    assert!(
                        !self.cancelled.contains(&attempt),
                        "attempt {id} was started after it was cancelled"
                    );
                    let call = self.call_by_attempt[&id];
                    *self.oracle.runs.entry(call).or_insert(0) += 1;
                    *self.oracle.arrivals.entry(call).or_insert(0) += 1;
                    self.homes[home].running.push(id);
                }
                home::Action::Refuse(id, refusal) => self.reply(home, Body::Refused(id, refusal)),
                home::Action::Revoke(id) => self.reply(home, Body::Revoked(id)),
                home::Action::Probe => self.homes[home].is_probing = true,
                home::Action::Straggles(id) => self.reply(home, Body::Straggles(id)),
            }
        }
    }

    pub(super) fn step_call(&mut self, entry: usize, id: CallId, event: Event<CallId>) {
        let now = self.now;
        let node = &mut self.entries[entry];
        let Some(call) = node.calls.get_mut(&id) else {
            return;
        };
        let is_straggler = matches!(event, Event::Straggles(_));
        let ended = match &event {
            Event::UpstreamTerminated { id, .. } => node.attempts.get(id).map(|(_, home, _)| *home),
            _ => None,
        };
        let late = call.late_events();
        let actions = call.step(now, event, &mut node.duty);
        if let Some(home) = ended.filter(|_| call.late_events() == late) {
            self.oracle.terminated.insert((id, home));
        }
        let offers = |action: &Action<CallId>| matches!(action, Action::Offer { .. });
        let hedged = call.take_hedge().map(|hedge| hedge.decision);
        assert!(
            !is_straggler || actions.iter().any(offers) == (hedged == Some(HedgeDecision::Made)),
            "a hedged attempt was made but not reported, or reported but not made"
        );
        if hedged == Some(HedgeDecision::Made) {
            assert!(
                !self.oracle.non_repeatable.contains(&id),
                "call {id} may not be repeated and got a hedged attempt"
            );
            self.oracle.hedges += 1;
        }
        self.oracle.won_by_hedge += u32::from(hedged == Some(HedgeDecision::WonByHedge));
        for action in actions {
            self.perform_entry_action(entry, id, action);
        }
    }

    fn perform_entry_action(&mut self, entry: usize, call: CallId, action: Action<CallId>) {
        match action {
            Action::Offer {
                id,
                to,
                may_queue,
                repeat,
                suspicion,
            } => {
                let home = index(&to);
                assert!(
                    !self.oracle.terminated.contains(&(call, home)),
                    "call {call} was offered again to an upstream that terminated while running it"
                );
                let boot = self.homes[home].boot;
                self.call_by_attempt.insert(id, call);
                self.entries[entry].attempts.insert(id, (call, home, boot));
                let offer = Offer {
                    id,
                    service: "s".into(),
                    remaining_us: DEADLINE_US,
                    objective_us: None,
                    priority: 1,
                    level: (call % u64::from(LEVELS)) as u32,
                    repeatable: !self.oracle.non_repeatable.contains(&call),
                    may_queue,
                    repeat,
                    suspicion,
                    returned: false,
                    // Also set for requests that may not be repeated: the home duty must not report
                    // these.
                    report_straggler: true,
                    known_limit: None,
                    account: None,
                };
                self.send(entry, home, Body::Offer(offer));
            }
            Action::Query { id, to } => {
                let (_, _, boot) = self.entries[entry].attempts[&id];
                self.send(entry, index(&to), Body::Query(id, boot));
            }
            Action::Cancel { id, to } => self.send(entry, index(&to), Body::Cancel(id)),
            Action::Finish(outcome) => {
                let before = self.oracle.outcomes.insert(call, outcome);
                assert!(before.is_none(), "call {call} got two outcomes");
            }
        }
    }
}
