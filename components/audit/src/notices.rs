//! Lines of what an upstream says of itself in its answers.

use crate::limit::{allowed, Kind};
use crate::stats;
use names::Name;
use notices::{Problem, RequestRate};
use registry::Incarnation;

/// The answer to the request `id` has a header that can't be read.
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

/// Another limit is in force at the upstream, in requests a second, or none any more. `source` says who told it: its answer
/// to the request `id`, or a node by its offer `id`.
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
                    "the upstream names a request limit"
                );
            }
            None => {
                tracing::info!(
                    id,
                    source,
                    before,
                    "the upstream names no request limit any more"
                );
            }
        }
    }
}

/// An answer says that its upstream, which stands on `vm`, leaves.
pub fn drain_advertised(incarnation: &Incarnation, vm: &Name) {
    tracing::info!(
        instance = %incarnation.id,
        born_ms = incarnation.born_ms,
        vm = %vm,
        "an upstream leaves by its answers"
    );
}
