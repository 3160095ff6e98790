//! Requests of callers that arrive at a stopping node.

use super::request::CallerRequest;
use crate::node::Node;
use home::{Reason, Refusal};
use names::{Moment, Name};
use shutdown::Arrival;
use wire::RelayOutcome;

/// Accepts a request of `class`, or refuses it if this node is stopping and can't serve it in time.
pub fn admit(
    node: &Node,
    call: &CallerRequest,
    class: &Name,
    deadline: Moment,
) -> Result<(), RelayOutcome> {
    let mut intake = node.intake.borrow_mut();
    let Some(intake) = intake.as_mut() else {
        return Ok(());
    };
    let now = node.now();
    let arrival = Arrival {
        longest_us: node.entry.borrow().longest_us(class),
        limit_us: deadline.since(now),
        is_nested: call.parent.is_some(),
    };
    intake.admit(now, &arrival).map_err(|refused| {
        audit::stop_refuses(&call.id, now, &arrival, intake, refused);
        refusal(call.key.is_some())
    })
}

/// The outcome of a request that a stopping node does not accept; another node or this node's
/// successor will. Whether an earlier try with the same idempotency key ran is unknown here.
pub fn refusal(has_key: bool) -> RelayOutcome {
    if has_key {
        return RelayOutcome::Unknown(Reason::Leaving);
    }
    RelayOutcome::NotRun(Refusal {
        reason: Reason::Leaving,
        retry_after_ms: shutdown::RETRY_AFTER_MS,
    })
}
