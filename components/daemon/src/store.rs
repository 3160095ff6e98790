//! Calls to the platform's store, and its eras: who sees a new one tells the others, and what belongs to the one before
//! counts no more.
//!
//! `era` decides; here it is told and written down.

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

/// Makes a call, counts it and writes a line.
pub async fn platform_call<T>(
    node: &Rc<Node>,
    purpose: Purpose,
    call: impl Future<Output = Result<T>>,
) -> Result<T> {
    let began = node.now();
    let ended = call.await;
    let took_us = node.now().since(began);
    stats::platform_called(purpose, ended.is_ok());
    answered(node);
    audit::platform_called(purpose, took_us, ended.as_ref().err());
    ended
}

/// Highest era of the store that is known; none where it tells none.
pub fn known_era(node: &Node) -> Option<Era> {
    let registration = node.registration.as_ref()?;
    let eras = registration.eras.borrow();
    eras.known()
}

/// Up to where the declarations were read in the present era.
pub fn read_position(node: &Node) -> Option<Position> {
    let registration = node.registration.as_ref()?;
    let eras = registration.eras.borrow();
    eras.position()
}

/// Takes in the era that the store's answers tell, after a call to it.
fn answered(node: &Rc<Node>) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    if let Some(era) = registration.adapter.store().era() {
        saw(node, &registration, era, None);
    }
}

/// Takes in the era that another node knows.
pub fn on_summary(node: &Rc<Node>, from: &Name, theirs: &Summary) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    if let Some(era) = theirs.era {
        saw(node, &registration, era, Some(from));
    }
}

fn saw(node: &Rc<Node>, registration: &Registration, era: Era, from: Option<&Name>) {
    let place = registration.eras.borrow().position();
    let seen = registration.eras.borrow_mut().observe(node.now(), era);
    match seen {
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
            audit::store_restored(before, era, from, place, wait_us);
            // What was confirmed before says nothing of what the store holds now.
            node.watch.borrow_mut().clear_confirmation();
            tell(node, registration, from);
            registration::schedule_offer(registration);
        }
    }
}

/// Tells the others: who saw it itself tells this hall and one node of each other hall, which tells its own. A node of
/// this hall that told it has told the whole hall.
fn tell(node: &Rc<Node>, registration: &Registration, from: Option<&Name>) {
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
