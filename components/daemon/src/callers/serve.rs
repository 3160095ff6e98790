//! From a request to its outcome: service, policy, attempts.

use super::request::CallerRequest;
use super::response;
use crate::entry_driver::{run_call, Plan};
use crate::node::Node;
use crate::relay::{self, Relay};
use crate::stats;
use declarations::Service;
use entry::{Outcome, Treatment};
use futures_util::FutureExt;
use home::{Reason, Refusal};
use keys::KEY_DEADLINE_US;
use names::{Moment, MILLISECOND};
use policy::Input;
use rollout::InForce;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use wire::{RelayOutcome, Request};

/// Told to callers of a node that can't serve yet or was paused, in milliseconds.
const NOT_SERVING_RETRY_MS: u64 = 1_000;

/// Carries a request to its outcome and writes the response.
pub async fn serve(
    node: &Rc<Node>,
    call: CallerRequest,
    hung_up: impl Future<Output = ()>,
) -> http_types::Response {
    let mut hung_up = pin!(hung_up);
    if hung_up.as_mut().now_or_never().is_some() {
        // The request may have waited long in the buffers of a paused process.
        return response::outcome(RelayOutcome::Unknown(Reason::Lost));
    }
    response::outcome(outcome(node, call, hung_up).await)
}

async fn outcome(
    node: &Rc<Node>,
    call: CallerRequest,
    hung_up: impl Future<Output = ()>,
) -> RelayOutcome {
    let Some(in_force) = node.in_force() else {
        return blank(&call);
    };
    let Some(service) = in_force.declarations.route(&call.host, &call.path) else {
        return refused(Reason::NoService, 0);
    };
    let ruled = treat(node, service, &call);
    if ruled.refuse.is_some() {
        return refused(Reason::Policy, 0);
    }
    let limit_ms = call
        .deadline_ms
        .unwrap_or(ruled.deadline_ms)
        .min(ruled.deadline_ms);
    let left_us = (limit_ms * MILLISECOND).saturating_sub(node.paused_for());
    if left_us == 0 {
        return too_late(&call);
    }
    let deadline = node.now() + left_us;
    let treatment = Treatment {
        repeatable: ruled.repeatable,
        priority: ruled.priority,
        attempts: attempts(&ruled, call.level),
    };
    let key = call.key.clone().filter(|_| !ruled.repeatable);
    let req = Arc::new(request(service, call));
    if let Some(key) = key {
        return owned(node, &in_force, key, treatment.priority, req, deadline).await;
    }
    let plan = Plan {
        candidates: node.candidates(&in_force, service),
        treatment,
        req,
        key: None,
        deadline,
    };
    direct(node, plan, hung_up).await
}

/// The caller's time passed while this process was paused.
fn too_late(call: &CallerRequest) -> RelayOutcome {
    if call.key.is_some() {
        return RelayOutcome::Unknown(Reason::Deadline);
    }
    refused(Reason::Deadline, NOT_SERVING_RETRY_MS)
}

/// A node without configuration can't tell whether an earlier try with the same key ran.
fn blank(call: &CallerRequest) -> RelayOutcome {
    if call.key.is_some() {
        return RelayOutcome::Unknown(Reason::NoConfiguration);
    }
    refused(Reason::NoConfiguration, NOT_SERVING_RETRY_MS)
}

/// Only the outermost level repeats a request; twelve levels don't multiply it.
fn attempts(ruled: &policy::Treatment, level: u32) -> u32 {
    if level == 0 {
        ruled.attempts
    } else {
        1
    }
}

fn treat(node: &Rc<Node>, service: &Service, call: &CallerRequest) -> policy::Treatment {
    let headers = call
        .headers
        .iter()
        .filter(|(name, _)| service.inputs.contains(name))
        .cloned()
        .collect();
    let input = Input {
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        caller: call.caller.clone(),
        hall: node.cfg.hall.to_string(),
        level: call.level as i64,
    };
    service.policy.evaluate(&input).unwrap_or_else(|error| {
        stats::policy_failed();
        tracing::debug!(service = %service.name, error, "a policy failed");
        policy::Treatment::safest()
    })
}

fn request(service: &Service, call: CallerRequest) -> Request {
    let headers = call
        .headers
        .into_iter()
        .filter(|(name, _)| !name.starts_with("drumwheel-"))
        .collect();
    Request {
        service: service.name.clone(),
        method: call.method,
        target: call.target,
        headers,
        body: call.body,
        level: call.level,
    }
}

async fn owned(
    node: &Rc<Node>,
    in_force: &InForce,
    key: String,
    priority: u8,
    req: Arc<Request>,
    deadline: Moment,
) -> RelayOutcome {
    let deadline = deadline.min(node.now() + KEY_DEADLINE_US);
    let relay = Relay {
        remaining_us: deadline.since(node.now()),
        waited_us: node.paused_for(),
        key,
        priority,
        revision: in_force.configuration.head.revision,
        req,
    };
    relay::run(node, in_force, relay, deadline).await
}

async fn direct(node: &Rc<Node>, plan: Plan, hung_up: impl Future<Output = ()>) -> RelayOutcome {
    match run_call(node, plan, hung_up).await.outcome {
        Some(Outcome::Answered(answer)) => RelayOutcome::Answered(answer),
        Some(Outcome::NotRun(refusal)) => RelayOutcome::NotRun(refusal),
        Some(Outcome::Unknown(reason)) => RelayOutcome::Unknown(reason),
        None => RelayOutcome::Unknown(Reason::Lost),
    }
}

fn refused(reason: Reason, retry_after_ms: u64) -> RelayOutcome {
    RelayOutcome::NotRun(Refusal {
        reason,
        retry_after_ms,
    })
}
