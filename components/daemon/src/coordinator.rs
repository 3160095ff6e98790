//! The coordinator of an idempotency key: makes the attempts, and claims the key first when
//! another node may have acted for it.

use crate::boot_record;
use crate::entry_driver::{run_call, CallPlan, CallResult};
use crate::links::{self, Reply};
use crate::local;
use crate::node::{Node, SharedAnswer};
use crate::relay::Relay;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use entry::{Candidate, Origin, Outcome, Price, Treatment};
use futures_util::future::join_all;
use home::Reason;
use keys::{
    combine_replies, ranked, ClaimReply, CoordinatorView, KeyAction, KeyHash, KeyOutcome,
    KEY_RETENTION_US, MAX_KEY_DEADLINE_US,
};
use names::{AttemptId, BootId, Moment, Name};
use rollout::InForce;
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wire::{Frame, RelayOutcome};

/// Longest wait for another node to grant a key.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two looks for a revision that another node has already, and their number.
const REVISION_LOOK: Duration = Duration::from_millis(20);
const REVISION_LOOKS: u32 = 25;
/// Upstreams that may see a request with a key, counting those that turned it away unrun.
const MOST_ARRIVALS: u32 = 2;

/// Carries one request through.
pub async fn coordinate(node: &Rc<Node>, relay: Relay) -> RelayOutcome {
    let received = node.now();
    let deadline = received + relay.remaining_us;
    let Some(in_force) = revision(node, relay.revision).await else {
        return RelayOutcome::Unknown(Reason::NotCoordinator);
    };
    let Some(ranking) = ranking(&in_force, &relay.req.service, &relay.key) else {
        return RelayOutcome::Unknown(Reason::NotCoordinator);
    };
    if node.was_paused() {
        boot_record::on_pause(node);
    }
    let standing = CoordinatorView {
        own_vm: node.cfg.vm.clone(),
        members: node.members_within_window(&relay.req.service, &ranking),
        ranking,
        is_uncertain: node.claims.borrow().is_uncertain(node.now()),
    };
    let work = Work {
        node,
        in_force: &in_force,
        key: KeyHash::new(&relay.req.service, &relay.key),
        standing,
        received,
        deadline,
        relay,
    };
    work.run().await
}

/// The revision in force, once it is at least `revision`: the sender may have it a little earlier.
async fn revision(node: &Rc<Node>, revision: u64) -> Option<Arc<InForce>> {
    for _ in 0..REVISION_LOOKS {
        if let Some(in_force) = node.in_force() {
            if in_force.configuration.head.revision >= revision {
                return Some(in_force);
            }
        }
        task::sleep(REVISION_LOOK).await;
    }
    None
}

/// Notes which services' groups differ between two revisions: their keys may have moved.
pub fn record_former_groups(node: &Rc<Node>, before: Option<&InForce>, after: &InForce) {
    let Some(before) = before else {
        return;
    };
    let now = node.now();
    let mut former_groups = node.former_groups.borrow_mut();
    for service in before.declarations.services.values() {
        let old = before.declarations.upstreams(service);
        let new = after
            .declarations
            .services
            .get(&service.name)
            .map_or(&[][..], |service| after.declarations.upstreams(service));
        if old != new {
            let groups = former_groups.entry(service.name.clone()).or_default();
            groups.retain(|(at, _)| now.since(*at) <= KEY_RETENTION_US);
            groups.push((now, old.to_vec()));
        }
    }
}

/// Another coordinator asks this node for a key.
pub fn on_claim(node: &Rc<Node>, from: &Name, id: AttemptId, key: KeyHash, reply: &Reply) {
    let granted = grant(node, key, from, id.boot);
    reply.send(node, Frame::Claimed { id, reply: granted });
}

/// Takes in another node's answer to a claim.
pub fn on_claim_reply(node: &Rc<Node>, id: AttemptId, reply: ClaimReply<SharedAnswer>) {
    if let Some((tx, _)) = node.claim_waiters.borrow().get(&id) {
        tx.try_send(reply).ok();
    }
}

fn grant(node: &Rc<Node>, key: KeyHash, vm: &Name, by: BootId) -> ClaimReply<SharedAnswer> {
    let now = node.now();
    if node.was_paused() {
        boot_record::on_pause(node);
    }
    let (reply, ran) = node.claims.borrow_mut().claim(now, key, vm, by);
    match reply {
        ClaimReply::Granted => ClaimReply::Granted,
        ClaimReply::Held => ClaimReply::Held,
        ClaimReply::Uncertain => ClaimReply::Uncertain,
        ClaimReply::Ran | ClaimReply::Answered(()) => {
            let home = node.home.borrow();
            let answer = home
                .as_ref()
                .zip(ran)
                .and_then(|(home, id)| home.answer(id));
            answer.map_or(ClaimReply::Ran, ClaimReply::Answered)
        }
    }
}

fn ranking(in_force: &InForce, service: &Name, key: &str) -> Option<Vec<Name>> {
    let declared = in_force.declarations.services.get(service)?;
    Some(ranked(
        service,
        key,
        in_force.declarations.upstreams(declared),
    ))
}

/// Gives the key back where it was granted.
fn release(node: &Rc<Node>, key: KeyHash, members: &[Name]) {
    let by = node.boot;
    for vm in members {
        if *vm == node.cfg.vm {
            node.claims.borrow_mut().release(key, by);
        } else {
            links::send(node, vm, &Frame::Release { by, key });
        }
    }
}

/// One request with its key.
struct Work<'a> {
    node: &'a Rc<Node>,
    in_force: &'a InForce,
    key: KeyHash,
    standing: CoordinatorView,
    received: Moment,
    deadline: Moment,
    relay: Relay,
}

impl Work<'_> {
    async fn run(self) -> RelayOutcome {
        let node = self.node;
        let now = node.now();
        let claim = self.standing.must_claim();
        let sent = self.received - self.relay.waited_us;
        let begin = node.keys.borrow_mut().begin(now, self.key, sent, claim);
        match begin {
            KeyAction::Run => self.run_first(false).await,
            KeyAction::Claim => match self.claim_all().await {
                ClaimReply::Granted => self.run_first(true).await,
                ClaimReply::Answered(answer) => self.end(RelayOutcome::Answered(answer)),
                _ => self.end(RelayOutcome::Unknown(Reason::KeyUsed)),
            },
            KeyAction::Join => self.join().await,
            KeyAction::Replay(answer) => RelayOutcome::Answered(answer),
            KeyAction::Unknown => RelayOutcome::Unknown(Reason::KeyUsed),
            KeyAction::Full => RelayOutcome::Unknown(Reason::Busy),
        }
    }

    /// Asks every node that may have run the key; the key is ours when all grant it.
    async fn claim_all(&self) -> ClaimReply<SharedAnswer> {
        let asked = self.standing.claim_targets().map(|vm| self.claim_one(vm));
        let reply = combine_replies(join_all(asked).await);
        if reply != ClaimReply::Granted {
            release(self.node, self.key, &self.standing.members);
        }
        reply
    }

    async fn claim_one(&self, vm: &Name) -> ClaimReply<SharedAnswer> {
        let node = self.node;
        if *vm == node.cfg.vm {
            return grant(node, self.key, vm, node.boot);
        }
        let (tx, rx) = async_channel::bounded(1);
        let id = node.next_query_id();
        node.claim_waiters.borrow_mut().insert(id, (tx, vm.clone()));
        links::send(node, vm, &Frame::Claim { id, key: self.key });
        let reply = timeout(CLAIM_TIMEOUT, rx.recv()).await;
        node.claim_waiters.borrow_mut().remove(&id);
        match reply {
            Ok(Ok(reply)) => reply,
            _ => ClaimReply::Uncertain,
        }
    }

    async fn run_first(self, claimed: bool) -> RelayOutcome {
        let node = self.node;
        let treatment = Treatment {
            repeatable: false,
            priority: self.relay.priority,
            max_runs: 1,
            max_arrivals: MOST_ARRIVALS,
            origin: Origin::Client,
        };
        let plan = CallPlan {
            caller_try: None,
            suspect_order: None,
            candidates: self.candidates(),
            reserve: Vec::new(),
            treatment,
            req: self.relay.req.clone(),
            key: Some(self.key),
            deadline: self.deadline,
            price: Price::of(self.relay.priority, 0, true),
        };
        let finished = run_call(node, plan, pending()).await;
        let outcome = outcome(finished);
        let outcome = self.end(outcome);
        if claimed && matches!(outcome, RelayOutcome::NotRun(_)) {
            self.release_later();
        }
        outcome
    }

    /// The first in the ranking may have an earlier try of this key in its buffers: the key stays
    /// claimed until that try's deadline has passed, so that "not run" remains true.
    fn release_later(&self) {
        let node = self.node.clone();
        let key = self.key;
        let members = self.standing.members.clone();
        local::spawn(async move {
            task::sleep(Duration::from_micros(MAX_KEY_DEADLINE_US)).await;
            if !node.keys.borrow().contains(key) {
                release(&node, key, &members);
            }
        });
    }

    fn candidates(&self) -> Vec<Candidate> {
        let service = &self.in_force.declarations.services[&self.relay.req.service];
        self.node
            .candidates(self.in_force, service)
            .into_iter()
            .filter(|candidate| self.standing.may_run_at(&candidate.vm))
            .collect()
    }

    /// Records the end of the key's run and tells whoever waits for it.
    fn end(&self, outcome: RelayOutcome) -> RelayOutcome {
        let node = self.node;
        let end = match &outcome {
            RelayOutcome::Answered(answer) => KeyOutcome::Answered(answer.clone()),
            RelayOutcome::NotRun(_) => KeyOutcome::NotRun,
            RelayOutcome::Unknown(_) => KeyOutcome::Unknown,
        };
        let now = node.now();
        node.keys.borrow_mut().end(now, self.key, end);
        let waiters = node.key_waiters.borrow_mut().remove(&self.key);
        for tx in waiters.unwrap_or_default() {
            tx.try_send(outcome.clone()).ok();
        }
        outcome
    }

    /// Waits for the run of the same key that is in progress.
    async fn join(&self) -> RelayOutcome {
        let (tx, rx): (Sender<RelayOutcome>, _) = async_channel::bounded(1);
        self.node
            .key_waiters
            .borrow_mut()
            .entry(self.key)
            .or_default()
            .push(tx);
        match self.node.clock.timeout_at(self.deadline, rx.recv()).await {
            Ok(Ok(outcome)) => outcome,
            _ => RelayOutcome::Unknown(Reason::Deadline),
        }
    }
}

/// "Not run" holds for a key only if a node that remembers the key's runs has said so.
fn outcome(finished: CallResult) -> RelayOutcome {
    match finished.outcome {
        Some(Outcome::Answered(answer)) => RelayOutcome::Answered(answer),
        Some(Outcome::NotRun(refusal)) if finished.has_certain_refusal => {
            RelayOutcome::NotRun(refusal)
        }
        Some(Outcome::NotRun(refusal)) => RelayOutcome::Unknown(refusal.reason),
        Some(Outcome::Unknown(reason)) => RelayOutcome::Unknown(reason),
        None => RelayOutcome::Unknown(Reason::Lost),
    }
}
