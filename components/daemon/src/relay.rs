//! Requests that carry an idempotency key, on the way to the key's coordinator.

use crate::coordinator;
use crate::links::{self, Reply};
use crate::local;
use crate::node::Node;
use audit::stats;
use home::Reason;
use keys::ranked;
use names::{AttemptId, Moment, Name};
use rollout::InForce;
use std::rc::Rc;
use std::sync::Arc;
use wire::{Frame, RelayOutcome, Request};

/// Nodes of a key's ranking that are tried, one after another.
const MOST_COORDINATORS: usize = 3;

/// A request on its way to its key's coordinator.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Time left until the caller's deadline, in microseconds.
    pub remaining_us: u64,
    /// How long the request has waited since it was read, in microseconds.
    pub waited_us: u64,
    /// The key.
    pub key: String,
    /// Priority from the policy.
    pub priority: u8,
    /// Revision by which the coordinator was chosen.
    pub revision: u64,
    /// The request.
    pub req: Arc<Request>,
}

/// How a relay to one node ended.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayResult {
    /// The node gave the outcome.
    Outcome(RelayOutcome),
    /// No byte of the relay left this node.
    NotSent,
    /// The connection broke, or the node does not answer.
    Lost,
}

/// Has the key's coordinator carry the request through, and returns the outcome. When a
/// coordinator can't be reached or is lost, the next in the ranking takes over: it finds out from
/// the other nodes whether the key ran.
pub async fn run(
    node: &Rc<Node>,
    in_force: &InForce,
    mut relay: Relay,
    deadline: Moment,
) -> RelayOutcome {
    let mut reason = Reason::NoUpstream;
    for coordinator in ranking(in_force, &relay) {
        relay.remaining_us = deadline.since(node.now());
        let relayed = if coordinator == node.cfg.vm {
            RelayResult::Outcome(coordinator::coordinate(node, relay.clone()).await)
        } else {
            ask(node, &coordinator, relay.clone(), deadline).await
        };
        match relayed {
            RelayResult::Outcome(outcome) => return settle(outcome, reason),
            RelayResult::NotSent if reason == Reason::Lost => {}
            RelayResult::NotSent => reason = Reason::Unreachable,
            RelayResult::Lost => reason = Reason::Lost,
        }
        if node.now() >= deadline {
            break;
        }
    }
    // Whether an earlier try with the same key ran is not known here: never "not run".
    RelayOutcome::Unknown(reason)
}

/// When a coordinator was lost on the way, it may still act for this request: "not run" of the next
/// one holds for that one alone.
fn settle(outcome: RelayOutcome, reason: Reason) -> RelayOutcome {
    match outcome {
        RelayOutcome::NotRun(_) if reason == Reason::Lost => RelayOutcome::Unknown(reason),
        other => other,
    }
}

/// Takes in a relay from another node.
pub fn on_relay(node: &Rc<Node>, id: AttemptId, relay: Relay, reply: Reply) {
    let node = node.clone();
    node.open_calls.set(node.open_calls.get() + 1);
    local::spawn(async move {
        let outcome = coordinator::coordinate(&node, relay).await;
        reply.send(&node, Frame::Relayed { id, outcome });
        node.open_calls.set(node.open_calls.get() - 1);
    });
}

/// Takes in how a relay ended.
pub fn on_relayed(node: &Rc<Node>, id: AttemptId, relayed: RelayResult) {
    let delivered = node
        .relays
        .borrow()
        .get(&id)
        .is_some_and(|(tx, _)| tx.try_send(relayed).is_ok());
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
    ranking.truncate(MOST_COORDINATORS);
    ranking
}

async fn ask(node: &Rc<Node>, coordinator: &Name, relay: Relay, deadline: Moment) -> RelayResult {
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
    let relayed = node.clock.timeout_at(deadline, rx.recv()).await;
    node.relays.borrow_mut().remove(&id);
    match relayed {
        Ok(Ok(relayed)) => relayed,
        _ => RelayResult::Outcome(RelayOutcome::Unknown(Reason::Deadline)),
    }
}
