//! The coordinator of an idempotency key. It makes the attempts, and first claims the key when
//! another node may have coordinated it.

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

/// Timeout for another node's reply to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval of checks for a revision that the sender of a relay has already.
const REVISION_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of these checks.
const MAX_REVISION_CHECKS: u32 = 25;
/// Maximum number of upstreams that receive a request with a key, including those that reject it
/// without running it.
const MAX_ARRIVALS: u32 = 2;

/// Coordinates the key of one request and returns the request's outcome.
pub async fn coordinate(node: &Rc<Node>, relay: Relay) -> RelayOutcome {
    let received_at = node.now();
    let deadline = received_at + relay.remaining_us;
    let Some(in_force) = await_revision(node, relay.revision).await else {
        return RelayOutcome::Unknown(Reason::NotCoordinator);
    };
    let Some(ranking) = ranking(&in_force, &relay.req.service, &relay.key) else {
        return RelayOutcome::Unknown(Reason::NotCoordinator);
    };
    if node.was_paused() {
        boot_record::on_pause(node);
    }
    let view = CoordinatorView {
        own_vm: node.cfg.vm.clone(),
        members: node.members_within_window(&relay.req.service, &ranking),
        ranking,
        is_uncertain: node.claims.borrow().is_uncertain(node.now()),
    };
    let request = KeyedRequest {
        node,
        in_force: &in_force,
        key: KeyHash::new(&relay.req.service, &relay.key),
        view,
        received_at,
        deadline,
        relay,
    };
    request.run().await
}

/// Waits until the revision in force is at least `revision`: the sender may have received it
/// slightly earlier.
async fn await_revision(node: &Rc<Node>, revision: u64) -> Option<Arc<InForce>> {
    for _ in 0..MAX_REVISION_CHECKS {
        if let Some(in_force) = node.in_force() {
            if in_force.configuration.head.revision >= revision {
                return Some(in_force);
            }
        }
        task::sleep(REVISION_CHECK_INTERVAL).await;
    }
    None
}

/// Records the groups of services that another revision has changed: their keys may have other
/// coordinators now.
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
            groups.retain(|(replaced_at, _)| now.since(*replaced_at) <= KEY_RETENTION_US);
            groups.push((now, old.to_vec()));
        }
    }
}

/// Handles the claim of another coordinator for a key.
pub fn on_claim(node: &Rc<Node>, from: &Name, id: AttemptId, key: KeyHash, reply: &Reply) {
    let result = grant(node, key, from, id.boot);
    reply.send(node, Frame::Claimed { id, reply: result });
}

/// Handles another node's reply to a claim.
pub fn on_claim_reply(node: &Rc<Node>, id: AttemptId, reply: ClaimReply<SharedAnswer>) {
    if let Some((tx, _)) = node.claim_waiters.borrow().get(&id) {
        tx.try_send(reply).ok();
    }
}

/// Grants a key to the node on `vm`, or replies why it is not granted.
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

/// The order in which the nodes of a service's group coordinate a key.
fn ranking(in_force: &InForce, service: &Name, key: &str) -> Option<Vec<Name>> {
    let declared = in_force.declarations.services.get(service)?;
    Some(ranked(
        service,
        key,
        in_force.declarations.upstreams(declared),
    ))
}

/// Releases the key at the nodes that have granted it.
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

/// A request with an idempotency key that this node coordinates.
struct KeyedRequest<'a> {
    node: &'a Rc<Node>,
    in_force: &'a InForce,
    key: KeyHash,
    view: CoordinatorView,
    received_at: Moment,
    deadline: Moment,
    relay: Relay,
}

impl KeyedRequest<'_> {
    async fn run(self) -> RelayOutcome {
        let node = self.node;
        let now = node.now();
        let must_claim = self.view.must_claim();
        let sent_at = self.received_at - self.relay.waited_us;
        let action = node
            .keys
            .borrow_mut()
            .begin(now, self.key, sent_at, must_claim);
        match action {
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

    /// Claims the key from every node that may have run it. This node has the key when all grant it.
    async fn claim_all(&self) -> ClaimReply<SharedAnswer> {
        let claims = self.view.claim_targets().map(|vm| self.claim_one(vm));
        let reply = combine_replies(join_all(claims).await);
        if reply != ClaimReply::Granted {
            release(self.node, self.key, &self.view.members);
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

    /// Runs the request as the first one with its key.
    async fn run_first(self, claimed: bool) -> RelayOutcome {
        let node = self.node;
        let treatment = Treatment {
            repeatable: false,
            priority: self.relay.priority,
            max_runs: 1,
            max_arrivals: MAX_ARRIVALS,
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
            longest_us: node.entry.borrow().longest_us(&self.relay.req.service),
            price: Price::of(self.relay.priority, 0, true),
        };
        let result = run_call(node, plan, pending()).await;
        let outcome = outcome(result);
        let outcome = self.end(outcome);
        if claimed && matches!(outcome, RelayOutcome::NotRun(_)) {
            self.release_later();
        }
        outcome
    }

    /// The first node in the ranking may have an earlier try with this key in its buffers. The key
    /// stays claimed until the deadline of that try has passed, so that "not run" remains true.
    fn release_later(&self) {
        let node = self.node.clone();
        let key = self.key;
        let members = self.view.members.clone();
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
            .filter(|candidate| self.view.may_run_at(&candidate.vm))
            .collect()
    }

    /// Records the outcome of the key's run and sends it to the requests that wait for it.
    fn end(&self, outcome: RelayOutcome) -> RelayOutcome {
        let node = self.node;
        let key_outcome = match &outcome {
            RelayOutcome::Answered(answer) => KeyOutcome::Answered(answer.clone()),
            RelayOutcome::NotRun(_) => KeyOutcome::NotRun,
            RelayOutcome::Unknown(_) => KeyOutcome::Unknown,
        };
        let now = node.now();
        node.keys.borrow_mut().end(now, self.key, key_outcome);
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

/// "Not run" holds for a key only if a node that remembers the key's runs has reported it.
fn outcome(result: CallResult) -> RelayOutcome {
    match result.outcome {
        Some(Outcome::Answered(answer)) => RelayOutcome::Answered(answer),
        Some(Outcome::NotRun(refusal)) if result.has_certain_refusal => {
            RelayOutcome::NotRun(refusal)
        }
        Some(Outcome::NotRun(refusal)) => RelayOutcome::Unknown(refusal.reason),
        Some(Outcome::Unknown(reason)) => RelayOutcome::Unknown(reason),
        None => RelayOutcome::Unknown(Reason::Lost),
    }
}
