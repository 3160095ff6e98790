//! Age of the revision in force, as far as this node knows: records confirmations, forwards them,
//! and logs when the revision becomes stale.

use crate::links;
use crate::node::Node;
use crate::registration;
use crate::store;
use names::{Moment, Name, MILLISECOND};
use rollout::Summary;
use std::rc::Rc;
use wire::Frame;

/// Records that the platform had nothing newer at `as_of`. Returns whether that confirms the
/// revision in force: not while a newer one is still being checked.
pub fn confirmed(node: &Node, as_of: Moment) -> bool {
    if node.rollout.borrow().newest_revision() > node.rollout.borrow().revision() {
        return false;
    }
    node.watch.borrow_mut().on_confirmed(as_of);
    update_staleness(node);
    true
}

/// Notifies other halls that the revision in force was confirmed recently, so that one query serves
/// the fleet.
pub fn notify_other_halls(node: &Rc<Node>) {
    if let Some(registration) = &node.registration {
        let frame = Frame::Summary(node.summary());
        registration::send_to_other_halls(node, registration, &frame);
    }
}

/// Handles a report, by a node with the same state as this one, of when that state was confirmed. A
/// report from another hall is forwarded within this one, with its age.
pub fn on_confirmation(node: &Rc<Node>, from: &Name, theirs: &Summary) {
    let Some(age_us) = theirs.confirmed_us_ago else {
        return;
    };
    let now = node.now();
    if age_us > now.0 || theirs.era != store::known_era(node) {
        // Confirmed before this process started, or in another era of the store.
        return;
    }
    let before_us = node.watch.borrow().age_us(now);
    node.watch.borrow_mut().on_confirmed(Moment(now.0 - age_us));
    update_staleness(node);
    let interval_us = node.watch.borrow().notice_interval_us();
    let is_newer = before_us.is_none_or(|before_us| before_us > age_us + interval_us);
    let is_cross_hall = node.hall_of(from).is_some_and(|hall| hall != node.cfg.hall);
    if is_newer && is_cross_hall {
        links::broadcast_to_connected(node, &Frame::Summary(node.summary()));
    }
}

/// Updates whether the revision in force is stale, and logs each change.
pub fn update_staleness(node: &Node) {
    let now = node.now();
    let (is_stale, age_us, watchers) = {
        let watch = node.watch.borrow();
        (
            watch.is_stale(now),
            watch.age_us(now),
            watch.active_watcher_count(now),
        )
    };
    let mut state = node.platform_state.borrow_mut();
    if state.is_stale == is_stale {
        return;
    }
    state.is_stale = is_stale;
    let age_ms = age_us.map(|age_us| age_us / MILLISECOND);
    let revision = node.rollout.borrow().revision();
    if is_stale {
        tracing::info!(
            revision,
            age_ms,
            watchers,
            "what is in force is not confirmed"
        );
    } else {
        tracing::info!(revision, age_ms, watchers, "what is in force is confirmed");
    }
}
