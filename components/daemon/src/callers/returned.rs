//! Recognises callers that try again after a refusal.

use super::request::CallerRequest;
use crate::activation;
use crate::node::Node;
use audit::stats;
use names::{Moment, MILLISECOND};
use quarantine::Fingerprint;
use wire::RelayOutcome;

/// Maximum time for which a refused request is remembered, in milliseconds, whatever its deadline:
/// callers with long deadlines must not fill the table.
const MAX_DEADLINE_MS: u64 = 60_000;

/// One try of a caller whose objective counts from its first try.
#[derive(Debug, Clone, Copy)]
pub struct Try {
    request: Fingerprint,
    /// When the caller tried first.
    pub first_at: Moment,
    /// Whether an earlier try was refused.
    pub is_retry: bool,
    /// When the caller gives up.
    deadline: Moment,
}

/// Checks whether the caller of a request was refused before; none where this function is off or
/// the caller sends no deadline by which it could be recognised.
pub fn recognise(node: &Node, call: &CallerRequest) -> Option<Try> {
    let now = node.now();
    if call.parent.is_some() || !is_on(node, now) {
        return None;
    }
    let deadline = now + call.deadline_ms?.min(MAX_DEADLINE_MS) * MILLISECOND;
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

/// Records a request that was not run, so that its caller's next try is recognised.
pub fn record_outcome(node: &Node, caller_try: Option<Try>, outcome: &RelayOutcome) {
    let Some(caller_try) = caller_try else {
        return;
    };
    if matches!(outcome, RelayOutcome::NotRun(_)) {
        let mut caller_retries = node.caller_retries.borrow_mut();
        caller_retries.record_refusal(
            node.now(),
            caller_try.request,
            caller_try.first_at,
            caller_try.deadline,
        );
    }
}

fn is_on(node: &Node, now: Moment) -> bool {
    activation::is_on(node, now, node.cfg.admission.from_first_try)
}
