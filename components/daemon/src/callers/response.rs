//! Writing what the caller is told.

use super::request::BadRequest;
use crate::stats;
use home::{Reason, Refusal};
use http_types::{Body, Response, StatusCode};
use wire::{Answer, RelayOutcome};

/// Says what became of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "drumwheel-outcome";
/// Says why, when there is no answer.
pub const REASON_HEADER: &str = "drumwheel-reason";
/// When to come back, in milliseconds; `Retry-After` has the same in whole seconds, rounded up.
pub const RETRY_AFTER_MS_HEADER: &str = "drumwheel-retry-after-ms";

/// The response for an outcome.
pub fn outcome(outcome: RelayOutcome) -> Response {
    match outcome {
        RelayOutcome::Answered(answer) => answered(&answer),
        RelayOutcome::NotRun(refusal) => not_run(refusal),
        RelayOutcome::Unknown(reason) => unknown(reason),
    }
}

/// The response for a request that could not be read.
pub fn bad_request(bad: &BadRequest) -> Response {
    stats::call_ended("not-run", Reason::BadRequest.as_str());
    let mut res = plain(bad.status, "not-run", Reason::BadRequest, &bad.cause);
    res.insert_header("connection", "close");
    res
}

/// A response as bytes, for a connection on which no request could be read.
pub fn raw(status: u16, phrase: &str, reason: &str, cause: &str) -> String {
    let body = format!("{cause}\n");
    format!(
        "HTTP/1.1 {status} {phrase}\r\nConnection: close\r\nContent-Type: text/plain\r\n\
         Content-Length: {}\r\nRetry-After: 1\r\n{OUTCOME_HEADER}: not-run\r\n\
         {REASON_HEADER}: {reason}\r\n\r\n{body}",
        body.len()
    )
}

fn answered(answer: &Answer) -> Response {
    stats::call_ended("answered", "-");
    let mut res = Response::new(status(answer.status));
    match answer.head_length {
        Some(length) => res.set_body(Body::from_reader(
            async_std::io::empty(),
            Some(length as usize),
        )),
        None => res.set_body(Body::from_bytes(answer.body.clone())),
    }
    res.remove_header("content-type");
    for (name, value) in &answer.headers {
        res.append_header(name.as_str(), value.as_str());
    }
    res.insert_header(OUTCOME_HEADER, "answered");
    res
}

fn not_run(refusal: Refusal) -> Response {
    stats::call_ended("not-run", refusal.reason.as_str());
    let code = match refusal.reason {
        Reason::NoService => 404,
        Reason::Policy => 403,
        Reason::Deadline => 504,
        _ => 503,
    };
    let mut res = plain(code, "not-run", refusal.reason, "the request was not run");
    if code == 503 || code == 504 {
        let ms = refusal.retry_after_ms.max(1);
        res.insert_header("retry-after", ms.div_ceil(1_000).to_string());
        res.insert_header(RETRY_AFTER_MS_HEADER, ms.to_string());
    }
    res
}

fn unknown(reason: Reason) -> Response {
    stats::call_ended("unknown", reason.as_str());
    let code = match reason {
        Reason::KeyUsed => 409,
        Reason::Deadline => 504,
        _ => 502,
    };
    plain(code, "unknown", reason, "the request may have run")
}

fn plain(code: u16, outcome: &str, reason: Reason, cause: &str) -> Response {
    let mut res = Response::new(status(code));
    res.set_body(format!("{cause}: {}\n", reason.as_str()));
    res.insert_header(OUTCOME_HEADER, outcome);
    res.insert_header(REASON_HEADER, reason.as_str());
    res
}

fn status(code: u16) -> StatusCode {
    StatusCode::try_from(code).unwrap_or(StatusCode::BadGateway)
}
