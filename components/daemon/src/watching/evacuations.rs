//! Data halls that operators evacuate: read from the store, reported by other nodes, and applied.
//!
//! `evacuation` decides which evacuations apply. Nodes report them to one another in their
//! summaries, as they do declarations.

use super::{QueryMode, EVACUATIONS_WATCH_WAIT};
use crate::home_driver;
use crate::links;
use crate::node::Node;
use crate::registration::{self, Registration};
use crate::store::platform_call;
use audit::stats;
use audit::Purpose;
use errors::Result;
use evacuation::Evacuated;
use names::Name;
use platform::{Consistency, WatchOutcome};
use std::rc::Rc;
use std::time::Duration;
use wire::Frame;

/// Queries the store for the evacuated halls. A node that starts learns them from other nodes when
/// they connect.
pub async fn query(node: &Rc<Node>, mode: QueryMode) -> Result<()> {
    let Some(registration) = node.registration.clone() else {
        return Ok(());
    };
    let wait = match mode {
        QueryMode::Startup => return Ok(()),
        QueryMode::Now => Duration::ZERO,
        QueryMode::LongPoll => EVACUATIONS_WATCH_WAIT,
    };
    let era = registration.eras.borrow().known();
    let as_of = registration.evacuations.borrow().as_of();
    let Some(after) = as_of.filter(|as_of| as_of.era == era) else {
        return list(node, &registration).await;
    };
    let kind = registration.adapter.evacuation_kind();
    let watch = registration.adapter.store();
    let watch = watch.watch(kind, after.revision, wait);
    let watched = platform_call(node, Purpose::Watch, watch).await?;
    if registration.eras.borrow().known() != after.era {
        return list(node, &registration).await;
    }
    let WatchOutcome::Changes {
        at,
        changed,
        removed,
    } = watched
    else {
        return list(node, &registration).await;
    };
    let evacuated = changed.into_iter().map(|object| object.name);
    let now = node.now();
    let is_changed = registration
        .evacuations
        .borrow_mut()
        .apply_changes(now, at, evacuated, &removed);
    if is_changed {
        on_change(node, &registration, None);
    }
    Ok(())
}

async fn list(node: &Rc<Node>, registration: &Rc<Registration>) -> Result<()> {
    let kind = registration.adapter.evacuation_kind();
    let list = registration.adapter.store().list(kind, Consistency::Latest);
    let listing = platform_call(node, Purpose::Evacuations, list).await?;
    let evacuated = Evacuated {
        as_of: listing.at,
        halls: listing
            .objects
            .into_iter()
            .map(|object| object.name)
            .collect(),
    };
    apply(node, registration, evacuated, None);
    Ok(())
}

/// Applies the evacuations that another node reports. Returns whether this node knows newer ones.
pub fn on_report(node: &Rc<Node>, from: &Name, theirs: Option<&Evacuated>) -> bool {
    let Some(registration) = node.registration.clone() else {
        return false;
    };
    if let Some(theirs) = theirs {
        apply(node, &registration, theirs.clone(), Some(from));
    }
    let evacuations = registration.evacuations.borrow();
    evacuations.is_newer_than(theirs)
}

fn apply(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    evacuated: Evacuated,
    from: Option<&Name>,
) {
    let now = node.now();
    let is_changed = registration.evacuations.borrow_mut().apply(now, evacuated);
    if is_changed {
        on_change(node, registration, from);
    }
}

/// Handles a change of the evacuated halls: updates the drain state of the local upstream and
/// notifies other nodes. A change that was reported by a node of the own hall is not forwarded.
fn on_change(node: &Rc<Node>, registration: &Registration, from: Option<&Name>) {
    let now = node.now();
    {
        let evacuations = registration.evacuations.borrow();
        let halls = evacuations.halls(now);
        audit::halls_evacuated(&halls, evacuations.as_of(), from);
        stats::set_gauge("drumwheel_halls_evacuated", halls.len() as f64);
    }
    home_driver::update_drain_state(node);
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
