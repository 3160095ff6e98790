//! Relaying requests with an idempotency key to the key's coordinator.

use crate::coordinator;
use crate::links::{self, Reply};
use crate::local;
use crate::node::Node;
use audit::stats;
use home::Reason;
use keys::ranked;
use names::{AttemptId, Moment, Name};
use rollout::InForce;
use shutdown::need_us;
use std::rc::Rc;
use std::sync::Arc;
use wire::{Frame, RelayOutcome, Request};

/// Maximum number of nodes of a key's ranking that are tried, one after another.
const MAX_COORDINATORS: usize = 3;

/// A request relayed to its key's coordinator.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Time left until the caller's deadline, in microseconds.
    pub remaining_us: u64,
    /// Time since the request was read, in microseconds.
    pub waited_us: u64,
    pub key: String,
    /// Priority assigned by the policy.
    pub priority: u8,
    /// Revision of the declarations by which the coordinator was chosen.
    pub revision: u64,
    pub req: Arc<Request>,
}

/// Result of a relay to one node.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayResult {
    /// The node returned the outcome of the request.
    Outcome(RelayOutcome),
    /// No byte of the relay left this node.
    NotSent,
    /// The connection broke, or the node did not answer.
    Lost,
}

/// Relays a request to its key's coordinator and returns the outcome. If a coordinator can't be
/// reached or is lost, the next node in the ranking takes over; it finds out from the
/// other nodes whether a request with the key ran.
pub async fn run(
    node: &Rc<Node>,
    in_force: &InForce,
    mut relay: Relay,
    deadline: Moment,
) -> RelayOutcome {
    let mut reason = Reason::NoUpstream;
    for coordinator in ranking(in_force, &relay) {
        let work_deadline = node.entry.borrow().work_deadline(deadline);
        relay.remaining_us = work_deadline.since(node.now());
        let result = if coordinator == node.cfg.vm {
            RelayResult::Outcome(coordinator::coordinate(node, relay.clone()).await)
        } else {
            relay_to(node, &coordinator, relay.clone(), deadline).await
        };
        match result {
            RelayResult::Outcome(outcome) => return qualify(outcome, reason),
            RelayResult::NotSent if reason == Reason::Lost => {}
            RelayResult::NotSent => reason = Reason::Unreachable,
            RelayResult::Lost => reason = Reason::Lost,
        }
        if node.now() >= deadline {
            break;
        }
    }
    // It is unknown whether an earlier request with the same key ran, so the outcome is never
    // `NotRun`.
    RelayOutcome::Unknown(reason)
}

/// Turns `NotRun` into `Unknown` if a coordinator was lost before: it may still be processing the
/// request, and the next coordinator's `NotRun` holds only for itself.
fn qualify(outcome: RelayOutcome, reason: Reason) -> RelayOutcome {
    match outcome {
        RelayOutcome::NotRun(_) if reason == Reason::Lost => RelayOutcome::Unknown(reason),
        other => other,
    }
}

/// Handles a relay from another node.
pub fn on_relay(node: &Rc<Node>, id: AttemptId, relay: Relay, reply: Reply) {
    let node = node.clone();
    node.open_calls.set(node.open_calls.get() + 1);
    local::spawn(async move {
        let outcome = match ends_before_stop(&node, &relay) {
            true => coordinator::coordinate(&node, relay).await,
            false => RelayOutcome::Unknown(Reason::Leaving),
        };
        reply.send(&node, Frame::Relayed { id, outcome });
        node.open_calls.set(node.open_calls.get() - 1);
    });
}

/// Whether the request ends before a planned stop of this node does.
fn ends_before_stop(node: &Node, relay: &Relay) -> bool {
    let entry = node.entry.borrow();
    let longest_us = entry.longest_us(&relay.req.service);
    entry.may_offer(node.now(), need_us(longest_us, relay.remaining_us))
}

/// Handles the result of a relay.
pub fn on_relayed(node: &Rc<Node>, id: AttemptId, result: RelayResult) {
    let delivered = node
        .relays
        .borrow()
        .get(&id)
        .is_some_and(|(tx, _)| tx.try_send(result).is_ok());
    if !delivered {
        stats::late_event("relay");
    }
}

fn ranking(in_force: &InForce, relay: &Relay) -> Vec<Name> {
    let Some(service) = in_force.declarations.services.get(&relay.req.service) else {
        return Vec::new();
    };
    let upstreams = in_force.declarations.upstreams(service);
    let mut ranking = ranked(&service.name, &relay.key, upstreams);
    ranking.truncate(MAX_COORDINATORS);
    ranking
}

async fn relay_to(
    node: &Rc<Node>,
    coordinator: &Name,
    relay: Relay,
    deadline: Moment,
) -> RelayResult {
    let (tx, rx) = async_channel::bounded(1);
    let id = node.next_query_id();
    node.relays
        .borrow_mut()
        .insert(id, (tx, coordinator.clone()));
    let frame = Frame::Relay {
        id,
        remaining_us: relay.remaining_us,
        waited_us: relay.waited_us,
        key: relay.key,
        priority: relay.priority,
        revision: relay.revision,
        req: relay.req,
    };
    links::send(node, coordinator, &frame);
    let result = node.clock.timeout_at(deadline, rx.recv()).await;
    node.relays.borrow_mut().remove(&id);
    match result {
        Ok(Ok(result)) => result,
        _ => RelayResult::Outcome(RelayOutcome::Unknown(Reason::Deadline)),
    }
}
