//! Log lines about the notices that an upstream gives in headers of its answers.

use crate::limit::{allowed, Kind};
use crate::stats;
use names::Name;
use notices::{Problem, RequestRate};
use registry::Incarnation;

/// The answer to the request `id` has an invalid header.
pub fn bad_notice(id: &str, problem: &Problem) {
    stats::bad_input("upstream");
    if allowed(Kind::BadNotice) {
        tracing::warn!(
            id,
            header = problem.header,
            value = problem.value,
            cause = problem.cause,
            "a header of the upstream's answer is not used"
        );
    }
}

/// The request limit of the upstream changed, in requests per second; none: no limit any more.
/// `source` is where it was learned: from the upstream's answer to the request `id`, or from a node
/// with its offer `id`.
pub fn request_limit(
    id: &str,
    source: &str,
    before: Option<RequestRate>,
    limit: Option<RequestRate>,
) {
    if allowed(Kind::RequestLimit) {
        let before = before.map(RequestRate::per_s);
        match limit.map(RequestRate::per_s) {
            Some(limit) => {
                tracing::info!(
                    id,
                    source,
                    limit,
                    before,
                    "the upstream advertises a request limit"
                );
            }
            None => {
                tracing::info!(
                    id,
                    source,
                    before,
                    "the upstream no longer advertises a request limit"
                );
            }
        }
    }
}

/// A header of an answer says that its upstream, on `vm`, is draining.
pub fn drain_advertised(incarnation: &Incarnation, vm: &Name) {
    tracing::info!(
        instance = %incarnation.id,
        born_ms = incarnation.born_ms,
        vm = %vm,
        "an upstream is draining, according to its answer"
    );
}
