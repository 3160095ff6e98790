//! Handling of each message by the simulated nodes, in the same order as in the daemon's coordinator.

use super::DEADLINE_US;
use super::{
    hash, index_of, name, ActiveKey, Body, Key, Message, OfferReply, Outcome, Request, World,
};
use keys::{
    combine_replies, ClaimReply, CoordinatorView, KeyAction, KeyHash, KeyOutcome, KEY_RETENTION_US,
    MAX_KEY_DEADLINE_US,
};
use names::{AttemptId, BootId, Moment, Name};

impl World {
    pub(super) fn handle(&mut self, index: usize, message: Message, busy: bool) {
        let Message {
            from,
            to,
            sent,
            body,
        } = message;
        let expired = self.now.since(sent) > DEADLINE_US;
        match body {
            Body::Relay { request } if expired => self.report(request, Outcome::Unknown),
            Body::Relay { request } => self.on_relay(index, request, sent),
            Body::Claim { key } => {
                let reply = self.grant(index, key, from);
                let vm = self.nodes[index].vm;
                self.send(
                    to,
                    from,
                    Body::Claimed {
                        key,
                        from: vm,
                        reply,
                    },
                );
            }
            Body::Claimed { key, from, reply } => self.on_claim_reply(index, key, from, reply),
            Body::Offer { key, id } => {
                let reply = self.on_offer(index, key, id, busy || expired);
                let vm = self.nodes[index].vm;
                self.send(
                    to,
                    from,
                    Body::Offered {
                        key,
                        from: vm,
                        reply,
                    },
                );
            }
            Body::Offered { key, from, reply } => self.on_offer_reply(index, key, from, reply),
            Body::Release { key } => self.nodes[index].claims.release(hash(key), from),
            Body::Recover => self.on_recovery_query(index, from),
            Body::Recovered { from, keys: known } => self.on_recovery_reply(index, from, known),
        }
    }

    /// The sender's handling of a message without a reply.
    pub(super) fn fail_delivery(&mut self, message: Message) {
        let sender = self.nodes.iter().position(|node| node.boot == message.from);
        match message.body {
            Body::Relay { request } => self.report(request, Outcome::Unknown),
            Body::Claim { key } => {
                if let (Some(sender), Some(vm)) = (sender, self.vm_of(message.to)) {
                    self.on_claim_reply(sender, key, vm, ClaimReply::Uncertain);
                }
            }
            Body::Offer { key, .. } => {
                if let Some(sender) = sender {
                    self.end(sender, key, Outcome::Unknown);
                }
            }
            Body::Recover => {
                if let Some(sender) = sender {
                    self.nodes[sender].recovering = None;
                }
            }
            Body::Claimed { .. }
            | Body::Offered { .. }
            | Body::Release { .. }
            | Body::Recovered { .. } => {}
        }
    }

    fn vm_of(&self, boot: BootId) -> Option<usize> {
        self.vm_of_boot.get(&boot).copied()
    }

    fn name_of(&self, boot: BootId) -> Name {
        name(self.vm_of_boot[&boot])
    }

    fn on_relay(&mut self, index: usize, request: usize, sent: Moment) {
        let key = self.requests[request].key;
        let view = self.coordinator_view(index, key);
        let now = self.now;
        let node = &mut self.nodes[index];
        match node.table.begin(now, hash(key), sent, view.must_claim()) {
            KeyAction::Join => {
                let active = node
                    .active_keys
                    .get_mut(&key)
                    .expect("a running key is active");
                active.requests.push(request);
            }
            KeyAction::Replay(answer) => {
                assert_eq!(answer, key, "answer of another key");
                self.report(request, Outcome::Answered);
            }
            KeyAction::Unknown | KeyAction::Full => self.report(request, Outcome::Unknown),
            KeyAction::Run => {
                self.activate_key(index, key, request, &view, false);
                self.offer_next(index, key);
            }
            KeyAction::Claim => {
                self.activate_key(index, key, request, &view, true);
                self.claim_all(index, key, &view);
            }
        }
    }

    fn on_recovery_query(&mut self, index: usize, from: BootId) {
        let now = self.now;
        let Some(vm) = self.vm_of(from) else {
            return;
        };
        let node = &mut self.nodes[index];
        let latest = node.claims.register_boot(&name(vm), from);
        let mut keys: Vec<KeyHash> = node.table.known_keys().collect();
        keys.extend(node.claims.known_keys());
        let uncertain_us = node.claims.uncertain_for_us(now);
        let is_certain = latest && uncertain_us <= KEY_RETENTION_US;
        let body = Body::Recovered {
            from: node.vm,
            keys: is_certain.then_some((keys, uncertain_us)),
        };
        let boot = node.boot;
        self.send(boot, from, body);
    }

    fn on_recovery_reply(&mut self, index: usize, from: usize, known: Option<(Vec<KeyHash>, u64)>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let (Some((awaited, learned, until)), Some((keys, uncertain_us))) =
            (&mut node.recovering, known)
        else {
            node.recovering = None;
            return;
        };
        awaited.retain(|vm| *vm != from);
        learned.extend(keys);
        *until = (*until).max(now + uncertain_us);
        if !awaited.is_empty() {
            return;
        }
        node.table.adopt_keys(now, learned);
        node.claims.adopt_keys(now, learned);
        node.uncertain_until = node.uncertain_until.min(*until);
        node.recovering = None;
        if !node.resumed {
            node.claims.clear_uncertainty();
            node.claims.set_uncertain_until(node.uncertain_until);
        }
    }

    fn activate_key(
        &mut self,
        index: usize,
        key: Key,
        request: usize,
        view: &CoordinatorView,
        claimed: bool,
    ) {
        let mut candidates: Vec<usize> = view
            .members
            .iter()
            .filter(|vm| view.may_run_at(vm))
            .map(index_of)
            .collect();
        let turn = self.nodes[index].boot.0 as usize % candidates.len().max(1);
        candidates.rotate_left(turn);
        let active = ActiveKey {
            started: self.now,
            claimed,
            awaited: Vec::new(),
            replies: Vec::new(),
            candidates,
            contacted: false,
            requests: vec![request],
        };
        self.nodes[index].active_keys.insert(key, active);
    }

    fn claim_all(&mut self, index: usize, key: Key, view: &CoordinatorView) {
        let targets: Vec<usize> = view.claim_targets().map(index_of).collect();
        let (own_vm, boot) = (self.nodes[index].vm, self.nodes[index].boot);
        let active = self.nodes[index]
            .active_keys
            .get_mut(&key)
            .expect("activated before");
        active.awaited = targets.clone();
        for vm in targets {
            if vm == own_vm {
                let reply = self.grant(index, key, boot);
                self.on_claim_reply(index, key, vm, reply);
            } else {
                let to = self.latest(vm).boot;
                self.send(boot, to, Body::Claim { key });
            }
        }
    }

    fn grant(&mut self, index: usize, key: Key, by: BootId) -> ClaimReply<Key> {
        let now = self.now;
        let vm = self.name_of(by);
        let node = &mut self.nodes[index];
        let (reply, ran) = node.claims.claim(now, hash(key), &vm, by);
        match reply {
            ClaimReply::Granted => ClaimReply::Granted,
            ClaimReply::Held => ClaimReply::Held,
            ClaimReply::Uncertain => ClaimReply::Uncertain,
            ClaimReply::Ran | ClaimReply::Answered(()) => ran
                .and_then(|id| node.ran_attempts.get(&id).copied())
                .map_or(ClaimReply::Ran, ClaimReply::Answered),
        }
    }

    fn on_claim_reply(&mut self, index: usize, key: Key, from: usize, reply: ClaimReply<Key>) {
        let Some(active) = self.nodes[index].active_keys.get_mut(&key) else {
            return;
        };
        let Some(position) = active.awaited.iter().position(|vm| *vm == from) else {
            return;
        };
        active.awaited.remove(position);
        active.replies.push(reply);
        if !active.awaited.is_empty() {
            return;
        }
        match combine_replies(active.replies.drain(..)) {
            ClaimReply::Granted => self.offer_next(index, key),
            ClaimReply::Answered(answer) => {
                assert_eq!(answer, key, "answer of another key");
                self.release(index, key);
                self.end(index, key, Outcome::Answered);
            }
            _ => {
                self.release(index, key);
                self.end(index, key, Outcome::Unknown);
            }
        }
    }

    fn offer_next(&mut self, index: usize, key: Key) {
        let node = &mut self.nodes[index];
        let active = node.active_keys.get_mut(&key).expect("the key is active");
        let (claimed, contacted) = (active.claimed, active.contacted);
        let Some(vm) = active.candidates.pop() else {
            let outcome = if contacted {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            };
            if claimed && contacted {
                let due = self.now + MAX_KEY_DEADLINE_US;
                let boot = self.nodes[index].boot;
                self.releases.push((due, boot, key));
            }
            self.end(index, key, outcome);
            return;
        };
        let id = AttemptId {
            boot: node.boot,
            seq: node.next_seq,
        };
        node.next_seq += 1;
        let from = node.boot;
        let to = self.latest(vm).boot;
        self.send(from, to, Body::Offer { key, id });
    }

    fn on_offer(&mut self, index: usize, key: Key, id: AttemptId, busy: bool) -> OfferReply {
        let now = self.now;
        let vm = self.name_of(id.boot);
        let node = &mut self.nodes[index];
        match node.claims.claim(now, hash(key), &vm, id.boot).0 {
            ClaimReply::Granted if busy => OfferReply::Busy,
            ClaimReply::Granted => {
                node.claims.attempt_started(hash(key), id);
                node.ran_attempts.insert(id, key);
                self.record_run(key);
                OfferReply::Ran
            }
            ClaimReply::Uncertain => OfferReply::Uncertain,
            _ => OfferReply::KeyUsed,
        }
    }

    /// Asserts that the key runs only while a request with it was not reported as not run.
    fn record_run(&mut self, key: Key) {
        *self.run_counts.entry(key).or_insert(0) += 1;
        assert!(
            !self.not_run_keys.contains(&key),
            "key {key} ran after its last request was reported as not run"
        );
        let wanted = self
            .requests
            .iter()
            .any(|request| request.key == key && request.reported != Some(Outcome::NotRun));
        assert!(
            wanted,
            "key {key} ran after every request was reported as not run"
        );
    }

    fn on_offer_reply(&mut self, index: usize, key: Key, _from: usize, reply: OfferReply) {
        let Some(active) = self.nodes[index].active_keys.get_mut(&key) else {
            return;
        };
        match reply {
            OfferReply::Ran => self.end(index, key, Outcome::Answered),
            OfferReply::KeyUsed => self.end(index, key, Outcome::Unknown),
            OfferReply::Busy => {
                active.contacted = true;
                self.offer_next(index, key);
            }
            OfferReply::Uncertain => self.offer_next(index, key),
        }
    }

    pub(super) fn release(&mut self, index: usize, key: Key) {
        let (own_vm, boot) = (self.nodes[index].vm, self.nodes[index].boot);
        for vm in 0..self.vms {
            if vm == own_vm {
                self.nodes[index].claims.release(hash(key), boot);
            } else {
                let to = self.latest(vm).boot;
                self.send(boot, to, Body::Release { key });
            }
        }
    }

    pub(super) fn end(&mut self, index: usize, key: Key, outcome: Outcome) {
        let now = self.now;
        let Some(active) = self.nodes[index].active_keys.remove(&key) else {
            return;
        };
        let end = match outcome {
            Outcome::Answered => KeyOutcome::Answered(key),
            Outcome::NotRun => KeyOutcome::NotRun,
            Outcome::Unknown => KeyOutcome::Unknown,
        };
        self.nodes[index].table.end(now, hash(key), end);
        for request in active.requests {
            self.report(request, outcome);
        }
    }

    fn report(&mut self, request: usize, outcome: Outcome) {
        let key = self.requests[request].key;
        let runs = self.run_counts.get(&key).copied().unwrap_or(0);
        match outcome {
            Outcome::NotRun => assert_eq!(runs, 0, "key {key} ran and was reported as not run"),
            Outcome::Answered => assert_eq!(runs, 1, "key {key} was answered and did not run"),
            Outcome::Unknown => {}
        }
        if self.requests[request].reported.is_some() {
            return;
        }
        self.requests[request].reported = Some(outcome);
        let open = |request: &Request| request.key == key && request.reported.is_none();
        let latest = self.requests.iter().rposition(|other| other.key == key);
        if outcome == Outcome::NotRun && latest == Some(request) && !self.requests.iter().any(open)
        {
            self.not_run_keys.insert(key);
        }
    }
}
