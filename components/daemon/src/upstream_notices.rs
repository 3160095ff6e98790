//! What the upstream beside this node says of itself in the headers of its answers.

use crate::node::{Node, Whole};
use audit::stats;
use home::{Home, Offer};
use names::{Moment, Name};
use notices::HeaderNames;
use settings::Headers;
use wire::Answer;

/// Takes in what an answer to the request `id` says.
pub fn take_in(node: &Node, id: &str, answer: &Answer) {
    let (notice, problems) = notices::read(&answer.headers, &header_names(&node.cfg.headers));
    for problem in &problems {
        audit::bad_notice(id, problem);
    }
    limit_told(node, id, "answer", |home, now| {
        home.limit_noticed(now, notice.rate)
    });
}

/// Takes in what the node `from` knows of the upstream's limit, which an earlier run of this node has told it.
pub fn recalled(node: &Node, from: &Name, offer: &Offer) {
    if offer.known_limit.is_some() {
        let id = offer.id.to_string();
        limit_told(node, &id, from.as_str(), |home, now| {
            home.limit_recalled(now, offer)
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
    take_in: impl FnOnce(&mut Home<Whole>, Moment) -> bool,
) {
    let now = node.now();
    let before = node.load().request_limit;
    let is_changed = match node.home.borrow_mut().as_mut() {
        Some(home) => take_in(home, now),
        None => false,
    };
    if is_changed {
        let limit = node.load().request_limit;
        audit::request_limit(id, source, before, limit);
        stats::request_limit(limit);
    }
}
