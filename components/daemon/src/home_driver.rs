//! Drives the home duty: passes it offers, queries and ticks, and performs its actions.

mod offers;

pub use offers::{on_offer, on_query, Offered};

use crate::boot_record;
use crate::containment;
use crate::exchange;
use crate::jobs::fair_share_account;
use crate::local;
use crate::look;
use crate::node::{Job, Node, SharedAnswer};
use crate::registration;
use crate::straggling;
use async_std::task;
use audit::stats::{self, Stage};
use audit::AttemptDecision;
use budget::Act;
use futures_util::future::{select, Either};
use home::{Action, ColdCapacity, Home, Load, PriorStarts, ProbeResult, Reason, Refusal, Verdict};
use names::{AttemptId, MILLISECOND};
use offers::refused_frame;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wire::{Answer, Frame};

/// Interval of attempts to connect to the successor of a draining upstream.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Tick interval while requests are queued.
const QUEUE_TICK: Duration = Duration::from_millis(5);
/// Shortest suspension of the VM that is logged, in microseconds; shorter ones affect no decision.
const MIN_LOGGED_SUSPENSION_US: u64 = 100 * MILLISECOND;
/// Tick interval while the queue is empty.
const IDLE_TICK: Duration = Duration::from_millis(20);

/// Drops a queued attempt; a running one is aborted only if it may run more than once.
pub fn cancel(node: &Rc<Node>, id: AttemptId) {
    let now = node.now();
    let running = node
        .home
        .borrow_mut()
        .as_mut()
        .is_some_and(|home| home.cancel(now, id));
    if !running {
        node.jobs.borrow_mut().remove(&id);
        return;
    }
    let jobs = node.jobs.borrow();
    let cancel = jobs
        .get(&id)
        .filter(|job| job.repeatable)
        .and_then(|job| job.cancel.as_ref());
    if let Some(tx) = cancel {
        tx.try_send(()).ok();
    }
}

/// Hands back an attempt if it is queued.
pub fn revoke(node: &Rc<Node>, id: AttemptId) {
    let now = node.now();
    with_home(node, |home| match home.is_queued(id) {
        true => {
            home.cancel(now, id);
            vec![Action::Revoke(id)]
        }
        false => Vec::new(),
    });
}

/// Refuses a queued attempt; a running one is aborted if it may run more than once.
pub fn withdraw(node: &Rc<Node>, id: AttemptId, refusal: Refusal) {
    let is_queued = |home: &Home<SharedAnswer>| home.is_queued(id);
    if node.home.borrow().as_ref().is_some_and(is_queued) {
        let now = node.now();
        with_home(node, |home| {
            home.cancel(now, id);
            vec![Action::Refuse(id, refusal)]
        });
    } else {
        cancel(node, id);
    }
}

/// Handles the replacement of the local upstream by another incarnation.
pub fn upstream_replaced(node: &Rc<Node>, new: &registry::Instance, prior: PriorStarts) {
    match new.address.parse() {
        Ok(address) => {
            if let Some(pool) = &node.pool {
                pool.upstream_replaced(address, new.slots as usize);
            }
            if let Some(pool) = &node.probe_pool {
                pool.upstream_replaced(address, 1);
            }
        }
        Err(error) => {
            tracing::warn!(address = new.address, %error, "the upstream's address is invalid");
        }
    }
    let now = node.now();
    with_home(node, |home| home.upstream_replaced(now, new.slots, prior));
    update_cold_capacity(node);
}

/// Sets how many starts the local upstream sustains while it is cold, from the declarations in force.
pub fn update_cold_capacity(node: &Node) {
    if let Some(home) = node.home.borrow_mut().as_mut() {
        home.set_cold_capacity(cold_capacity(node));
    }
}

/// The starts that the upstream sustains while it is cold; none before any declarations are known.
fn cold_capacity(node: &Node) -> ColdCapacity {
    let Some(registration) = &node.registration else {
        return ColdCapacity::Unlimited;
    };
    let Some(in_force) = node.in_force() else {
        return ColdCapacity::Limited {
            starts_per_s: 0,
            cold_us: u64::MAX,
        };
    };
    let service = registration::local_service(registration);
    let registered = service.and_then(|service| in_force.declarations.registered.get(&service));
    match registered.and_then(|registered| registered.cold) {
        Some(cold) => ColdCapacity::Limited {
            starts_per_s: node.cfg.cold.max_starts_per_s(cold.starts_per_s),
            cold_us: cold.duration_ms * MILLISECOND,
        },
        None => ColdCapacity::Unlimited,
    }
}

/// Handles the registration of the upstream, which reports how much longer it is cold, in
/// milliseconds.
pub fn cold_reported(node: &Node, cold_ms: u64) {
    let now = node.now();
    log_cold_change(node, "registration", || {
        if let Some(home) = node.home.borrow_mut().as_mut() {
            home.cold_reported(now, cold_ms * MILLISECOND);
        }
    });
}

/// Applies a report from `source` and logs when the upstream has become cold or warm because of it.
fn log_cold_change(node: &Node, source: &'static str, apply: impl FnOnce()) {
    let remaining_us = || {
        let now = node.now();
        let home = node.home.borrow();
        home.as_ref()
            .map_or(0, |home| home.cold_limiter().left_us(now))
    };
    let before_us = remaining_us();
    apply();
    let after_us = remaining_us();
    if (before_us > 0) != (after_us > 0) {
        audit::cold_state_changed(after_us, source);
    }
}

/// Starts or ends draining at the home duty when the state has changed, and notifies connected peers.
pub fn update_drain_state(node: &Rc<Node>) {
    let leaving = node.is_draining();
    let now = node.now();
    let was_draining = node.load().leaving;
    if node.home.borrow().is_none() || was_draining == leaving {
        return;
    }
    tracing::info!(leaving, "the upstream's drain state changed");
    with_home(node, |home| {
        if leaving {
            home.start_drain(now)
        } else {
            home.end_drain();
            Vec::new()
        }
    });
    let own = node.cfg.vm.clone();
    node.entry.borrow_mut().set_draining(now, &own, leaving);
    for reply in node.incoming.borrow().values() {
        reply.send(node, Frame::Leaving { leaving });
    }
}

/// Detects that a draining upstream has exited and another has taken its place, by connecting to
/// it. Opening a connection is a measuring act; without a budget for it an operator has to end the
/// drain.
pub async fn run_successor_watch(node: Rc<Node>) {
    let Some(pool) = node.pool.clone() else {
        return;
    };
    let mut has_exited = false;
    loop {
        task::sleep(SUCCESSOR_CHECK_INTERVAL).await;
        if !node.drained_by_upstream.get() {
            has_exited = false;
            continue;
        }
        let now = node.now();
        if !node.gate.borrow_mut().spend(now, Act::CONNECT) {
            continue;
        }
        let is_reachable = pool.can_connect().await;
        if is_reachable && has_exited {
            node.drained_by_upstream.set(false);
            update_drain_state(&node);
        }
        has_exited |= !is_reachable;
    }
}

/// Ticks the home duty, and detects pauses of the process and suspensions of the VM.
pub async fn run_ticks(node: Rc<Node>) {
    let mut suspended_us = 0;
    loop {
        let has_queue = node
            .home
            .borrow()
            .as_ref()
            .is_some_and(|home| home.has_queue());
        task::sleep(if has_queue { QUEUE_TICK } else { IDLE_TICK }).await;
        let suspended_before_us = std::mem::replace(&mut suspended_us, node.clock.suspended_us());
        let suspension_us = suspended_us.saturating_sub(suspended_before_us);
        if suspension_us > MIN_LOGGED_SUSPENSION_US {
            audit::vm_suspended(suspension_us);
        }
        let now = node.now();
        if node.was_paused() {
            boot_record::on_pause(&node);
            with_home(&node, |home| {
                home.paused(now);
                Vec::new()
            });
        }
        node.last_tick.set(now);
        node.buffers.advance(now);
        if node.home.borrow().is_some() {
            with_home(&node, |home| home.tick(now));
        }
    }
}

/// Handles the result of a health probe of the upstream.
pub fn probe_finished(node: &Rc<Node>, result: ProbeResult) {
    let now = node.now();
    let percent_before = node.load().slow_percent;
    log_cold_change(node, "look", || {
        with_home(node, |home| home.probe_finished(now, result));
    });
    let reported = match result {
        ProbeResult::Reported { percent, .. } => percent,
        _ => None,
    };
    if reported.is_some_and(|percent| percent != percent_before) {
        exchange::slowdown_changed(node);
    }
}

/// Lets the home duty decide, if there is one, and performs its actions.
pub fn with_home(node: &Rc<Node>, decide: impl FnOnce(&mut Home<SharedAnswer>) -> Vec<Action>) {
    let actions = match node.home.borrow_mut().as_mut() {
        Some(home) => decide(home),
        None => Vec::new(),
    };
    for action in actions {
        perform(node, action);
    }
}

fn perform(node: &Rc<Node>, action: Action) {
    match action {
        Action::Start(id) => {
            log_decision(node, id, "started", None);
            start(node, id);
        }
        Action::Probe => look::start(node),
        Action::Straggles(id) => straggling::report(node, id),
        Action::Refuse(id, refusal) => {
            stats::attempt_refused(refusal.reason.as_str());
            let is_displaced = |home: &Home<SharedAnswer>| home.is_displaced(id);
            let decision = match node.home.borrow().as_ref().is_some_and(is_displaced) {
                true => "refused for another account",
                false => "refused",
            };
            log_decision(node, id, decision, Some(refusal.reason));
            end_job(node, id, refused_frame(node, id, refusal));
        }
        Action::Revoke(id) => {
            log_decision(node, id, "handed back", None);
            let load = node.load();
            end_job(node, id, Frame::Revoked { id, load });
        }
    }
}

/// Records how long the attempt waited for a slot and how long it took at the upstream.
fn record_latency(node: &Node, job: &Job, frame: &Frame) {
    let outcome = match frame {
        Frame::Answered { .. } => "answered",
        Frame::Broken { .. } => "broken",
        _ => "not-run",
    };
    let service = &job.req.service;
    let now = node.now();
    let waited_until = job.started_at.unwrap_or(now);
    stats::record_latency(
        Stage::Queue,
        service,
        outcome,
        waited_until.since(job.arrived_at),
    );
    if let Some(started) = job.started_at {
        stats::record_latency(Stage::Upstream, service, outcome, now.since(started));
    }
}

fn log_decision(node: &Rc<Node>, id: AttemptId, decision: &str, reason: Option<Reason>) {
    let jobs = node.jobs.borrow();
    let caller_id = jobs.get(&id).map_or("-", |job| job.req.id.as_str());
    let now = node.now();
    let home = node.home.borrow();
    let slowdown_age_us = home.as_ref().and_then(|home| home.slowdown().age_us(now));
    let load = home
        .as_ref()
        .map_or_else(Load::default, |home| home.load(now));
    let account = jobs
        .get(&id)
        .and_then(|job| fair_share_account(node, &job.req));
    let account_load = home.as_ref().map(|home| home.account_load(&account));
    let upstream = jobs.get(&id).and_then(|job| job.upstream.as_ref());
    let decided = AttemptDecision {
        attempt: id,
        decision,
        reason,
        upstream,
        load,
        slowdown_age_us,
        account: account.as_ref().zip(account_load),
    };
    audit::attempt_decided(caller_id, &decided);
}

fn end_job(node: &Rc<Node>, id: AttemptId, frame: Frame) {
    let job = node.jobs.borrow_mut().remove(&id);
    if let Some(job) = job {
        record_latency(node, &job, &frame);
        job.reply.send(node, frame);
    }
}

fn start(node: &Rc<Node>, id: AttemptId) {
    let (tx, rx) = async_channel::bounded(1);
    let now = node.now();
    let job = {
        let mut jobs = node.jobs.borrow_mut();
        let job = jobs.get_mut(&id).expect("a started attempt has a job");
        job.cancel = Some(tx);
        job.started_at = Some(now);
        job.clone()
    };
    if let Some(key) = job.key {
        node.claims.borrow_mut().attempt_started(key, id);
    }
    let node = node.clone();
    local::spawn(async move {
        let work = pin!(exchange::run(&node, id, &job));
        let cancelled = pin!(rx.recv());
        let straggler_watch = pin!(straggling::watch(&node, id));
        let result = match select(select(work, cancelled), straggler_watch).await {
            Either::Left((result, _)) => result,
            Either::Right(((), work)) => work.await,
        };
        match result {
            Either::Left(((verdict, answer), _)) => finish(&node, id, verdict, answer),
            Either::Right(_) => finish(&node, id, Verdict::Cancelled, None),
        }
    });
}

/// Records the end of a running attempt, then sends its result.
fn finish(node: &Rc<Node>, id: AttemptId, verdict: Verdict, answer: Option<Answer>) {
    let now = node.now();
    log_decision(node, id, verdict.as_str(), None);
    if matches!(
        verdict,
        Verdict::Shed | Verdict::NotSent | Verdict::Replaced
    ) {
        let jobs = node.jobs.borrow();
        if let Some(key) = jobs.get(&id).and_then(|job| job.key) {
            node.claims.borrow_mut().attempt_not_run(key, id);
        }
    }
    let req = node.jobs.borrow().get(&id).map(|job| job.req.clone());
    match (verdict, req) {
        (Verdict::Good, Some(req)) => containment::on_local_completion(node, &req),
        (Verdict::Broken | Verdict::Cancelled, Some(req)) => containment::on_abandoned(node, &req),
        _ => {}
    }
    let answer = answer.map(Arc::new);
    let recorded = answer.clone();
    with_home(node, |home| home.completed(now, id, verdict, recorded));
    let load = node.load();
    match answer {
        Some(answer) => {
            let jobs = node.jobs.borrow();
            let leaving = jobs.get(&id).and_then(|job| job.leaving.clone());
            drop(jobs);
            let frame = Frame::Answered {
                id,
                answer,
                load,
                leaving,
            };
            end_job(node, id, frame);
        }
        None => {
            let ended = node.jobs.borrow().get(&id).and_then(|job| job.termination);
            end_job(node, id, Frame::Broken { id, load, ended });
        }
    }
}
