//! Writing what the caller is told.

use super::request::BadRequest;
use audit::stats;
use home::{Reason, Refusal};
use http1::Header;
use settings::Headers;
use std::sync::Arc;
use wire::{Answer, RelayOutcome};

/// Says what became of the request: `answered`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "drumwheel-outcome";
/// Says why, when there is no answer.
const REASON_HEADER: &str = "drumwheel-reason";
/// When to come back, in milliseconds; `Retry-After` has the same in seconds.
const RETRY_AFTER_MS_HEADER: &str = "drumwheel-retry-after-ms";

/// Says that a key of a client account is wanted.
const CHALLENGE: &str = "ApiKey";

/// What is written to a caller.
#[derive(Debug)]
pub enum Response {
    /// The upstream's answer.
    Answer(Arc<Answer>),
    /// The node's own words.
    Own {
        /// Status.
        status: u16,
        /// Headers.
        headers: Vec<Header>,
        /// Body.
        body: String,
    },
}

impl Response {
    /// Bytes of the body.
    pub fn body_bytes(&self) -> usize {
        match self {
            Response::Answer(answer) => answer.body.len(),
            Response::Own { body, .. } => body.len(),
        }
    }

    /// The whole response to a request with `method`; `close` says that the connection ends.
    pub fn bytes(&self, method: &str, close: bool) -> Vec<u8> {
        let close = close.then(|| ("Connection".to_string(), "close".to_string()));
        match self {
            Response::Answer(answer) => {
                let own = ["drumwheel-outcome", "drumwheel-reason"];
                let mut headers: Vec<Header> = answer.headers.clone();
                headers.retain(|(name, _)| !own.iter().any(|own| name.eq_ignore_ascii_case(own)));
                headers.push(pair(OUTCOME_HEADER, "answered"));
                headers.extend(close);
                http1::response_bytes(
                    answer.status,
                    &answer.reason,
                    &headers,
                    &answer.body,
                    answer.head_length,
                )
            }
            Response::Own {
                status,
                headers,
                body,
            } => {
                let mut headers = headers.clone();
                headers.extend(close);
                let shown = if method == "HEAD" { "" } else { body };
                let declared = Some(body.len() as u64);
                http1::response_bytes(
                    *status,
                    phrase(*status),
                    &headers,
                    shown.as_bytes(),
                    declared,
                )
            }
        }
    }
}

/// The response for an outcome.
pub fn outcome(names: &Headers, outcome: RelayOutcome) -> Response {
    match outcome {
        RelayOutcome::Answered(answer) => {
            stats::call_ended("answered", "-");
            Response::Answer(answer)
        }
        RelayOutcome::NotRun(refusal) => not_run(names, refusal),
        RelayOutcome::Unknown(reason) => unknown(reason),
    }
}

/// The response for a request that could not be read.
pub fn bad_request(bad: &BadRequest) -> Response {
    stats::call_ended("not-run", Reason::BadRequest.as_str());
    own(bad.status, "not-run", Reason::BadRequest, &bad.cause)
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

/// The usual phrase of a status that a node itself gives.
pub fn phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        429 => "Too Many Requests",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        508 => "Loop Detected",
        _ => "Error",
    }
}

fn not_run(names: &Headers, refusal: Refusal) -> Response {
    stats::call_ended("not-run", refusal.reason.as_str());
    let code = match refusal.reason {
        Reason::NoService => 404,
        Reason::Policy => 403,
        Reason::Key => 401,
        Reason::OverLimit => 429,
        Reason::Deadline if !names.not_run_is_503 => 504,
        _ => 503,
    };
    let mut res = own(code, "not-run", refusal.reason, "the request was not run");
    if let Response::Own { headers, .. } = &mut res {
        if code == 401 {
            headers.push(pair("www-authenticate", CHALLENGE));
        }
        if matches!(code, 429 | 503 | 504) {
            let ms = refusal.retry_after_ms.max(1);
            headers.push(pair("retry-after", &retry_after(names, ms)));
            headers.push(pair(RETRY_AFTER_MS_HEADER, &ms.to_string()));
        }
    }
    res
}

fn retry_after(names: &Headers, ms: u64) -> String {
    if names.retry_after_fractions {
        format!("{}.{:03}", ms / 1_000, ms % 1_000)
    } else {
        ms.div_ceil(1_000).to_string()
    }
}

fn unknown(reason: Reason) -> Response {
    stats::call_ended("unknown", reason.as_str());
    let code = match reason {
        Reason::KeyUsed => 409,
        Reason::Deadline => 504,
        _ => 502,
    };
    own(code, "unknown", reason, "the request may have run")
}

fn own(status: u16, outcome: &str, reason: Reason, cause: &str) -> Response {
    Response::Own {
        status,
        headers: vec![
            pair("content-type", "text/plain;charset=utf-8"),
            pair(OUTCOME_HEADER, outcome),
            pair(REASON_HEADER, reason.as_str()),
        ],
        body: format!("{cause}: {}\n", reason.as_str()),
    }
}

fn pair(name: &str, value: &str) -> Header {
    (name.to_string(), value.to_string())
}
