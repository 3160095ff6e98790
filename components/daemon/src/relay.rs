//! Requests that carry an idempotency key: the key's owner makes the attempts.

use crate::entry_driver::run_call;
use crate::links::{self, Reply};
use crate::node::{Node, Whole};
use crate::platform_watch;
use crate::stats;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use entry::{Outcome, Treatment};
use home::{Reason, Refusal};
use keys::{owner, Begin, End, KeyHash, KEY_WINDOW_US};
use names::{AttemptId, Moment, Name};
use rollout::InForce;
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use wire::{Frame, RelayOutcome, Request};

/// Told to callers when the owner can't take the request now, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A request on its way to its key's owner.
pub struct Relay {
    /// Time left until the caller's deadline, in microseconds.
    pub remaining_us: u64,
    /// The key.
    pub key: String,
    /// Priority from the policy.
    pub priority: u8,
    /// Revision by which the owner was chosen.
    pub revision: u64,
    /// The request.
    pub req: Arc<Request>,
}

/// Has the owner of the request's key carry it through, and returns the outcome.
pub async fn run(
    node: &Rc<Node>,
    in_force: &InForce,
    relay: Relay,
    deadline: Moment,
) -> RelayOutcome {
    let owner = match key_owner(in_force, &relay.req.service, &relay.key) {
        Some(owner) => owner,
        None => return refused(Reason::NoUpstream),
    };
    if owner == node.cfg.vm {
        return carry_through(node, relay).await;
    }
    let (tx, rx) = async_channel::bounded(1);
    let id = next_id(node);
    node.relays.borrow_mut().insert(id, (tx, owner.clone()));
    let frame = Frame::Relay {
        id,
        remaining_us: relay.remaining_us,
        key: relay.key,
        priority: relay.priority,
        revision: relay.revision,
        req: relay.req,
    };
    links::send(node, &owner, &frame);
    let outcome = timeout(node.clock.until(deadline), rx.recv()).await;
    node.relays.borrow_mut().remove(&id);
    match outcome {
        Ok(Ok(outcome)) => outcome,
        _ => RelayOutcome::Unknown(Reason::Deadline),
    }
}

/// Takes in a relay from another node.
pub fn take_in(node: &Rc<Node>, id: AttemptId, relay: Relay, reply: Reply) {
    let node = node.clone();
    node.open_calls.set(node.open_calls.get() + 1);
    task::spawn_local(async move {
        let outcome = carry_through(&node, relay).await;
        reply.send(&node, Frame::Relayed { id, outcome });
        node.open_calls.set(node.open_calls.get() - 1);
    });
}

/// Takes in the outcome of a relay.
pub fn relayed(node: &Rc<Node>, id: AttemptId, outcome: RelayOutcome) {
    let delivered = node
        .relays
        .borrow()
        .get(&id)
        .is_some_and(|(tx, _)| tx.try_send(outcome).is_ok());
    if !delivered {
        stats::late("relay");
    }
}

/// Notes which services' groups differ between two revisions, so that keys that moved to this
/// node are not taken for unused.
pub fn groups_changed(node: &Rc<Node>, before: Option<&InForce>, after: &InForce) {
    let Some(before) = before else {
        return;
    };
    let now = node.now();
    let mut moved = node.moved.borrow_mut();
    for service in before.declarations.services.values() {
        let old = before.declarations.upstreams(service);
        let new = after
            .declarations
            .services
            .get(&service.name)
            .map_or(&[][..], |service| after.declarations.upstreams(service));
        if old != new {
            moved.insert(service.name.clone(), (now, old.to_vec()));
        }
    }
}

/// The owner's side of one request.
async fn carry_through(node: &Rc<Node>, relay: Relay) -> RelayOutcome {
    let Some(in_force) = node.in_force() else {
        return refused(Reason::NoConfiguration);
    };
    let service_name = relay.req.service.clone();
    let owner = key_owner(&in_force, &service_name, &relay.key);
    let behind = in_force.configuration.head.revision < relay.revision;
    if behind || owner.as_ref() != Some(&node.cfg.vm) {
        return refused(Reason::NotOwner);
    }
    if node.was_paused() {
        platform_watch::paused(node);
    }
    let key = KeyHash::new(&service_name, &relay.key);
    let moved = has_moved(node, &service_name, &relay.key);
    let now = node.now();
    let begin = node.keys.borrow_mut().begin(now, key, moved);
    match begin {
        Begin::Run => run_first(node, &in_force, key, relay).await,
        Begin::Join => join(node, key, relay).await,
        Begin::Replay(answer) => RelayOutcome::Answered(answer),
        Begin::Unknown => RelayOutcome::Unknown(Reason::KeyUsed),
        Begin::Full => refused(Reason::Busy),
    }
}

async fn run_first(
    node: &Rc<Node>,
    in_force: &InForce,
    key: KeyHash,
    relay: Relay,
) -> RelayOutcome {
    let treatment = Treatment {
        repeatable: false,
        priority: relay.priority,
        attempts: 1,
    };
    let deadline = node.now() + relay.remaining_us;
    let service = &in_force.declarations.services[&relay.req.service];
    let outcome = run_call(
        node,
        in_force,
        service,
        treatment,
        relay.req,
        deadline,
        pending(),
    )
    .await;
    let outcome = match outcome {
        Some(outcome) => relay_outcome(outcome),
        None => RelayOutcome::Unknown(Reason::Lost),
    };
    let end = match &outcome {
        RelayOutcome::Answered(answer) => End::Answered(answer.clone()),
        RelayOutcome::NotRun(_) => End::NotRun,
        RelayOutcome::Unknown(_) => End::Unknown,
    };
    let now = node.now();
    node.keys.borrow_mut().end(now, key, end);
    let waiters = node.key_waiters.borrow_mut().remove(&key);
    for tx in waiters.unwrap_or_default() {
        tx.try_send(outcome.clone()).ok();
    }
    outcome
}

/// Waits for the run of the same key that is in progress.
async fn join(node: &Rc<Node>, key: KeyHash, relay: Relay) -> RelayOutcome {
    let (tx, rx): (Sender<RelayOutcome>, _) = async_channel::bounded(1);
    node.key_waiters
        .borrow_mut()
        .entry(key)
        .or_default()
        .push(tx);
    let left = std::time::Duration::from_micros(relay.remaining_us);
    match timeout(left, rx.recv()).await {
        Ok(Ok(outcome)) => outcome,
        _ => RelayOutcome::Unknown(Reason::Deadline),
    }
}

fn key_owner(in_force: &InForce, service: &Name, key: &str) -> Option<Name> {
    let declared = in_force.declarations.services.get(service)?;
    owner(service, key, in_force.declarations.upstreams(declared)).cloned()
}

/// Whether the key had another owner within the key window.
fn has_moved(node: &Rc<Node>, service: &Name, key: &str) -> bool {
    let moved = node.moved.borrow();
    let Some((at, before)) = moved.get(service) else {
        return false;
    };
    let recent = node.now().since(*at) <= KEY_WINDOW_US;
    recent && owner(service, key, before).is_some_and(|vm| *vm != node.cfg.vm)
}

fn relay_outcome(outcome: Outcome<Whole>) -> RelayOutcome {
    match outcome {
        Outcome::Answered(answer) => RelayOutcome::Answered(answer),
        Outcome::NotRun(refusal) => RelayOutcome::NotRun(refusal),
        Outcome::Unknown(reason) => RelayOutcome::Unknown(reason),
    }
}

fn next_id(node: &Rc<Node>) -> AttemptId {
    let seq = node.next_relay.get();
    node.next_relay.set(seq + 1);
    AttemptId {
        boot: node.boot,
        seq,
    }
}

fn refused(reason: Reason) -> RelayOutcome {
    RelayOutcome::NotRun(Refusal {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    })
}
