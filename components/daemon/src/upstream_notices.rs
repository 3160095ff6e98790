//! What the upstream beside this node says of itself in the headers of its answers.

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

/// Takes in what an answer to the request `id` says of the upstream's limit. Gives all that it says.
pub fn on_answer(node: &Node, id: &str, answer: &Answer) -> Notice {
    let (notice, problems) = notices::read(&answer.headers, &header_names(&node.cfg.headers));
    for problem in &problems {
        audit::bad_notice(id, problem);
    }
    limit_told(node, id, "answer", |home, now| {
        home.limit_advertised(now, notice.rate)
    });
    notice
}

/// Takes in that the start of the upstream that answered the attempt `id` leaves, and notes it for the entry node, which
/// has to remember it also when this node is gone.
pub fn on_departure(
    node: &Rc<Node>,
    id: AttemptId,
    registration: &Registration,
    incarnation: &Incarnation,
) {
    if let Some(job) = node.jobs.borrow_mut().get_mut(&id) {
        job.leaving = Some(incarnation.clone());
    }
    let is_news = registration.local.borrow_mut().on_drain(incarnation);
    if is_news {
        audit::drain_advertised(incarnation, &node.cfg.vm);
        registration::on_local_change(node, registration, PriorStarts::None);
    }
}

/// Takes in that an answer that came through the node on `vm` said that its upstream leaves.
pub fn on_remote_departure(node: &Node, vm: &Name, incarnation: &Incarnation) {
    let Some(registration) = &node.registration else {
        return;
    };
    let mut fleet = registration.fleet.borrow_mut();
    let is_news = fleet.set_upstream_draining(vm, incarnation);
    if is_news && *vm != node.cfg.vm {
        audit::drain_advertised(incarnation, vm);
    }
}

/// Takes in what the node `from` knows of the upstream's limit, which an earlier run of this node has told it.
pub fn restore_limit(node: &Node, from: &Name, offer: &Offer) {
    if offer.known_limit.is_some() {
        let id = offer.id.to_string();
        limit_told(node, &id, from.as_str(), |home, now| {
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

fn limit_told(
    node: &Node,
    id: &str,
    source: &str,
    take_in: impl FnOnce(&mut Home<SharedAnswer>, Moment) -> bool,
) {
    let mut home = node.home.borrow_mut();
    let Some(home) = home.as_mut() else {
        return;
    };
    let before = home.request_limit();
    if take_in(home, node.now()) {
        let limit = home.request_limit();
        audit::request_limit(id, source, before, limit);
        stats::request_limit(limit);
    }
}
