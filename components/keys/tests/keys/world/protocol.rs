//! What the nodes of the world do with each message, in the order of the daemon's coordinator.

use super::DEADLINE_US;
use super::{hash, index_of, name, Body, Key, Message, OfferReply, Outcome, Request, Work, World};
use keys::{
    combine_replies, ClaimReply, CoordinatorView, KeyAction, KeyHash, KeyOutcome, KEY_RETENTION_US,
    MAX_KEY_DEADLINE_US,
};
use names::{AttemptId, BootId, Moment, Name};

impl World {
    pub(super) fn arrive(&mut self, index: usize, message: Message, busy: bool) {
        let Message {
            from,
            to,
            sent,
            body,
        } = message;
        let expired = self.now.since(sent) > DEADLINE_US;
        match body {
            Body::Relay { request } if expired => self.tell(request, Outcome::Unknown),
            Body::Relay { request } => self.relayed(index, request, sent),
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
            Body::Claimed { key, from, reply } => self.claimed(index, key, from, reply),
            Body::Offer { key, id } => {
                let reply = self.offered(index, key, id, busy || expired);
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
            Body::Offered { key, from, reply } => self.offer_ended(index, key, from, reply),
            Body::Release { key } => self.nodes[index].claims.release(hash(key), from),
            Body::Recover => self.asked_to_recover(index, from),
            Body::Recovered { from, keys: known } => self.recovered(index, from, known),
        }
    }

    /// What a sender makes of a message that was not answered.
    pub(super) fn bounce(&mut self, message: Message) {
        let sender = self.nodes.iter().position(|node| node.boot == message.from);
        match message.body {
            Body::Relay { request } => self.tell(request, Outcome::Unknown),
            Body::Claim { key } => {
                if let (Some(sender), Some(vm)) = (sender, self.vm_of(message.to)) {
                    self.claimed(sender, key, vm, ClaimReply::Uncertain);
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

    fn relayed(&mut self, index: usize, request: usize, sent: Moment) {
        let key = self.requests[request].key;
        let standing = self.standing(index, key);
        let now = self.now;
        let node = &mut self.nodes[index];
        match node
            .table
            .begin(now, hash(key), sent, standing.must_claim())
        {
            KeyAction::Join => {
                let work = node.works.get_mut(&key).expect("a running key has work");
                work.requests.push(request);
            }
            KeyAction::Replay(answer) => {
                assert_eq!(answer, key, "the answer of another key");
                self.tell(request, Outcome::Answered);
            }
            KeyAction::Unknown | KeyAction::Full => self.tell(request, Outcome::Unknown),
            KeyAction::Run => {
                self.start_work(index, key, request, &standing, false);
                self.offer_next(index, key);
            }
            KeyAction::Claim => {
                self.start_work(index, key, request, &standing, true);
                self.claim_all(index, key, &standing);
            }
        }
    }

    fn asked_to_recover(&mut self, index: usize, from: BootId) {
        let now = self.now;
        let Some(vm) = self.vm_of(from) else {
            return;
        };
        let node = &mut self.nodes[index];
        let latest = node.claims.register_boot(&name(vm), from);
        let mut keys: Vec<KeyHash> = node.table.known_keys().collect();
        keys.extend(node.claims.known_keys());
        let uncertain_us = node.claims.uncertain_for_us(now);
        let sure = latest && uncertain_us <= KEY_RETENTION_US;
        let body = Body::Recovered {
            from: node.vm,
            keys: sure.then_some((keys, uncertain_us)),
        };
        let boot = node.boot;
        self.send(boot, from, body);
    }

    fn recovered(&mut self, index: usize, from: usize, known: Option<(Vec<KeyHash>, u64)>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let (Some((waiting, learned, until)), Some((keys, uncertain_us))) =
            (&mut node.recovering, known)
        else {
            node.recovering = None;
            return;
        };
        waiting.retain(|vm| *vm != from);
        learned.extend(keys);
        *until = (*until).max(now + uncertain_us);
        if !waiting.is_empty() {
            return;
        }
        node.table.adopt_keys(now, learned);
        node.claims.adopt_keys(now, learned);
        node.unclean_until = node.unclean_until.min(*until);
        node.recovering = None;
        if !node.thawed {
            node.claims.clear_uncertainty();
            node.claims.set_uncertain_until(node.unclean_until);
        }
    }

    fn start_work(
        &mut self,
        index: usize,
        key: Key,
        request: usize,
        standing: &CoordinatorView,
        claimed: bool,
    ) {
        let mut candidates: Vec<usize> = standing
            .members
            .iter()
            .filter(|vm| standing.may_run_at(vm))
            .map(index_of)
            .collect();
        let turn = self.nodes[index].boot.0 as usize % candidates.len().max(1);
        candidates.rotate_left(turn);
        let work = Work {
            began: self.now,
            claimed,
            waiting: Vec::new(),
            replies: Vec::new(),
            candidates,
            contacted: false,
            requests: vec![request],
        };
        self.nodes[index].works.insert(key, work);
    }

    fn claim_all(&mut self, index: usize, key: Key, standing: &CoordinatorView) {
        let asked: Vec<usize> = standing.claim_targets().map(index_of).collect();
        let (me, boot) = (self.nodes[index].vm, self.nodes[index].boot);
        let work = self.nodes[index].works.get_mut(&key).expect("just made");
        work.waiting = asked.clone();
        for vm in asked {
            if vm == me {
                let reply = self.grant(index, key, boot);
                self.claimed(index, key, vm, reply);
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
                .and_then(|id| node.ran.get(&id).copied())
                .map_or(ClaimReply::Ran, ClaimReply::Answered),
        }
    }

    fn claimed(&mut self, index: usize, key: Key, from: usize, reply: ClaimReply<Key>) {
        let Some(work) = self.nodes[index].works.get_mut(&key) else {
            return;
        };
        let Some(position) = work.waiting.iter().position(|vm| *vm == from) else {
            return;
        };
        work.waiting.remove(position);
        work.replies.push(reply);
        if !work.waiting.is_empty() {
            return;
        }
        match combine_replies(work.replies.drain(..)) {
            ClaimReply::Granted => self.offer_next(index, key),
            ClaimReply::Answered(answer) => {
                assert_eq!(answer, key, "the answer of another key");
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
        let work = node.works.get_mut(&key).expect("it is being worked on");
        let (claimed, contacted) = (work.claimed, work.contacted);
        let Some(vm) = work.candidates.pop() else {
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

    fn offered(&mut self, index: usize, key: Key, id: AttemptId, busy: bool) -> OfferReply {
        let now = self.now;
        let vm = self.name_of(id.boot);
        let node = &mut self.nodes[index];
        match node.claims.claim(now, hash(key), &vm, id.boot).0 {
            ClaimReply::Granted if busy => OfferReply::Busy,
            ClaimReply::Granted => {
                node.claims.attempt_started(hash(key), id);
                node.ran.insert(id, key);
                self.ran(key);
                OfferReply::Ran
            }
            ClaimReply::Uncertain => OfferReply::Uncertain,
            _ => OfferReply::KeyUsed,
        }
    }

    /// A key may run only for a request that nobody was told was not run.
    fn ran(&mut self, key: Key) {
        *self.runs.entry(key).or_insert(0) += 1;
        assert!(
            !self.barred.contains(&key),
            "key {key} ran after its last request was told not-run"
        );
        let wanted = self
            .requests
            .iter()
            .any(|request| request.key == key && request.told != Some(Outcome::NotRun));
        assert!(wanted, "key {key} ran after every request was told not-run");
    }

    fn offer_ended(&mut self, index: usize, key: Key, _from: usize, reply: OfferReply) {
        let Some(work) = self.nodes[index].works.get_mut(&key) else {
            return;
        };
        match reply {
            OfferReply::Ran => self.end(index, key, Outcome::Answered),
            OfferReply::KeyUsed => self.end(index, key, Outcome::Unknown),
            OfferReply::Busy => {
                work.contacted = true;
                self.offer_next(index, key);
            }
            OfferReply::Uncertain => self.offer_next(index, key),
        }
    }

    pub(super) fn release(&mut self, index: usize, key: Key) {
        let (me, boot) = (self.nodes[index].vm, self.nodes[index].boot);
        for vm in 0..self.vms {
            if vm == me {
                self.nodes[index].claims.release(hash(key), boot);
            } else {
                let to = self.latest(vm).boot;
                self.send(boot, to, Body::Release { key });
            }
        }
    }

    pub(super) fn end(&mut self, index: usize, key: Key, outcome: Outcome) {
        let now = self.now;
        let Some(work) = self.nodes[index].works.remove(&key) else {
            return;
        };
        let end = match outcome {
            Outcome::Answered => KeyOutcome::Answered(key),
            Outcome::NotRun => KeyOutcome::NotRun,
            Outcome::Unknown => KeyOutcome::Unknown,
        };
        self.nodes[index].table.end(now, hash(key), end);
        for request in work.requests {
            self.tell(request, outcome);
        }
    }

    fn tell(&mut self, request: usize, outcome: Outcome) {
        let key = self.requests[request].key;
        let runs = self.runs.get(&key).copied().unwrap_or(0);
        match outcome {
            Outcome::NotRun => assert_eq!(runs, 0, "key {key} ran and was told not-run"),
            Outcome::Answered => assert_eq!(runs, 1, "key {key} was answered and did not run"),
            Outcome::Unknown => {}
        }
        if self.requests[request].told.is_some() {
            return;
        }
        self.requests[request].told = Some(outcome);
        let open = |request: &Request| request.key == key && request.told.is_none();
        let latest = self.requests.iter().rposition(|other| other.key == key);
        if outcome == Outcome::NotRun && latest == Some(request) && !self.requests.iter().any(open)
        {
            self.barred.insert(key);
        }
    }
}
