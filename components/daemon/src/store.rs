//! Calls to the platform's store, and its eras: a node that observes a new era notifies the others,
//! and state that belongs to the previous era becomes invalid.
//!
//! `era` decides; this module sends the notifications and writes the log and metrics.

use crate::links;
use crate::node::Node;
use crate::registration::{self, Registration};
use audit::{stats, Purpose};
use era::{Era, EraOrder, Position};
use errors::Result;
use names::Name;
use rollout::Summary;
use std::future::Future;
use std::rc::Rc;
use wire::Frame;

/// Makes a call, counts it and logs it.
pub async fn platform_call<T>(
    node: &Rc<Node>,
    purpose: Purpose,
    call: impl Future<Output = Result<T>>,
) -> Result<T> {
    let started_at = node.now();
    let result = call.await;
    let took_us = node.now().since(started_at);
    stats::platform_called(purpose, result.is_ok());
    observe_store_era(node);
    audit::platform_called(purpose, took_us, result.as_ref().err());
    result
}

/// Highest known era of the store; none if the store reports none.
pub fn known_era(node: &Node) -> Option<Era> {
    let registration = node.registration.as_ref()?;
    let eras = registration.eras.borrow();
    eras.known()
}

/// Position up to which the declarations were read in the current era.
pub fn read_position(node: &Node) -> Option<Position> {
    let registration = node.registration.as_ref()?;
    let eras = registration.eras.borrow();
    eras.position()
}

/// Observes the era that the store has reported in its answers.
fn observe_store_era(node: &Rc<Node>) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    if let Some(era) = registration.adapter.store().era() {
        observe(node, &registration, era, None);
    }
}

/// Observes the era in another node's summary.
pub fn on_summary(node: &Rc<Node>, from: &Name, theirs: &Summary) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    if let Some(era) = theirs.era {
        observe(node, &registration, era, Some(from));
    }
}

fn observe(node: &Rc<Node>, registration: &Registration, era: Era, from: Option<&Name>) {
    let position = registration.eras.borrow().position();
    let order = registration.eras.borrow_mut().observe(node.now(), era);
    match order {
        EraOrder::Same | EraOrder::Earlier => {}
        EraOrder::First => {
            registration.adapter.store().observe_era(era);
            stats::set_gauge("drumwheel_store_era", era.0 as f64);
            tracing::info!(%era, "the store's era is known");
        }
        EraOrder::Later { from: before } => {
            registration.adapter.store().observe_era(era);
            stats::set_gauge("drumwheel_store_era", era.0 as f64);
            stats::store_restored();
            let offer_at = registration.eras.borrow().offer_at();
            let wait_us = offer_at.map_or(0, |at| at.since(node.now()));
            audit::store_restored(before, era, from, position, wait_us);
            // A confirmation from before the restore says nothing about the present content of the
            // store.
            node.watch.borrow_mut().clear_confirmation();
            notify_nodes(node, registration, from);
            registration::schedule_offer(registration);
        }
    }
}

/// Notifies other nodes of a new era. A node that learned it from the store notifies its own hall
/// and one node of each other hall, which notifies that hall. If a node of the own hall reported
/// it, that node has notified the entire hall.
fn notify_nodes(node: &Rc<Node>, registration: &Registration, from: Option<&Name>) {
    let frame = Frame::Summary(node.summary());
    match from {
        None => {
            links::broadcast_to_connected(node, &frame);
            registration::send_to_other_halls(node, registration, &frame);
        }
        Some(vm) if node.hall_of(vm).is_some_and(|hall| hall != node.cfg.hall) => {
            links::broadcast_to_connected(node, &frame);
        }
        Some(_) => {}
    }
}
