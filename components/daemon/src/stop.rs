//! The planned stop of a node.

use crate::boot_record;
use crate::home_driver;
use crate::node::Node;
use crate::registration;
use async_std::prelude::*;
use async_std::task;
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::rc::Rc;
use std::time::Duration;

/// Callers' connections stay open so long after the upstream was left; each answer asks to close.
const GRACE: Duration = Duration::from_millis(1_000);
/// Part of the longest time of a stop that is left for its end.
const END_PART: f64 = 0.1;
/// Time between two looks whether everything has ended.
const LOOK: Duration = Duration::from_millis(20);
/// Longest wait for the platform to take this node's record out; others bear with one that stays.
const WITHDRAW_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for the platform to take the keys.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);

/// Catches stop signals from now on.
pub fn signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT])
}

/// Waits for a stop signal, then ends the node's work; returns when it may exit.
pub async fn run(node: Rc<Node>, mut signals: Signals) {
    signals.next().await;
    stop(&node).await;
}

async fn stop(node: &Rc<Node>) {
    let limit_ms = node.live.borrow().stop_wait_ms;
    let limit = Duration::from_millis(limit_ms).mul_f64(1.0 - END_PART);
    let linger = Duration::from_millis(node.cfg.linger_ms);
    tracing::info!(
        ?linger,
        ?limit,
        open = node.open_calls.get(),
        "a planned stop begins"
    );
    let began = node.now();
    node.stopping.set(true);
    task::sleep(linger).await;
    node.drained_by_stop.set(true);
    home_driver::update_drain_state(node);
    if let Some(registration) = &node.registration {
        registration::publish(node, registration);
    }
    task::sleep(GRACE).await;
    // Callers that have not noticed by now would keep the stop from ever ending.
    node.closing.set(true);
    tracing::info!(
        open = node.open_calls.get(),
        "no further requests are taken"
    );
    let until = began + limit.as_micros() as u64;
    while !is_idle(node) && node.now() < until {
        task::sleep(LOOK).await;
    }
    let left = node.open_calls.get();
    let idle = is_idle(node);
    match &node.registration {
        Some(registration) => registration::withdraw(node, registration, WITHDRAW_LIMIT).await,
        None => hand_over(node).await,
    }
    if idle {
        tracing::info!("the planned stop is complete");
    } else {
        tracing::warn!(left, "the planned stop ran out of time");
    }
}

async fn hand_over(node: &Rc<Node>) {
    let handed = async_std::future::timeout(HAND_OVER_LIMIT, boot_record::save_keys(node)).await;
    match handed {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::warn!(%error, "the keys were not handed over"),
        Err(_) => tracing::warn!("the keys were not handed over in time"),
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
