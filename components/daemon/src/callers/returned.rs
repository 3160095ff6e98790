//! Recognises callers that were refused and try again.

use super::request::CallerRequest;
use crate::activation;
use crate::node::Node;
use audit::stats;
use names::{Moment, MILLISECOND};
use quarantine::Fingerprint;
use wire::RelayOutcome;

/// Longest time for which a refused request is remembered, in milliseconds, whatever its caller says: a caller with a
/// long deadline must not fill the table.
const MOST_DEADLINE_MS: u64 = 60_000;

/// One try of a caller, where the objective runs from the first.
#[derive(Debug, Clone, Copy)]
pub struct Try {
    request: Fingerprint,
    /// When the caller first tried.
    pub first_at: Moment,
    /// Whether this is a later try.
    pub is_retry: bool,
    /// When the caller gives up.
    deadline: Moment,
}

/// Looks whether the caller of a request was refused before; none where that isn't asked for, or the
/// caller names no deadline by which it could be recognised.
pub fn recognise(node: &Node, call: &CallerRequest) -> Option<Try> {
    let now = node.now();
    if call.parent.is_some() || !is_on(node, now) {
        return None;
    }
    let deadline = now + call.deadline_ms?.min(MOST_DEADLINE_MS) * MILLISECOND;
    let is_host = |name: &str| name.eq_ignore_ascii_case("host");
    let host = call.headers.iter().find(|(name, _)| is_host(name));
    let host = host.map_or("", |(_, value)| value.as_str());
    let request = Fingerprint::of(&call.method, host, &call.target, &call.body);
    let first = node
        .caller_retries
        .borrow()
        .first_try(now, &request, deadline);
    if first.is_some() {
        stats::caller_retried();
    }
    Some(Try {
        request,
        first_at: first.unwrap_or(call.received),
        is_retry: first.is_some(),
        deadline,
    })
}

/// Remembers a request that was not run, so that its caller's next try is recognised.
pub fn note(node: &Node, this: Option<Try>, outcome: &RelayOutcome) {
    let Some(this) = this else {
        return;
    };
    if matches!(outcome, RelayOutcome::NotRun(_)) {
        let mut returning = node.caller_retries.borrow_mut();
        returning.record_refusal(node.now(), this.request, this.first_at, this.deadline);
    }
}

fn is_on(node: &Node, now: Moment) -> bool {
    activation::is_on(node, now, node.cfg.admission.from_first_try)
}
