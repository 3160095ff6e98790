//! How old what is in force may be, as far as this node knows: notes it, and says when it becomes stale.

use crate::node::Node;
use names::{Moment, MILLISECOND};
use rollout::Summary;

/// The platform held nothing newer at `as_of`, as it said itself.
pub fn confirmed(node: &Node, as_of: Moment) {
    if node.rollout.borrow().newest() > node.rollout.borrow().revision() {
        // Something newer came and is still being checked.
        return;
    }
    node.watch.borrow_mut().confirmed(as_of);
    note(node);
}

/// Another node that holds the same as this one told when that was confirmed.
pub fn confirmed_by(node: &Node, theirs: &Summary) {
    let Some(age_us) = theirs.confirmed_us_ago else {
        return;
    };
    let now = node.now();
    if age_us > now.0 {
        return;
    }
    node.watch.borrow_mut().confirmed(Moment(now.0 - age_us));
    note(node);
}

/// Writes a line when what is in force becomes stale, and when it is confirmed again.
pub fn note(node: &Node) {
    let now = node.now();
    let (is_stale, age_us, watchers) = {
        let watch = node.watch.borrow();
        (watch.is_stale(now), watch.age_us(now), watch.watchers(now))
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
