//! Heads of requests and responses.

use crate::Fault;
use std::ops::RangeInclusive;

/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 128;

/// Status codes that HTTP defines.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status of a switch to another protocol, which no request here asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Headers that concern one connection only and are not forwarded, in lower case.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Name and value of a header, as received.
pub type Header = (String, String);

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Request target as received.
    pub target: String,
    /// All headers in their original order.
    pub headers: Vec<Header>,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    /// Reason phrase as received.
    pub reason: String,
    /// All headers in their original order.
    pub headers: Vec<Header>,
}

/// Whether a header concerns one connection only.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Returns the last value of a header.
pub fn header_value<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .rev()
        .find(|(other, _)| other.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// Returns the value of a header. Several are a fault.
pub fn unique_header<'a>(headers: &'a [Header], name: &str) -> Result<Option<&'a str>, Fault> {
    let mut values = headers
        .iter()
        .filter(|(other, _)| other.eq_ignore_ascii_case(name));
    let first = values.next();
    if values.next().is_some() {
        return Err(Fault::Malformed(format!("{name} is given more than once")));
    }
    Ok(first.map(|(_, value)| value.as_str()))
}

/// Parses a request head and returns it with its length; `None` while `bytes` is incomplete.
pub(crate) fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = req.parse(bytes).map_err(parse_fault)? else {
        return Ok(None);
    };
    if req.version != Some(1) {
        return Err(Fault::Malformed("not HTTP/1.1".to_string()));
    }
    let head = RequestHead {
        method: req.method.unwrap_or_default().to_string(),
        target: req.path.unwrap_or_default().to_string(),
        headers: copy_headers(req.headers)?,
    };
    Ok(Some((head, length)))
}

/// Parses a response head and returns it with its length; `None` while `bytes` is incomplete.
pub(crate) fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut res = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = res.parse(bytes).map_err(parse_fault)? else {
        return Ok(None);
    };
    let status = res.code.unwrap_or_default();
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(Fault::Malformed(format!("status {status:03}")));
    }
    let head = ResponseHead {
        status,
        reason: res.reason.unwrap_or_default().to_string(),
        headers: copy_headers(res.headers)?,
    };
    Ok(Some((head, length)))
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Result<Vec<Header>, Fault> {
    let mut copied = Vec::with_capacity(headers.len());
    for header in headers {
        if !header.value.is_ascii() {
            let cause = format!("{} holds bytes that are not ASCII", header.name);
            return Err(Fault::Malformed(cause));
        }
        let value = String::from_utf8_lossy(header.value).into_owned();
        copied.push((header.name.to_string(), value));
    }
    Ok(copied)
}

fn parse_fault(error: httparse::Error) -> Fault {
    match error {
        httparse::Error::TooManyHeaders => Fault::HeadTooLong,
        other => Fault::Malformed(other.to_string()),
    }
}
