//! Data halls that operators evacuate: read in the store, told by other nodes, and carried out.
//!
//! `evacuation` decides what holds. What is known travels with each summary, as declarations are told of.

use super::{Manner, EVACUATIONS_WATCH};
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

/// Asks the store which halls are evacuated. A node that starts leaves that to the others, which tell it as they meet.
pub async fn look(node: &Rc<Node>, manner: Manner) -> Result<()> {
    let Some(registration) = node.registration.clone() else {
        return Ok(());
    };
    let wait = match manner {
        Manner::Start => return Ok(()),
        Manner::Now => Duration::ZERO,
        Manner::Wait => EVACUATIONS_WATCH,
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
    let is_news = registration
        .evacuations
        .borrow_mut()
        .apply_changes(now, at, evacuated, &removed);
    if is_news {
        carry_out(node, &registration, None);
    }
    Ok(())
}

async fn list(node: &Rc<Node>, registration: &Rc<Registration>) -> Result<()> {
    let kind = registration.adapter.evacuation_kind();
    let list = registration.adapter.store().list(kind, Consistency::Latest);
    let listing = platform_call(node, Purpose::Evacuations, list).await?;
    let told = Evacuated {
        as_of: listing.at,
        halls: listing
            .objects
            .into_iter()
            .map(|object| object.name)
            .collect(),
    };
    take(node, registration, told, None);
    Ok(())
}

/// Takes in what another node knows. Returns whether this node knows something newer.
pub fn on_report(node: &Rc<Node>, from: &Name, theirs: Option<&Evacuated>) -> bool {
    let Some(registration) = node.registration.clone() else {
        return false;
    };
    if let Some(theirs) = theirs {
        take(node, &registration, theirs.clone(), Some(from));
    }
    let evacuations = registration.evacuations.borrow();
    evacuations.is_newer_than(theirs)
}

fn take(node: &Rc<Node>, registration: &Rc<Registration>, told: Evacuated, from: Option<&Name>) {
    let now = node.now();
    let is_news = registration.evacuations.borrow_mut().apply(now, told);
    if is_news {
        carry_out(node, registration, from);
    }
}

/// Other halls are evacuated than before: the upstream beside this node follows, and others are told. Who learned it
/// from its own hall need not tell that again.
fn carry_out(node: &Rc<Node>, registration: &Registration, from: Option<&Name>) {
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
