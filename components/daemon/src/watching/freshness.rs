//! How old what is in force may be, as far as this node knows: notes it, passes it on, and says when it becomes
//! stale.

use crate::links;
use crate::node::Node;
use crate::registration;
use crate::store;
use names::{Moment, Name, MILLISECOND};
use rollout::Summary;
use std::rc::Rc;
use wire::Frame;

/// The platform held nothing newer at `as_of`, as it said itself. Returns whether that holds for what is in force
/// here: not while something newer is still being checked.
pub fn confirmed(node: &Node, as_of: Moment) -> bool {
    if node.rollout.borrow().newest_revision() > node.rollout.borrow().revision() {
        return false;
    }
    node.watch.borrow_mut().on_confirmed(as_of);
    note(node);
    true
}

/// Tells other halls that what is in force here was confirmed a moment ago, so that one look serves the fleet.
pub fn tell_other_halls(node: &Rc<Node>) {
    if let Some(registration) = &node.registration {
        let frame = Frame::Summary(node.summary());
        registration::send_to_other_halls(node, registration, &frame);
    }
}

/// Another node that holds the same as this one told when that was confirmed. What comes from another hall is
/// passed on in this one, with its age.
pub fn on_confirmation(node: &Rc<Node>, from: &Name, theirs: &Summary) {
    let Some(age_us) = theirs.confirmed_us_ago else {
        return;
    };
    let now = node.now();
    if age_us > now.0 || theirs.era != store::known_era(node) {
        // Before this node ran, or of an era of the store that is over.
        return;
    }
    let before_us = node.watch.borrow().age_us(now);
    node.watch.borrow_mut().on_confirmed(Moment(now.0 - age_us));
    note(node);
    let period_us = node.watch.borrow().notice_interval_us();
    let is_news = before_us.is_none_or(|before_us| before_us > age_us + period_us);
    let is_far = node.hall_of(from).is_some_and(|hall| hall != node.cfg.hall);
    if is_news && is_far {
        links::broadcast_to_connected(node, &Frame::Summary(node.summary()));
    }
}

/// Writes a line when what is in force becomes stale, and when it is confirmed again.
pub fn note(node: &Node) {
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
