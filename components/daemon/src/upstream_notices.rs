//! Notices that the local upstream gives in the headers of its answers: its request limit and its
//! departure.

use crate::node::{Node, SharedAnswer};
use crate::registration::{self, Registration};
use audit::stats;
use home::{Home, Offer, PriorStarts};
use names::{AttemptId, Moment, Name};
use notices::{HeaderNames, Notice};
use registry::Incarnation;
use settings::Headers;
use std::rc::Rc;
use wire::Answer;

/// Applies the request limit that the answer to the request `id` advertises. Returns all notices of
/// the answer.
pub fn on_answer(node: &Node, id: &str, answer: &Answer) -> Notice {
    let (notice, problems) = notices::read(&answer.headers, &header_names(&node.cfg.headers));
    for problem in &problems {
        audit::bad_notice(id, problem);
    }
    update_limit(node, id, "answer", |home, now| {
        home.limit_advertised(now, notice.rate)
    });
    notice
}

/// Handles the departure notice of the incarnation that answered the attempt `id`. It is also kept
/// in the job for the entry node, which has to remember it when this node is gone.
pub fn on_departure(
    node: &Rc<Node>,
    id: AttemptId,
    registration: &Registration,
    incarnation: &Incarnation,
) {
    if let Some(job) = node.jobs.borrow_mut().get_mut(&id) {
        job.leaving = Some(incarnation.clone());
    }
    let is_new = registration.local.borrow_mut().on_drain(incarnation);
    if is_new {
        audit::drain_advertised(incarnation, &node.cfg.vm);
        registration::on_local_change(node, registration, PriorStarts::None);
    }
}

/// Handles the departure notice in an answer that arrived through the node on `vm`.
pub fn on_remote_departure(node: &Node, vm: &Name, incarnation: &Incarnation) {
    let Some(registration) = &node.registration else {
        return;
    };
    let mut fleet = registration.fleet.borrow_mut();
    let is_new = fleet.set_upstream_draining(vm, incarnation);
    if is_new && *vm != node.cfg.vm {
        audit::drain_advertised(incarnation, vm);
    }
}

/// Restores the upstream's limit from what the node `from` knows of it: an earlier boot of this
/// node has reported it there.
pub fn restore_limit(node: &Node, from: &Name, offer: &Offer) {
    if offer.known_limit.is_some() {
        let id = offer.id.to_string();
        update_limit(node, &id, from.as_str(), |home, now| {
            home.limit_restored(now, offer)
        });
    }
}

fn header_names(headers: &Headers) -> HeaderNames<'_> {
    HeaderNames {
        request_limit: headers.request_limit.as_deref(),
        leaving: headers.leaving.as_deref(),
    }
}

fn update_limit(
    node: &Node,
    id: &str,
    source: &str,
    apply: impl FnOnce(&mut Home<SharedAnswer>, Moment) -> bool,
) {
    let mut home = node.home.borrow_mut();
    let Some(home) = home.as_mut() else {
        return;
    };
    let before = home.request_limit();
    if apply(home, node.now()) {
        let limit = home.request_limit();
        audit::request_limit(id, source, before, limit);
        stats::request_limit(limit);
    }
}
