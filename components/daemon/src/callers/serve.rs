//! From a request to its outcome: service, policy, attempts.

use super::admission;
use super::request::CallerRequest;
use super::response::{self, Response};
use super::returned::{self, Try};
use crate::candidates::{self, Connections, Drawn};
use crate::containment;
use crate::entry_driver::{run_call, CallPlan};
use crate::links;
use crate::node::Node;
use crate::registration;
use crate::relay::{self, Relay};
use crate::watching;
use accounts::{Account, Freshness, MAX_PRIORITY};
use audit::stats::{self, Stage};
use audit::Routed;
use declarations::{Route, Service};
use entry::{Origin, Outcome, Price, Treatment};
use futures_util::FutureExt;
use home::{Reason, Refusal};
use keys::MAX_KEY_DEADLINE_US;
use names::{Moment, Name, MILLISECOND};
use policy::Input;
use quarantine::Verdict;
use quota::Token;
use registry::LocalService;
use rollout::InForce;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wire::{RelayOutcome, Request};

/// Told to callers of a node that ends, in milliseconds: a restart takes about this long.
const CLOSING_RETRY_MS: u64 = 300;
/// Added to the priority of a request for the calls that are made for it, which puts them above all
/// outer requests: when one is refused, the slot time that its request has used is lost.
const INNER_PRIORITY: u8 = 10;
/// Steps between the priorities of two accounts: all those of routes lie between them.
const ACCOUNT_STEP: u8 = 10;
/// What is added for calls where requests have accounts.
const INNER_PRIORITY_OF_ACCOUNTS: u8 = ACCOUNT_STEP * (MAX_PRIORITY + 1);
/// Headers that begin so are this program's own and are not passed on.
const PREFIX: &str = "drumwheel-";
/// Upstreams that may see a request of a policy that lets it run once: one that turns it away unrun may
/// be followed by another.
const LEAST_ARRIVALS: u32 = 2;
/// Told to callers that came to a node without declarations, in milliseconds: a node that starts with all others and 1,500
/// routes on a tenth of a core had them 0.3 s after it had read them.
const BLANK_RETRY_MS: u64 = 300;
/// Characters of a caller's word that a log line shows at most.
const MAX_LOGGED_CHARS: usize = 40;
/// Told to callers of a node that was paused, in milliseconds.
const NOT_SERVING_RETRY_MS: u64 = 1_000;

/// Carries a request to its outcome and writes the response.
pub async fn serve(
    node: &Rc<Node>,
    call: CallerRequest,
    hung_up: impl Future<Output = ()>,
) -> Response {
    let mut hung_up = pin!(hung_up);
    let began = node.now();
    let id = call.id.clone();
    let names = &node.cfg.headers;
    if hung_up.as_mut().now_or_never().is_some() {
        // The request may have waited long in the buffers of a paused process.
        return response::outcome(names, RelayOutcome::Unknown(Reason::Lost));
    }
    let outcome = outcome(node, call, hung_up).await;
    let took_us = node.now().since(began);
    audit::call_ended(&id, &outcome, took_us);
    response::outcome(names, outcome)
}

async fn outcome(
    node: &Rc<Node>,
    mut call: CallerRequest,
    hung_up: impl Future<Output = ()>,
) -> RelayOutcome {
    if node.closing.get() {
        return closing(&call);
    }
    let Some(in_force) = in_force_soon(node, &call).await else {
        return blank(&call);
    };
    let waited_ms = node.now().since(call.received) / MILLISECOND;
    call.deadline_ms = call.deadline_ms.map(|ms| ms.saturating_sub(waited_ms));
    let fixed = in_force.declarations.find_route(&call.host, &call.path);
    if let Some(route) = fixed.cloned() {
        let caller_try = returned::recognise(node, &call);
        let outcome = by_route(node, &in_force, &route, call, caller_try, hung_up).await;
        returned::note(node, caller_try, &outcome);
        return outcome;
    }
    let Some(service) = in_force.declarations.find_service(&call.host, &call.path) else {
        let revision = in_force.configuration.head.revision;
        audit::no_route(&call.id, &call.host, &call.path, revision);
        return refused(Reason::NoService, 0);
    };
    let ruled = treat(node, service, &call);
    if ruled.refuse.is_some() {
        return refused(Reason::Policy, 0);
    }
    let Some(deadline) = deadline(node, &ruled, &call) else {
        return too_late(&call);
    };
    let admitted = match admit(node, &in_force, &mut call, service.open, deadline).await {
        Ok(admitted) => admitted,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    let treatment = Treatment {
        repeatable: ruled.repeatable,
        priority: priority(&ruled, &call, admitted.account.as_deref()),
        max_runs: attempts(&ruled, call.level),
        max_arrivals: ruled.attempts.max(LEAST_ARRIVALS),
        origin: origin(&call),
    };
    let key = call.key.clone().filter(|_| !ruled.repeatable);
    let req = Arc::new(request(node, &service.name, call));
    let suspect_order = match order_of(node, &req) {
        Ok(order) => order,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    if let Some(key) = key {
        let outcome = owned(node, &in_force, key, treatment.priority, req, deadline).await;
        settle(node, admitted, &outcome);
        return outcome;
    }
    let plan = CallPlan {
        caller_try: None,
        suspect_order,
        candidates: node.candidates(&in_force, service),
        reserve: Vec::new(),
        price: Price::of(ruled.priority, 0, true),
        treatment,
        req,
        key: None,
        deadline,
    };
    let outcome = direct(node, plan, hung_up).await;
    settle(node, admitted, &outcome);
    outcome
}

/// The revision in force. A node that has just started has one in a moment: callers who come before that wait
/// for it, and longer while it is being read.
async fn in_force_soon(node: &Rc<Node>, call: &CallerRequest) -> Option<Arc<InForce>> {
    let arrived = node.now();
    let time_us = call.deadline_ms.unwrap_or(0).saturating_mul(MILLISECOND);
    let mut place = None;
    loop {
        let in_force = node.in_force();
        if in_force.is_some() {
            return in_force;
        }
        let now = node.now();
        let first_read = *node.first_read.borrow();
        let until = first_read.caller_wait_deadline(
            arrived,
            time_us,
            watching::is_reading_declarations(node),
        );
        if now >= until {
            return None;
        }
        if first_read.needs_reservation(now) && place.is_none() {
            place = Some(node.startup_waiters.reserve(call.bytes())?);
        }
        let limit_us = first_read.next_check(now, until).since(now);
        let limit = Duration::from_micros(limit_us);
        node.first_declarations.wait(limit).await;
    }
}

/// Carries out a request whose route says how it is treated.
async fn by_route(
    node: &Rc<Node>,
    in_force: &InForce,
    route: &Route,
    mut call: CallerRequest,
    caller_try: Option<Try>,
    hung_up: impl Future<Output = ()>,
) -> RelayOutcome {
    let ruled = &route.treatment;
    let Some(deadline) = deadline(node, ruled, &call) else {
        return too_late(&call);
    };
    let admitted = match admit(node, in_force, &mut call, route.open, deadline).await {
        Ok(admitted) => admitted,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    let service = node.select_service(route);
    let is_inner = call.parent.is_some();
    let priority = priority(ruled, &call, admitted.account.as_deref());
    let treatment = Treatment {
        repeatable: ruled.repeatable,
        priority,
        max_runs: attempts(ruled, call.level),
        max_arrivals: ruled.attempts,
        origin: origin(&call),
    };
    if is_inner {
        node.entry.borrow_mut().add_dependency(&service);
    }
    let deadline_ms = call.deadline_ms;
    let caller_told = told_caller(node, &call);
    let req = Arc::new(request(node, &service, call));
    audit::request_routed(&Routed {
        req: &req,
        route,
        revision: in_force.configuration.head.revision,
        caller: caller_named(node).as_ref(),
        claimed_caller: caller_told.as_deref(),
        deadline_ms,
        since_first_try_ms: caller_try.map_or(0, |caller_try| {
            node.now().since(caller_try.first_at) / MILLISECOND
        }),
        calls_in_progress: node.open_calls.get(),
    });
    let suspect_order = match order_of(node, &req) {
        Ok(order) => order,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    let crossing = if is_inner { priority } else { ruled.priority };
    let drawn = registered_soon(node, &service, deadline).await;
    let plan = CallPlan {
        caller_try,
        suspect_order,
        candidates: drawn.candidates,
        reserve: drawn.reserve,
        treatment,
        req,
        key: None,
        deadline,
        price: Price::of(crossing, route.objective_ms * MILLISECOND, is_inner),
    };
    let outcome = direct(node, plan, hung_up).await;
    settle(node, admitted, &outcome);
    outcome
}

/// A request that may go on.
struct Admitted {
    /// In whose name; none where no account is needed.
    account: Option<Arc<Account>>,
    /// What it has taken of the account's limit.
    token: Option<Token>,
}

/// Finds out who asks, and whether the account may ask more now.
async fn admit(
    node: &Rc<Node>,
    in_force: &InForce,
    call: &mut CallerRequest,
    is_open: bool,
    deadline: Moment,
) -> Result<Admitted, Refusal> {
    let account = admission::identify(in_force, call, is_open, proof(node))?;
    call.account = account.as_ref().map(|account| account.name.clone());
    let peers = links::Peers(node.clone());
    let token = admission::admit(&node.quotas, &peers, call, account.as_deref(), deadline).await?;
    Ok(Admitted { account, token })
}

/// Gives back what a request has taken that has not run.
fn settle(node: &Rc<Node>, admitted: Admitted, outcome: &RelayOutcome) {
    let peers = links::Peers(node.clone());
    admission::settle(&node.quotas, &peers, admitted.token, outcome);
}

/// How new what is known of accounts is, and must be.
fn proof(node: &Node) -> Freshness {
    let bound_ms = node.cfg.accounts.withdrawn_within_ms;
    Freshness {
        age_us: node.watch.borrow().age_us(node.now()),
        max_age_us: bound_ms.map(|ms| ms * MILLISECOND),
    }
}

/// The account's priority goes before the route's, and calls go before all outer requests.
fn priority(ruled: &policy::Treatment, call: &CallerRequest, account: Option<&Account>) -> u8 {
    match &call.parent {
        Some(parent) if parent.account.is_some() => {
            parent.priority.saturating_add(INNER_PRIORITY_OF_ACCOUNTS)
        }
        Some(parent) => parent.priority.saturating_add(INNER_PRIORITY),
        None => account.map_or(ruled.priority, |account| {
            account.priority * ACCOUNT_STEP + ruled.priority
        }),
    }
}

/// The upstreams that registered for `service`. A node that has just started knows none in a moment: callers who come before
/// that wait for them.
async fn registered_soon(node: &Rc<Node>, service: &Name, deadline: Moment) -> Drawn {
    let first_read = *node.first_read.borrow();
    let until = first_read.upstream_wait_deadline().min(deadline);
    loop {
        let drawn = registered(node, service);
        let now = node.now();
        if !drawn.candidates.is_empty() || now >= until || knows_all_records(node) {
            return drawn;
        }
        let limit = Duration::from_micros(until.since(now));
        node.fleet_change.wait(limit).await;
    }
}

fn knows_all_records(node: &Node) -> bool {
    let registration = node.registration.as_ref();
    registration.is_none_or(|registration| registration.has_read_records.get())
}

/// The upstreams that registered for `service`, among which a request chooses.
fn registered(node: &Rc<Node>, service: &Name) -> Drawn {
    let Some(registration) = &node.registration else {
        return Drawn::default();
    };
    let now = node.now();
    let connections = Connections {
        is_evacuated: &|hall| registration.is_evacuated(now, hall),
        is_up: &|vm| links::is_connected(node, vm),
        is_apart: &|vm| links::can_dial(node, vm),
        has_failed: &|vm| links::has_failed(node, vm),
    };
    let drawn = candidates::registered(&registration.fleet.borrow(), service, &connections);
    for vm in &drawn.to_dial {
        links::dial(node, vm);
    }
    drawn
}

/// The service in whose name calls from this VM are made, and what says so.
fn caller_named(node: &Node) -> Option<LocalService> {
    let believed = node
        .registration
        .as_deref()
        .and_then(registration::local_service);
    let beside = registration::configured_upstream(node);
    node.caller_name.choose(&beside, believed.as_ref())
}

/// The service in whose name a caller says that it calls; it is never believed.
fn told_caller(node: &Node, call: &CallerRequest) -> Option<String> {
    let name = node.cfg.headers.caller_service.as_deref()?;
    let told = http1::header_value(&call.headers, name)?;
    Some(told.chars().take(MAX_LOGGED_CHARS).collect())
}

/// Where a request may run under which an upstream has ended; none if there was no such end. A request that is
/// held is refused at once.
fn order_of(node: &Node, req: &Request) -> Result<Option<Vec<Name>>, Refusal> {
    match containment::verdict(node, req) {
        Verdict::Free => Ok(None),
        Verdict::Suspect => {
            let order = containment::suspect_order(node, &req.service, req.fingerprint());
            Ok(Some(order))
        }
        Verdict::Held => Err(containment::quarantine_refusal()),
    }
}

/// When the request must have its answer; none when that has passed already.
fn deadline(node: &Node, ruled: &policy::Treatment, call: &CallerRequest) -> Option<Moment> {
    let limit_ms = call
        .deadline_ms
        .unwrap_or(ruled.deadline_ms)
        .min(ruled.deadline_ms);
    let left_us = (limit_ms * MILLISECOND).saturating_sub(node.paused_for_us());
    (left_us > 0).then(|| node.now() + left_us)
}

/// The caller's time passed while this process was paused.
fn too_late(call: &CallerRequest) -> RelayOutcome {
    if call.key.is_some() {
        return RelayOutcome::Unknown(Reason::Deadline);
    }
    refused(Reason::Deadline, NOT_SERVING_RETRY_MS)
}

/// A node that is about to end takes no request any more; its successor, or another node, will.
fn closing(call: &CallerRequest) -> RelayOutcome {
    if call.key.is_some() {
        return RelayOutcome::Unknown(Reason::Leaving);
    }
    refused(Reason::Leaving, CLOSING_RETRY_MS)
}

/// A node without configuration can't tell whether an earlier try with the same key ran.
fn blank(call: &CallerRequest) -> RelayOutcome {
    if call.key.is_some() {
        return RelayOutcome::Unknown(Reason::NoConfiguration);
    }
    refused(Reason::NoConfiguration, BLANK_RETRY_MS)
}

fn origin(call: &CallerRequest) -> Origin {
    match &call.parent {
        Some(parent) if parent.repeat => Origin::UpstreamRepeat,
        Some(_) => Origin::Upstream,
        None if call.level > 0 => Origin::Upstream,
        None => Origin::Client,
    }
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
        .map(|(name, value)| (name.to_lowercase(), value.clone()))
        .filter(|(name, _)| service.inputs.contains(name))
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

fn request(node: &Node, service: &Name, call: CallerRequest) -> Request {
    let names = &node.cfg.headers;
    let own =
        |name: &str| name.len() > PREFIX.len() && name[..PREFIX.len()].eq_ignore_ascii_case(PREFIX);
    let mut headers = call.headers;
    headers.retain(|(name, _)| !own(name));
    if let Some(name) = &names.caller_service {
        headers.retain(|(other, _)| !other.eq_ignore_ascii_case(name));
        let caller = caller_named(node);
        headers.extend(caller.map(|named| (name.clone(), named.service.to_string())));
    }
    if let Some(name) = &names.account {
        let account = call.account.as_ref();
        headers.extend(account.map(|account| (name.clone(), account.to_string())));
    }
    Request {
        service: service.clone(),
        method: call.method,
        target: call.target,
        headers,
        body: call.body,
        level: call.level,
        id: call.id,
        account: call.account,
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
    let deadline = deadline.min(node.now() + MAX_KEY_DEADLINE_US);
    let relay = Relay {
        remaining_us: deadline.since(node.now()),
        waited_us: node.paused_for_us(),
        key,
        priority,
        revision: in_force.configuration.head.revision,
        req,
    };
    relay::run(node, in_force, relay, deadline).await
}

async fn direct(
    node: &Rc<Node>,
    plan: CallPlan,
    hung_up: impl Future<Output = ()>,
) -> RelayOutcome {
    let began = node.now();
    let service = plan.req.service.clone();
    let outcome = match run_call(node, plan, hung_up).await.outcome {
        Some(Outcome::Answered(answer)) => RelayOutcome::Answered(answer),
        Some(Outcome::NotRun(refusal)) => RelayOutcome::NotRun(refusal),
        Some(Outcome::Unknown(reason)) => RelayOutcome::Unknown(reason),
        None => RelayOutcome::Unknown(Reason::Lost),
    };
    let told = outcome_name(&outcome);
    stats::record_latency(Stage::Total, &service, told, node.now().since(began));
    outcome
}

fn outcome_name(outcome: &RelayOutcome) -> &'static str {
    match outcome {
        RelayOutcome::Answered(_) => "answered",
        RelayOutcome::NotRun(_) => "not-run",
        RelayOutcome::Unknown(_) => "unknown",
    }
}

fn refused(reason: Reason, retry_after_ms: u64) -> RelayOutcome {
    RelayOutcome::NotRun(Refusal {
        reason,
        retry_after_ms,
    })
}
