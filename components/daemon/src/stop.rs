//! Planned stop of a node.

use crate::boot_record;
use crate::home_driver;
use crate::node::Node;
use crate::registration;
use async_std::prelude::*;
use async_std::task;
use audit::Unfinished;
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::rc::Rc;
use std::time::Duration;

/// After the upstream gets no new work, callers' connections are kept open for this long; each
/// answer asks to close.
const CLOSE_GRACE: Duration = Duration::from_millis(1_000);
/// Fraction of the maximum duration of a stop that is reserved for its last steps.
const CLEANUP_FRACTION: f64 = 0.1;
/// Interval of checks for whether all requests have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for removing this node's record from the platform. Other nodes tolerate a record that is
/// left there.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for writing the idempotency keys to the platform.
const SAVE_KEYS_TIMEOUT: Duration = Duration::from_secs(3);

/// Installs the handler of stop signals.
pub fn signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT])
}

/// Waits for a stop signal and then ends the node's work. Returns when the process may exit.
pub async fn run(node: Rc<Node>, mut signals: Signals) {
    signals.next().await;
    stop(&node).await;
}

async fn stop(node: &Rc<Node>) {
    let limit_ms = node.live.borrow().stop_wait_ms;
    let limit = Duration::from_millis(limit_ms).mul_f64(1.0 - CLEANUP_FRACTION);
    let linger = Duration::from_millis(node.cfg.linger_ms);
    tracing::info!(
        ?linger,
        ?limit,
        open = node.open_calls.get(),
        "planned stop started"
    );
    let started = node.now();
    node.stopping.set(true);
    task::sleep(linger).await;
    node.drained_by_stop.set(true);
    home_driver::update_drain_state(node);
    if let Some(registration) = &node.registration {
        registration::publish(node, registration);
    }
    task::sleep(CLOSE_GRACE).await;
    // Callers that still send requests on open connections would keep the stop from ending.
    node.closing.set(true);
    tracing::info!(
        open = node.open_calls.get(),
        "no further requests are accepted"
    );
    let deadline = started + limit.as_micros() as u64;
    while !is_idle(node) && node.now() < deadline {
        task::sleep(IDLE_CHECK_INTERVAL).await;
    }
    let left = node.open_calls.get();
    let idle = is_idle(node);
    match &node.registration {
        Some(registration) => registration::withdraw(node, registration, WITHDRAW_TIMEOUT).await,
        None => save_keys_in_time(node).await,
    }
    if idle {
        tracing::info!("planned stop complete");
    } else {
        log_unfinished(node);
        tracing::warn!(left, "planned stop timed out with work in progress");
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

async fn save_keys_in_time(node: &Rc<Node>) {
    let result = async_std::future::timeout(SAVE_KEYS_TIMEOUT, boot_record::save_keys(node)).await;
    match result {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::warn!(%error, "the idempotency keys were not saved"),
        Err(_) => tracing::warn!("saving the idempotency keys timed out"),
    }
}

fn is_idle(node: &Rc<Node>) -> bool {
    let home_idle = node
        .home
        .borrow()
        .as_ref()
        .is_none_or(|home| home.is_idle());
    home_idle && node.open_calls.get() == 0
}
