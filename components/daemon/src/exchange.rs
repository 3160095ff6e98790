//! One request at the local upstream: the headers that it is sent, and what its answer means.

use crate::containment;
use crate::entry_driver::on_load_report;
use crate::home_driver::update_drain_state;
use crate::node::{Job, Node, SharedAnswer};
use crate::registration::{self, Registration};
use crate::upstream_notices;
use audit::stats;
use errors::Error;
use home::{Home, PriorStarts, Verdict};
use names::{AttemptId, Moment, MILLISECOND};
use registry::Incarnation;
use std::rc::Rc;
use std::time::Duration;
use upstream::{ExchangeOptions, Failure, Pool};
use wire::Answer;

/// Header that names the attempt to an upstream, where the platform lists the VMs.
const ATTEMPT_HEADER: &str = "drumwheel-attempt";
/// Status by which an upstream rejects, without running it, a request meant for another instance.
const WRONG_INSTANCE: u16 = 421;

/// Exchanges one request with the upstream and returns the verdict on the attempt, with its answer
/// if there is one.
pub async fn run(node: &Rc<Node>, id: AttemptId, job: &Job) -> (Verdict, Option<Answer>) {
    let Some(pool) = node.pool.clone() else {
        return (Verdict::NotSent, None);
    };
    let remaining = node.clock.time_until(job.deadline);
    let overrun_us = node.cfg.overrun_ms * MILLISECOND;
    if !is_for_current_upstream(node, job) {
        return (Verdict::Replaced, None);
    }
    let expected = job.upstream.as_ref();
    let options = options(node, id, job, remaining, expected);
    let incarnation = pool.incarnation_count();
    let exchange = pool.exchange(&job.req, &options);
    match node
        .clock
        .timeout_at(job.deadline + overrun_us, exchange)
        .await
    {
        Ok(Ok(answer)) => evaluate_answer(node, id, job, expected, answer),
        Ok(Err(Failure::NotSent(error))) => {
            stats::upstream_failed("not-sent");
            tracing::info!(id = %job.req.id, %error, "the upstream was not reached");
            (Verdict::NotSent, None)
        }
        Ok(Err(Failure::Broken(error))) => {
            stats::upstream_failed("broken");
            tracing::info!(id = %job.req.id, %error, "the connection to the upstream broke");
            let failure = BrokenExchange {
                incarnation,
                at: node.now(),
                cause: error,
            };
            (classify_break(node, &pool, expected, failure).await, None)
        }
        Ok(Err(Failure::Replaced)) => (Verdict::Replaced, None),
        Err(_) => {
            stats::upstream_failed("overrun");
            (Verdict::Broken, None)
        }
    }
}

/// Whether the upstream that the attempt is for is still the local one.
fn is_for_current_upstream(node: &Node, job: &Job) -> bool {
    let Some(registration) = &node.registration else {
        return true;
    };
    match (&job.upstream, registration::local_incarnation(registration)) {
        (Some(chosen), Some(local)) => chosen.matches(&local),
        _ => false,
    }
}

/// A broken exchange.
struct BrokenExchange {
    /// Number of the incarnation that it was with.
    incarnation: u64,
    at: Moment,
    cause: Error,
}

/// Distinguishes the break of one exchange from a crash of the upstream, which a running request
/// may have caused. A draining upstream exits as planned, which makes no request suspect.
async fn classify_break(
    node: &Rc<Node>,
    pool: &Pool,
    instance: Option<&Incarnation>,
    failure: BrokenExchange,
) -> Verdict {
    let has_terminated =
        pool.incarnation_count() == failure.incarnation && pool.has_terminated().await;
    if !has_terminated || node.is_draining() {
        return Verdict::Broken;
    }
    if is_cold(node) {
        stats::overload_crash();
    }
    containment::on_upstream_termination(
        node,
        failure.incarnation,
        instance,
        failure.at,
        &failure.cause,
    );
    Verdict::Ended
}

fn is_cold(node: &Node) -> bool {
    let now = node.now();
    let home = node.home.borrow();
    home.as_ref()
        .is_some_and(|home| home.cold_limiter().is_cold(now))
}

/// Headers and other options of the exchange; `expected` is the incarnation that the request is
/// meant for.
fn options<'a>(
    node: &'a Node,
    id: AttemptId,
    job: &'a Job,
    remaining: Duration,
    expected: Option<&Incarnation>,
) -> ExchangeOptions<'a> {
    let names = &node.cfg.headers;
    let mut headers = vec![(
        names.deadline_ms.as_str(),
        remaining.as_millis().to_string(),
    )];
    match &node.registration {
        Some(_) => {
            let name = names.expected_instance.as_deref();
            let given = name.zip(expected);
            headers.extend(given.map(|(name, expected)| (name, expected.id.to_string())));
        }
        None => {
            headers.push((names.level.as_str(), (job.req.level + 1).to_string()));
            headers.push((ATTEMPT_HEADER, id.to_string()));
        }
    }
    let name = names.request_id.as_deref();
    ExchangeOptions {
        headers,
        request_id: name
            .map(|name| (name, job.req.id.as_str()))
            .filter(|(_, id)| *id != "-"),
        repeatable: job.repeatable,
    }
}

/// Handles an answer of a registered upstream: its notices and reports, and the verdict.
fn evaluate_registered_answer(
    node: &Rc<Node>,
    id: AttemptId,
    job: &Job,
    registration: &Rc<Registration>,
    expected: Option<&Incarnation>,
    answer: Answer,
) -> (Verdict, Option<Answer>) {
    let names = &node.cfg.headers;
    if answer.status == WRONG_INSTANCE {
        let other = names
            .instance
            .as_deref()
            .and_then(|name| http1::header_value(&answer.headers, name));
        tracing::info!(
            ?expected,
            other,
            "another instance of the upstream is at the address"
        );
        if let Some(expected) = expected {
            // `expected` is the incarnation that was meant; another one may be local by now.
            if registration.local.borrow_mut().mark_absent(expected) {
                registration::on_local_change(node, registration, PriorStarts::Until(node.started));
            }
        }
        return (Verdict::Shed, None);
    }
    let notice = upstream_notices::on_answer(node, &job.req.id, &answer);
    if let Some(expected) = expected.filter(|_| notice.leaving) {
        upstream_notices::on_departure(node, id, registration, expected);
    }
    if let Some(percent) = reported_slow_percent(node, &answer) {
        on_slowdown(node, percent);
    }
    let not_run = names.not_run.as_deref();
    if not_run.is_some_and(|name| http1::header_value(&answer.headers, name).is_some()) {
        return (Verdict::Shed, None);
    }
    let verdict = if answer.is_error() {
        Verdict::Error
    } else {
        Verdict::Good
    };
    (verdict, Some(answer))
}

/// The run time at the upstream, as its answer reports it, in percent of the typical one.
pub fn reported_slow_percent(node: &Node, answer: &Answer) -> Option<u32> {
    let name = node.cfg.headers.load.as_deref()?;
    slow_percent(http1::header_value(&answer.headers, name)?)
}

/// The fourth field of a load header: the run time in percent of the typical one.
fn slow_percent(load: &str) -> Option<u32> {
    load.split(',').nth(3)?.trim().parse().ok()
}

/// Applies the slowdown that the upstream reports. Other nodes learn it from messages that are sent
/// anyway. Sending each change to the hall changed the value served by at most 0.005 either way in
/// four deployments of 13 VMs, and made up nine in ten of the messages between nodes at 295 VMs.
fn on_slowdown(node: &Rc<Node>, percent: u32) {
    let now = node.now();
    let apply = |home: &mut Home<SharedAnswer>| home.slowdown_reported(now, percent);
    let changed = node.home.borrow_mut().as_mut().is_some_and(apply);
    if changed {
        slowdown_changed(node);
    }
}

/// Applies a changed slowdown of the local upstream to this node's own selection of upstreams.
pub fn slowdown_changed(node: &Rc<Node>) {
    on_load_report(node, &node.cfg.vm, node.load());
}

/// Handles an answer of the upstream: its notices, and the headers by which it reports that it is
/// draining or has not started the request.
fn evaluate_answer(
    node: &Rc<Node>,
    id: AttemptId,
    job: &Job,
    expected: Option<&Incarnation>,
    mut answer: Answer,
) -> (Verdict, Option<Answer>) {
    if let Some(registration) = &node.registration {
        return evaluate_registered_answer(node, id, job, registration, expected, answer);
    }
    upstream_notices::on_answer(node, &job.req.id, &answer);
    let in_force = node.in_force();
    let service = in_force
        .as_ref()
        .and_then(|in_force| in_force.declarations.services.get(&job.req.service));
    let Some(service) = service else {
        return (Verdict::Good, Some(answer));
    };
    let is_draining = remove_header(&mut answer, service.drain_header.as_deref());
    if is_draining != node.drained_by_upstream.get() {
        node.drained_by_upstream.set(is_draining);
        update_drain_state(node);
    }
    if remove_header(&mut answer, service.shed_header.as_deref()) {
        return (Verdict::Shed, None);
    }
    answer
        .headers
        .retain(|(name, _)| !name.to_lowercase().starts_with("drumwheel-"));
    let verdict = if answer.is_error() {
        Verdict::Error
    } else {
        Verdict::Good
    };
    (verdict, Some(answer))
}

/// Removes a header from the answer. Returns whether it was there.
fn remove_header(answer: &mut Answer, name: Option<&str>) -> bool {
    let Some(name) = name else {
        return false;
    };
    let before = answer.headers.len();
    answer
        .headers
        .retain(|(other, _)| !other.eq_ignore_ascii_case(name));
    answer.headers.len() < before
}
