//! Planned stop of a node.

use crate::boot_record;
use crate::entry_driver;
use crate::home_driver;
use crate::local;
use crate::node::Node;
use crate::registration;
use crate::reload::Reloader;
use async_std::prelude::*;
use async_std::task;
use audit::Unfinished;
use futures_util::future::join;
use names::{Moment, MILLISECOND};
use shutdown::{Limits, Plan};
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::rc::Rc;
use std::time::Duration;

/// Interval of checks for whether all requests have ended, and for attempts to revoke.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for removing this node's record from the platform. Other nodes tolerate a record that is
/// left there.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Installs the handler of stop signals.
pub fn signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT])
}

/// Waits for a stop signal and then ends the node's work. Returns when the process may exit. Further
/// signals change nothing.
pub async fn run(node: Rc<Node>, mut signals: Signals, reloader: &Reloader) {
    signals.next().await;
    // The settings may have changed since they were read last.
    reloader.reload(false);
    stop(&node).await;
}

async fn stop(node: &Rc<Node>) {
    let plan = begin(node);
    local::spawn(run_revocations(node.clone(), plan));
    wait_until(node, plan.drain()).await;
    drain(node);
    wait_until(node, plan.intake_end()).await;
    tracing::info!(
        open = node.open_calls.get(),
        "requests that would prolong the stop are refused"
    );
    wait_for(node, has_no_work, plan.cleanup()).await;
    node.close_intake();
    // The last steps fit into the grace period also when work is still in progress.
    let (_, is_complete) = join(clean_up(node, &plan), wait_for(node, is_idle, plan.exit())).await;
    if is_complete {
        tracing::info!("planned stop complete");
    } else {
        log_unfinished(node);
        let left = node.open_calls.get();
        tracing::warn!(left, "planned stop timed out with work in progress");
    }
}

/// Makes the plan of the stop from the settings in force.
fn begin(node: &Rc<Node>) -> Plan {
    let now = node.now();
    let limits = {
        let live = node.live.borrow();
        Limits {
            grace_us: live.stop_wait_ms * MILLISECOND,
            linger_us: live.linger_ms * MILLISECOND,
        }
    };
    let plan = Plan::new(now, limits);
    node.begin_shutdown(plan);
    home_driver::with_home(node, |home| home.begin_shutdown(now, plan));
    tracing::info!(
        grace_ms = limits.grace_us / MILLISECOND,
        linger_ms = limits.linger_us / MILLISECOND,
        work_ms = plan.work_end().since(now) / MILLISECOND,
        open = node.open_calls.get(),
        "planned stop started"
    );
    plan
}

/// Gives the upstream no new work from now on.
fn drain(node: &Rc<Node>) {
    node.drained_by_stop.set(true);
    home_driver::update_drain_state(node);
    if let Some(registration) = &node.registration {
        registration::publish(node, registration);
    }
}

async fn wait_until(node: &Node, moment: Moment) {
    task::sleep(node.clock.time_until(moment)).await;
}

/// Waits until `is_done`, until `deadline` at the latest. Returns whether it is.
async fn wait_for(node: &Node, is_done: fn(&Node) -> bool, deadline: Moment) -> bool {
    while !is_done(node) {
        if node.now() >= deadline {
            return false;
        }
        task::sleep(CHECK_INTERVAL).await;
    }
    true
}

/// Revokes the attempts of this node that could not end before the stop, until the process exits.
async fn run_revocations(node: Rc<Node>, plan: Plan) {
    loop {
        entry_driver::revoke_unfinishable(&node, &plan);
        task::sleep(CHECK_INTERVAL).await;
    }
}

/// The last steps of the stop: removes this node's record from the platform, or saves the
/// idempotency keys for its successor.
async fn clean_up(node: &Rc<Node>, plan: &Plan) {
    let limit = node.clock.time_until(plan.exit());
    match &node.registration {
        Some(registration) => {
            registration::withdraw(node, registration, limit.min(WITHDRAW_TIMEOUT)).await
        }
        None => save_keys_in_time(node, limit).await,
    }
}

async fn save_keys_in_time(node: &Rc<Node>, limit: Duration) {
    let result = async_std::future::timeout(limit, boot_record::save_keys(node)).await;
    match result {
        // Keys that were granted from now on would be missing in the saved ones.
        Ok(Ok(())) => boot_record::suspend_grants(node),
        Ok(Err(error)) => tracing::warn!(%error, "the idempotency keys were not saved"),
        Err(_) => tracing::warn!("saving the idempotency keys timed out"),
    }
}

/// Logs the attempts that end because the process exits.
fn log_unfinished(node: &Node) {
    let now = node.now();
    for (id, waiter) in node.waiters.borrow().iter() {
        audit::stop_interrupts(&Unfinished {
            attempt: *id,
            duty: "entry",
            service: &waiter.service,
            vm: &waiter.vm,
            age_us: now.since(waiter.offered_at),
            run_us: None,
        });
    }
    for (id, job) in node.jobs.borrow().iter() {
        audit::stop_interrupts(&Unfinished {
            attempt: *id,
            duty: "home",
            service: &job.req.service,
            vm: &node.cfg.vm,
            age_us: now.since(job.arrived_at),
            run_us: job.started_at.map(|at| now.since(at)),
        });
    }
}

/// Whether no accepted work is in progress. Requests whose body is still arriving are not accepted
/// yet.
fn has_no_work(node: &Node) -> bool {
    is_home_idle(node) && node.open_calls.get() == node.incomplete_requests.get()
}

/// Whether no request is in progress.
fn is_idle(node: &Node) -> bool {
    is_home_idle(node) && node.open_calls.get() == 0
}

fn is_home_idle(node: &Node) -> bool {
    let home = node.home.borrow();
    home.as_ref().is_none_or(|home| home.is_idle())
}
