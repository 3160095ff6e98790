//! What the upstream beside this node says of itself in the headers of its answers.

use crate::node::Node;
use audit::stats;
use notices::{HeaderNames, RateNotice};
use settings::Headers;
use wire::Answer;

/// Takes in what an answer to the request `id` says.
pub fn take_in(node: &Node, id: &str, answer: &Answer) {
    let (notice, problems) = notices::read(&answer.headers, &header_names(&node.cfg.headers));
    for problem in &problems {
        audit::bad_notice(id, problem);
    }
    limit_noticed(node, id, notice.rate);
}

fn header_names(headers: &Headers) -> HeaderNames<'_> {
    HeaderNames {
        request_limit: headers.request_limit.as_deref(),
        leaving: headers.leaving.as_deref(),
    }
}

fn limit_noticed(node: &Node, id: &str, notice: RateNotice) {
    let now = node.now();
    let before = node.load().request_limit;
    let is_changed = match node.home.borrow_mut().as_mut() {
        Some(home) => home.limit_noticed(now, notice),
        None => false,
    };
    if is_changed {
        let limit = node.load().request_limit;
        audit::request_limit(id, before, limit);
        stats::request_limit(limit);
    }
}
