//! Processes a caller's request up to its outcome: service, policy, attempts.

use super::admission;
use super::request::CallerRequest;
use super::response::{self, Response};
use super::returned::{self, Try};
use super::stopping;
use crate::candidates::{self, ConnectionStates, Selection};
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

/// Added to the priority of a request for the calls made by upstreams on its behalf, which ranks
/// them above all client requests: when such a call is refused, the slot time that its request has
/// used is lost.
const CALL_PRIORITY: u8 = 10;
/// Distance between the priorities of two accounts: the priorities of all routes fit in between.
const ACCOUNT_PRIORITY_STEP: u8 = 10;
/// The same as [`CALL_PRIORITY`], where requests have accounts.
const ACCOUNT_CALL_PRIORITY: u8 = ACCOUNT_PRIORITY_STEP * (MAX_PRIORITY + 1);
/// Prefix of this program's own headers, which are not passed on.
const OWN_PREFIX: &str = "drumwheel-";
/// Minimum number of upstreams that may receive a request, also where its policy lets it run once:
/// if one rejects it without running it, it may be offered to another.
const MIN_ARRIVALS: u32 = 2;
/// Retry delay sent to callers of a node without declarations, in milliseconds: a node that started
/// at the same time as all others, with 1,500 routes and a tenth of a core, had them in force 0.3 s
/// after it had read them.
const NO_CONFIGURATION_RETRY_MS: u64 = 300;
/// Maximum number of characters of a caller's header value in a log line.
const MAX_LOGGED_CHARS: usize = 40;
/// Retry delay sent to callers of a node that was paused, in milliseconds.
const PAUSED_RETRY_MS: u64 = 1_000;

/// Processes a request and returns the response.
pub async fn serve(
    node: &Rc<Node>,
    call: CallerRequest,
    disconnected: impl Future<Output = ()>,
) -> Response {
    let mut disconnected = pin!(disconnected);
    let began = node.now();
    let id = call.id.clone();
    let names = &node.cfg.headers;
    if disconnected.as_mut().now_or_never().is_some() {
        // The request may have waited long in the buffers of a paused process.
        return response::for_outcome(names, RelayOutcome::Unknown(Reason::Lost));
    }
    let outcome = run_request(node, call, disconnected).await;
    let took_us = node.now().since(began);
    audit::call_ended(&id, &outcome, took_us);
    response::for_outcome(names, outcome)
}

async fn run_request(
    node: &Rc<Node>,
    mut call: CallerRequest,
    disconnected: impl Future<Output = ()>,
) -> RelayOutcome {
    let Some(in_force) = wait_for_revision(node, &call).await else {
        return unconfigured_outcome(&call);
    };
    let waited_ms = node.now().since(call.received) / MILLISECOND;
    call.deadline_ms = call.deadline_ms.map(|ms| ms.saturating_sub(waited_ms));
    let route = in_force.declarations.find_route(&call.host, &call.path);
    if let Some(route) = route.cloned() {
        let caller_try = returned::recognise(node, &call);
        let outcome = run_on_route(node, &in_force, &route, call, caller_try, disconnected).await;
        returned::record_outcome(node, caller_try, &outcome);
        return outcome;
    }
    let Some(service) = in_force.declarations.find_service(&call.host, &call.path) else {
        let revision = in_force.configuration.head.revision;
        audit::no_route(&call.id, &call.host, &call.path, revision);
        return not_run(Reason::NoService, 0);
    };
    let policy_treatment = evaluate_policy(node, service, &call);
    if policy_treatment.refuse.is_some() {
        return not_run(Reason::Policy, 0);
    }
    let Some(deadline) = deadline(node, &policy_treatment, &call) else {
        return late_outcome(&call);
    };
    if let Err(outcome) = stopping::admit(node, &call, &service.name, deadline) {
        return outcome;
    }
    let wait_until = node.entry.borrow().work_deadline(deadline);
    let admitted = match admit(node, &in_force, &mut call, service.open, wait_until).await {
        Ok(admitted) => admitted,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    let treatment = Treatment {
        repeatable: policy_treatment.repeatable,
        priority: priority(&policy_treatment, &call, admitted.account.as_deref()),
        max_runs: max_runs(&policy_treatment, call.level),
        max_arrivals: policy_treatment.attempts.max(MIN_ARRIVALS),
        origin: origin(&call),
    };
    let key = call.key.clone().filter(|_| !policy_treatment.repeatable);
    let req = Arc::new(build_request(node, &service.name, call));
    let suspect_order = match suspect_order(node, &req) {
        Ok(order) => order,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    if let Some(key) = key {
        let outcome = run_keyed(node, &in_force, key, treatment.priority, req, deadline).await;
        return_unused_token(node, admitted, &outcome);
        return outcome;
    }
    let plan = CallPlan {
        caller_try: None,
        suspect_order,
        candidates: node.candidates(&in_force, service),
        reserve: Vec::new(),
        price: Price::of(policy_treatment.priority, 0, true),
        treatment,
        req,
        key: None,
        deadline,
        longest_us: node.entry.borrow().longest_us(&service.name),
    };
    let outcome = run_unkeyed(node, plan, &service.name, disconnected).await;
    return_unused_token(node, admitted, &outcome);
    outcome
}

/// The revision in force. A node that has just started has none yet: callers wait a short time for
/// it, and longer while it is being read.
async fn wait_for_revision(node: &Rc<Node>, call: &CallerRequest) -> Option<Arc<InForce>> {
    let arrived = node.now();
    let time_us = call.deadline_ms.unwrap_or(0).saturating_mul(MILLISECOND);
    let mut reservation = None;
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
        if first_read.needs_reservation(now) && reservation.is_none() {
            reservation = Some(node.startup_waiters.reserve(call.size_bytes())?);
        }
        let wait_us = first_read.next_check(now, until).since(now);
        let timeout = Duration::from_micros(wait_us);
        node.first_declarations.wait(timeout).await;
    }
}

/// Runs a request whose route specifies its treatment.
async fn run_on_route(
    node: &Rc<Node>,
    in_force: &InForce,
    route: &Route,
    mut call: CallerRequest,
    caller_try: Option<Try>,
    disconnected: impl Future<Output = ()>,
) -> RelayOutcome {
    let policy_treatment = &route.treatment;
    let Some(deadline) = deadline(node, policy_treatment, &call) else {
        return late_outcome(&call);
    };
    if let Err(outcome) = stopping::admit(node, &call, &route.name, deadline) {
        return outcome;
    }
    let wait_until = node.entry.borrow().work_deadline(deadline);
    let admitted = match admit(node, in_force, &mut call, route.open, wait_until).await {
        Ok(admitted) => admitted,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    let service = node.select_service(route);
    let is_upstream_call = call.parent.is_some();
    let priority = priority(policy_treatment, &call, admitted.account.as_deref());
    let treatment = Treatment {
        repeatable: policy_treatment.repeatable,
        priority,
        max_runs: max_runs(policy_treatment, call.level),
        max_arrivals: policy_treatment.attempts,
        origin: origin(&call),
    };
    if is_upstream_call {
        node.entry.borrow_mut().add_dependency(&service);
    }
    let deadline_ms = call.deadline_ms;
    let claimed_caller = claimed_caller(node, &call);
    let req = Arc::new(build_request(node, &service, call));
    audit::request_routed(&Routed {
        req: &req,
        route,
        revision: in_force.configuration.head.revision,
        caller: local_caller(node).as_ref(),
        claimed_caller: claimed_caller.as_deref(),
        deadline_ms,
        since_first_try_ms: caller_try.map_or(0, |caller_try| {
            node.now().since(caller_try.first_at) / MILLISECOND
        }),
        calls_in_progress: node.open_calls.get(),
    });
    let suspect_order = match suspect_order(node, &req) {
        Ok(order) => order,
        Err(refusal) => return RelayOutcome::NotRun(refusal),
    };
    let crossing_priority = if is_upstream_call {
        priority
    } else {
        policy_treatment.priority
    };
    let selection = wait_for_candidates(node, &service, wait_until).await;
    let plan = CallPlan {
        caller_try,
        suspect_order,
        candidates: selection.candidates,
        reserve: selection.reserve,
        treatment,
        req,
        key: None,
        deadline,
        longest_us: node.entry.borrow().longest_us(&route.name),
        price: Price::of(
            crossing_priority,
            route.objective_ms * MILLISECOND,
            is_upstream_call,
        ),
    };
    let outcome = run_unkeyed(node, plan, &route.name, disconnected).await;
    return_unused_token(node, admitted, &outcome);
    outcome
}

/// A request that was admitted.
struct Admitted {
    /// The account on whose behalf it is processed; none where no account is needed.
    account: Option<Arc<Account>>,
    /// Its token for the account's limit.
    token: Option<Token>,
}

/// Identifies the account of a request and takes a token where the account is limited.
async fn admit(
    node: &Rc<Node>,
    in_force: &InForce,
    call: &mut CallerRequest,
    allows_anonymous: bool,
    deadline: Moment,
) -> Result<Admitted, Refusal> {
    let account = admission::identify(in_force, call, allows_anonymous, key_freshness(node))?;
    call.account = account.as_ref().map(|account| account.name.clone());
    let peers = links::Peers(node.clone());
    let token = admission::admit(&node.quotas, &peers, call, account.as_deref(), deadline).await?;
    Ok(Admitted { account, token })
}

/// Returns the token of a request that has not run.
fn return_unused_token(node: &Rc<Node>, admitted: Admitted, outcome: &RelayOutcome) {
    let peers = links::Peers(node.clone());
    admission::return_unused_token(&node.quotas, &peers, admitted.token, outcome);
}

/// The age of the known account keys and its bound.
fn key_freshness(node: &Node) -> Freshness {
    let max_age_ms = node.cfg.accounts.withdrawn_within_ms;
    Freshness {
        age_us: node.watch.borrow().age_us(node.now()),
        max_age_us: max_age_ms.map(|ms| ms * MILLISECOND),
    }
}

/// The account's priority outranks the route's, and calls made by upstreams outrank all client
/// requests.
fn priority(
    policy_treatment: &policy::Treatment,
    call: &CallerRequest,
    account: Option<&Account>,
) -> u8 {
    match &call.parent {
        Some(parent) if parent.account.is_some() => {
            parent.priority.saturating_add(ACCOUNT_CALL_PRIORITY)
        }
        Some(parent) => parent.priority.saturating_add(CALL_PRIORITY),
        None => account.map_or(policy_treatment.priority, |account| {
            account.priority * ACCOUNT_PRIORITY_STEP + policy_treatment.priority
        }),
    }
}

/// Candidates among the upstreams that are registered for `service`. A node that has just started
/// knows none yet: callers wait a short time for them.
async fn wait_for_candidates(node: &Rc<Node>, service: &Name, deadline: Moment) -> Selection {
    let first_read = *node.first_read.borrow();
    let until = first_read.upstream_wait_deadline().min(deadline);
    loop {
        let selection = select_candidates(node, service);
        let now = node.now();
        if !selection.candidates.is_empty() || now >= until || knows_all_records(node) {
            return selection;
        }
        let timeout = Duration::from_micros(until.since(now));
        node.fleet_change.wait(timeout).await;
    }
}

fn knows_all_records(node: &Node) -> bool {
    let registration = node.registration.as_ref();
    registration.is_none_or(|registration| registration.has_read_records.get())
}

/// Candidates among the upstreams that are registered for `service`.
fn select_candidates(node: &Rc<Node>, service: &Name) -> Selection {
    let Some(registration) = &node.registration else {
        return Selection::default();
    };
    let now = node.now();
    let connections = ConnectionStates {
        is_evacuated: &|hall| registration.is_evacuated(now, hall),
        is_connected: &|vm| links::is_connected(node, vm),
        can_dial: &|vm| links::can_dial(node, vm),
        has_failed_recently: &|vm| links::has_failed(node, vm),
    };
    let selection = candidates::select(&registration.fleet.borrow(), service, &connections);
    for vm in &selection.to_dial {
        links::dial(node, vm);
    }
    selection
}

/// The service to which calls from this VM are attributed, and the origin of that information.
fn local_caller(node: &Node) -> Option<LocalService> {
    let registered = node
        .registration
        .as_deref()
        .and_then(registration::local_service);
    let configured = registration::configured_upstream(node);
    node.caller_name.choose(&configured, registered.as_ref())
}

/// The service that a caller claims to be, for the log only; it is not trusted.
fn claimed_caller(node: &Node, call: &CallerRequest) -> Option<String> {
    let name = node.cfg.headers.caller_service.as_deref()?;
    let claimed = http1::header_value(&call.headers, name)?;
    Some(claimed.chars().take(MAX_LOGGED_CHARS).collect())
}

/// VMs at which a request may run if an upstream has terminated while it ran a copy; none if that
/// has not happened. A quarantined request is refused at once.
fn suspect_order(node: &Node, req: &Request) -> Result<Option<Vec<Name>>, Refusal> {
    match containment::verdict(node, req) {
        Verdict::Free => Ok(None),
        Verdict::Suspect => {
            let order = containment::suspect_order(node, &req.service, req.fingerprint());
            Ok(Some(order))
        }
        Verdict::Held => Err(containment::quarantine_refusal()),
    }
}

/// Deadline of the request; none if it has passed already.
fn deadline(
    node: &Node,
    policy_treatment: &policy::Treatment,
    call: &CallerRequest,
) -> Option<Moment> {
    let limit_ms = call
        .deadline_ms
        .unwrap_or(policy_treatment.deadline_ms)
        .min(policy_treatment.deadline_ms);
    let remaining_us = (limit_ms * MILLISECOND).saturating_sub(node.paused_for_us());
    (remaining_us > 0).then(|| node.now() + remaining_us)
}

/// The deadline has passed while this process was paused.
fn late_outcome(call: &CallerRequest) -> RelayOutcome {
    if call.key.is_some() {
        return RelayOutcome::Unknown(Reason::Deadline);
    }
    not_run(Reason::Deadline, PAUSED_RETRY_MS)
}

/// A node without a configuration can't determine whether an earlier try with the same key ran.
fn unconfigured_outcome(call: &CallerRequest) -> RelayOutcome {
    if call.key.is_some() {
        return RelayOutcome::Unknown(Reason::NoConfiguration);
    }
    not_run(Reason::NoConfiguration, NO_CONFIGURATION_RETRY_MS)
}

fn origin(call: &CallerRequest) -> Origin {
    match &call.parent {
        Some(parent) if parent.repeat => Origin::UpstreamRepeat,
        Some(_) => Origin::Upstream,
        None if call.level > 0 => Origin::Upstream,
        None => Origin::Client,
    }
}

/// Only level 0 repeats a request, so that repeats don't multiply over twelve levels of calls.
fn max_runs(policy_treatment: &policy::Treatment, level: u32) -> u32 {
    if level == 0 {
        policy_treatment.attempts
    } else {
        1
    }
}

fn evaluate_policy(node: &Rc<Node>, service: &Service, call: &CallerRequest) -> policy::Treatment {
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
        tracing::debug!(service = %service.name, error, "policy evaluation failed");
        policy::Treatment::safest()
    })
}

fn build_request(node: &Node, service: &Name, call: CallerRequest) -> Request {
    let names = &node.cfg.headers;
    let is_own = |name: &str| {
        name.len() > OWN_PREFIX.len() && name[..OWN_PREFIX.len()].eq_ignore_ascii_case(OWN_PREFIX)
    };
    let mut headers = call.headers;
    headers.retain(|(name, _)| !is_own(name));
    if let Some(name) = &names.caller_service {
        headers.retain(|(other, _)| !other.eq_ignore_ascii_case(name));
        let caller = local_caller(node);
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

async fn run_keyed(
    node: &Rc<Node>,
    in_force: &InForce,
    key: String,
    priority: u8,
    req: Arc<Request>,
    deadline: Moment,
) -> RelayOutcome {
    let began = node.now();
    let service = req.service.clone();
    let deadline = deadline.min(began + MAX_KEY_DEADLINE_US);
    let relay = Relay {
        remaining_us: deadline.since(began),
        waited_us: node.paused_for_us(),
        key,
        priority,
        revision: in_force.configuration.head.revision,
        req,
    };
    let outcome = relay::run(node, in_force, relay, deadline).await;
    record_duration(node, &service, began, &outcome);
    outcome
}

/// Records how long a successful request of the class took.
fn record_duration(node: &Node, class: &Name, began: Moment, outcome: &RelayOutcome) {
    if matches!(outcome, RelayOutcome::Answered(answer) if !answer.is_error()) {
        let now = node.now();
        let mut entry = node.entry.borrow_mut();
        entry.record_duration(now, class, now.since(began));
    }
}

async fn run_unkeyed(
    node: &Rc<Node>,
    plan: CallPlan,
    class: &Name,
    disconnected: impl Future<Output = ()>,
) -> RelayOutcome {
    let began = node.now();
    let service = plan.req.service.clone();
    let outcome = match run_call(node, plan, disconnected).await.outcome {
        Some(Outcome::Answered(answer)) => RelayOutcome::Answered(answer),
        Some(Outcome::NotRun(refusal)) => RelayOutcome::NotRun(refusal),
        Some(Outcome::Unknown(reason)) => RelayOutcome::Unknown(reason),
        None => RelayOutcome::Unknown(Reason::Lost),
    };
    let took_us = node.now().since(began);
    stats::record_latency(Stage::Total, &service, outcome_name(&outcome), took_us);
    record_duration(node, class, began, &outcome);
    outcome
}

fn outcome_name(outcome: &RelayOutcome) -> &'static str {
    match outcome {
        RelayOutcome::Answered(_) => "answered",
        RelayOutcome::NotRun(_) => "not-run",
        RelayOutcome::Unknown(_) => "unknown",
    }
}

fn not_run(reason: Reason, retry_after_ms: u64) -> RelayOutcome {
    RelayOutcome::NotRun(Refusal {
        reason,
        retry_after_ms,
    })
}
