//! Lines of what an upstream says of itself in its answers.

use crate::limit::{allowed, Kind};
use crate::stats;
use notices::{Problem, RequestRate};

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

/// The upstream names another limit, in requests a second, or none any more, in its answer to the request `id`.
pub fn request_limit(id: &str, before: Option<RequestRate>, limit: Option<RequestRate>) {
    if allowed(Kind::RequestLimit) {
        let before = before.map(RequestRate::per_s);
        match limit.map(RequestRate::per_s) {
            Some(limit) => tracing::info!(id, limit, before, "the upstream names a request limit"),
            None => tracing::info!(id, before, "the upstream names no request limit any more"),
        }
    }
}
