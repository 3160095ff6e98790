//! One request at the upstream beside this node: what the upstream is told, and what its answer means.

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

/// Names the attempt to an upstream whose platform lists the VMs.
const ATTEMPT_HEADER: &str = "drumwheel-attempt";
/// Status by which an upstream says that another run of it was meant; it has not run the request.
const WRONG_INSTANCE: u16 = 421;

/// One exchange with the upstream, and what it means for the attempt.
pub async fn run(node: &Rc<Node>, id: AttemptId, job: &Job) -> (Verdict, Option<Answer>) {
    let Some(pool) = node.pool.clone() else {
        return (Verdict::NotSent, None);
    };
    let left = node.clock.time_until(job.deadline);
    let overrun_us = node.cfg.overrun_ms * MILLISECOND;
    let expected = node
        .registration
        .as_deref()
        .and_then(registration::local_incarnation);
    let options = options(node, id, job, left, expected.as_ref());
    let start = pool.incarnation_count();
    let exchange = pool.exchange(&job.req, &options);
    match node
        .clock
        .timeout_at(job.deadline + overrun_us, exchange)
        .await
    {
        Ok(Ok(answer)) => judge(node, id, job, expected.as_ref(), answer),
        Ok(Err(Failure::NotSent(error))) => {
            stats::upstream_failed("not-sent");
            tracing::info!(id = %job.req.id, %error, "the upstream was not reached");
            (Verdict::NotSent, None)
        }
        Ok(Err(Failure::Broken(error))) => {
            stats::upstream_failed("broken");
            tracing::info!(id = %job.req.id, %error, "the upstream broke off");
            let broke = Break {
                start,
                at: node.now(),
                cause: error,
            };
            (end_of(node, &pool, expected.as_ref(), broke).await, None)
        }
        Err(_) => {
            stats::upstream_failed("overrun");
            (Verdict::Broken, None)
        }
    }
}

/// An exchange that broke.
struct Break {
    /// Which start of the upstream it was with.
    start: u64,
    at: Moment,
    cause: Error,
}

/// Tells the end of one exchange from the end of the upstream, under which what was at work may be what ended it. One
/// that was to leave ends as planned, and says nothing against a request.
async fn end_of(
    node: &Rc<Node>,
    pool: &Pool,
    instance: Option<&Incarnation>,
    broke: Break,
) -> Verdict {
    let has_ended = pool.incarnation_count() == broke.start && pool.has_terminated().await;
    if !has_ended || node.is_draining() {
        return Verdict::Broken;
    }
    if is_cold(node) {
        stats::overload_crash();
    }
    containment::on_upstream_termination(node, broke.start, instance, broke.at, &broke.cause);
    Verdict::Ended
}

fn is_cold(node: &Node) -> bool {
    let now = node.now();
    let home = node.home.borrow();
    home.as_ref()
        .is_some_and(|home| home.cold_limiter().is_cold(now))
}

/// What the upstream is told beside the request; `expected` is the start of it that is meant.
fn options<'a>(
    node: &'a Node,
    id: AttemptId,
    job: &'a Job,
    left: Duration,
    expected: Option<&Incarnation>,
) -> ExchangeOptions<'a> {
    let names = &node.cfg.headers;
    let mut headers = vec![(names.deadline_ms.as_str(), left.as_millis().to_string())];
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

/// Reads what a registered upstream says of itself in an answer.
fn judge_registered(
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
        tracing::info!(?expected, other, "another upstream stands at the address");
        if let Some(expected) = expected {
            // The one that was meant, which need not be the one that stands here by now.
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
        slowness(node, percent);
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

/// How long work takes at the upstream by what its answer says, in hundredths of the usual.
pub fn reported_slow_percent(node: &Node, answer: &Answer) -> Option<u32> {
    let name = node.cfg.headers.load.as_deref()?;
    slow_percent(http1::header_value(&answer.headers, name)?)
}

/// The fourth figure of a load header: how long work takes, in hundredths of the usual.
fn slow_percent(load: &str) -> Option<u32> {
    load.split(',').nth(3)?.trim().parse().ok()
}

/// Takes in how slow the upstream says that it is. Other nodes learn it with what they are told anyway: telling
/// each change to the hall brought nothing (at most 0.005 of the worth either way on four sites of 13 VMs), and
/// at 295 VMs was nine in ten of the messages between nodes.
fn slowness(node: &Rc<Node>, percent: u32) {
    let now = node.now();
    let told = |home: &mut Home<SharedAnswer>| home.slowdown_reported(now, percent);
    let changed = node.home.borrow_mut().as_mut().is_some_and(told);
    if changed {
        slowdown_changed(node);
    }
}

/// Takes in for this node's own choices that the pace of the upstream beside it has changed.
pub fn slowdown_changed(node: &Rc<Node>) {
    on_load_report(node, &node.cfg.vm, node.load());
}

/// Reads the headers by which an upstream says that it leaves or did not start the request.
fn judge(
    node: &Rc<Node>,
    id: AttemptId,
    job: &Job,
    expected: Option<&Incarnation>,
    mut answer: Answer,
) -> (Verdict, Option<Answer>) {
    if let Some(registration) = &node.registration {
        return judge_registered(node, id, job, registration, expected, answer);
    }
    upstream_notices::on_answer(node, &job.req.id, &answer);
    let in_force = node.in_force();
    let service = in_force
        .as_ref()
        .and_then(|in_force| in_force.declarations.services.get(&job.req.service));
    let Some(service) = service else {
        return (Verdict::Good, Some(answer));
    };
    let drains = take_header(&mut answer, service.drain_header.as_deref());
    if drains != node.drained_by_upstream.get() {
        node.drained_by_upstream.set(drains);
        update_drain_state(node);
    }
    if take_header(&mut answer, service.shed_header.as_deref()) {
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

fn take_header(answer: &mut Answer, name: Option<&str>) -> bool {
    let Some(name) = name else {
        return false;
    };
    let before = answer.headers.len();
    answer
        .headers
        .retain(|(other, _)| !other.eq_ignore_ascii_case(name));
    answer.headers.len() < before
}
