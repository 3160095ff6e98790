//! Reads a caller's request.

use crate::node::Parent;
use accounts::KeyDigest;
use async_std::future::timeout;
use async_std::net::TcpStream;
use buffers::GatedStream;
use http1::{request_framing, unique_header, Connection, Fault, Header, RequestHead};
use names::{Moment, Name};
use settings::Headers;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::time::Duration;

/// Header with the caller's key for a request that may not run twice.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Maximum number of levels of calls; a deeper call is treated as a loop.
const MAX_LEVEL: u32 = 64;
/// Maximum time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a head if the declarations set none, in bytes.
const MAX_HEAD_BYTES: usize = 8_000;
/// Maximum time for a head to arrive if the declarations set none.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum idle time of a connection if the declarations set none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits on one request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from the first byte of the head to its end.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection between two requests.
    pub idle_timeout: Duration,
}

impl Limits {
    /// The declared limits, or else the node's defaults. Bodies are buffered in memory, so the
    /// node's own limit on their size, in bytes, applies in any case.
    pub fn effective(
        own_max_body_bytes: u64,
        declared: Option<declarations::CallerLimits>,
    ) -> Limits {
        match declared {
            Some(limits) => Limits {
                max_head_bytes: limits.header_bytes,
                max_body_bytes: own_max_body_bytes.min(limits.body_bytes as u64),
                head_timeout: Duration::from_millis(limits.header_ms),
                idle_timeout: Duration::from_millis(limits.idle_ms),
            },
            None => Limits {
                max_head_bytes: MAX_HEAD_BYTES,
                max_body_bytes: own_max_body_bytes,
                head_timeout: HEAD_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
            },
        }
    }
}

/// A request that was read completely.
#[derive(Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: String,
    /// Host without port, in lower case.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// Path and query.
    pub target: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
    /// When its head was read.
    pub received: Moment,
    /// Remaining time until the caller's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Number of services that the call has passed through.
    pub level: u32,
    /// The request for which the local upstream makes this call.
    pub parent: Option<Parent>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Digest of the key of its client account.
    pub account_key: Option<KeyDigest>,
    /// The client account on whose behalf it is processed, once that is known.
    pub account: Option<Name>,
    /// Request id that the caller gave to its try; `-` for none.
    pub id: String,
    /// The caller's IP address.
    pub caller: String,
}

impl CallerRequest {
    /// Approximate size, in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.body.len() + self.target.len() + headers
    }
}

/// A request that can't be read, with the status and the cause for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status.
    pub status: u16,
    /// Cause.
    pub cause: String,
}

/// Status of a request whose body can't be taken because memory is short.
const MEMORY_SHORT_STATUS: u16 = 503;

impl BadRequest {
    /// Whether the request is valid and was refused for lack of memory.
    pub fn is_memory_short(&self) -> bool {
        self.status == MEMORY_SHORT_STATUS
    }
}

impl From<&Fault> for BadRequest {
    fn from(fault: &Fault) -> BadRequest {
        let status = match fault {
            Fault::HeadTooLong => 431,
            Fault::FramingTooLong(..) => 431,
            Fault::BodyTooLong(_) => 413,
            Fault::UnsupportedEncoding(_) => 501,
            Fault::Io(error) if error.kind() == ErrorKind::OutOfMemory => MEMORY_SHORT_STATUS,
            Fault::Malformed(_) | Fault::Truncated | Fault::Io(_) => 400,
        };
        bad_request(status, fault.to_string())
    }
}

/// Whether the token list of header `name` contains `token`.
pub fn has_token(headers: &[Header], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|(other, _)| other.eq_ignore_ascii_case(name))
        .flat_map(|(_, value)| value.split(','))
        .any(|other| other.trim().eq_ignore_ascii_case(token))
}

/// Reads the complete request.
pub async fn read(
    names: &Headers,
    parent_of: impl Fn(&str) -> Option<Parent>,
    connection: &mut Connection<GatedStream<TcpStream>>,
    caller: IpAddr,
    mut head: RequestHead,
    limits: Limits,
    received: Moment,
) -> Result<CallerRequest, BadRequest> {
    let account_key = take_account_key(names, &mut head.headers)?;
    let deadline_ms = integer_header(&head.headers, &names.deadline_ms)?;
    let body = read_body(connection, &head, limits, deadline_ms).await?;
    let id = match &names.request_id {
        Some(name) => single_header(&head.headers, name)?
            .unwrap_or("-")
            .to_string(),
        None => "-".to_string(),
    };
    let parent = parent_of(&id);
    let given = integer_header(&head.headers, &names.level)?;
    let level = given.unwrap_or_else(|| {
        let parent = parent.as_ref();
        parent.map_or(0, |parent| u64::from(parent.level) + 1)
    });
    if level > u64::from(MAX_LEVEL) {
        return Err(bad_request(
            508,
            format!("more than {MAX_LEVEL} levels of calls"),
        ));
    }
    let key = single_header(&head.headers, KEY_HEADER)?.map(str::to_string);
    if key.as_ref().is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        let cause = format!("{KEY_HEADER} is longer than {MAX_KEY_BYTES} bytes");
        return Err(bad_request(400, cause));
    }
    let (target, target_host) = split_target(&head.target)?;
    let host = match target_host {
        Some(host) => Some(host),
        None => single_header(&head.headers, "host")?,
    };
    let host = host.ok_or_else(|| bad_request(400, "no host".to_string()))?;
    let mut headers = end_to_end_headers(head.headers.clone());
    if let Some(host) = target_host {
        // The host of an absolute target takes precedence over the header (RFC 9112, 3.2.2), also
        // for upstreams.
        headers.retain(|(name, _)| !name.eq_ignore_ascii_case("host"));
        headers.push(("Host".to_string(), host.to_string()));
    }
    Ok(CallerRequest {
        received,
        host: without_port(host).to_lowercase(),
        path: target.split(['?', '#']).next().unwrap_or("/").to_string(),
        target: target.to_string(),
        method: head.method.clone(),
        headers,
        body,
        deadline_ms,
        level: level as u32,
        parent,
        key,
        account_key,
        account: None,
        id,
        caller: caller.to_string(),
    })
}

/// Removes the account's key from the headers, so that it can't be passed on, and also any account
/// name that the caller gives itself.
fn take_account_key(
    names: &Headers,
    headers: &mut Vec<Header>,
) -> Result<Option<KeyDigest>, BadRequest> {
    let digest = match &names.account_key {
        Some(name) => single_header(headers, name)?.map(|key| KeyDigest::of(key.as_bytes())),
        None => None,
    };
    let strip: Vec<&String> = names.account_key.iter().chain(&names.account).collect();
    headers.retain(|(name, _)| !strip.iter().any(|strip| name.eq_ignore_ascii_case(strip)));
    Ok(digest)
}

/// Path with query, and the host of a target in absolute form.
fn split_target(target: &str) -> Result<(&str, Option<&str>), BadRequest> {
    if target.starts_with('/') || target == "*" {
        return Ok((target, None));
    }
    let rest = target
        .strip_prefix("http://")
        .ok_or_else(|| bad_request(400, format!("the target {target:?} is no path")))?;
    let slash = rest.find('/').unwrap_or(rest.len());
    let path = if slash < rest.len() {
        &rest[slash..]
    } else {
        "/"
    };
    Ok((path, Some(&rest[..slash])))
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

async fn read_body(
    connection: &mut Connection<GatedStream<TcpStream>>,
    head: &RequestHead,
    limits: Limits,
    deadline_ms: Option<u64>,
) -> Result<Vec<u8>, BadRequest> {
    let framing = request_framing(&head.headers).map_err(|fault| BadRequest::from(&fault))?;
    let deadline = deadline_ms.map_or(BODY_TIMEOUT, Duration::from_millis);
    let body = connection.body(framing, limits.max_body_bytes);
    match timeout(deadline.min(BODY_TIMEOUT), body).await {
        Ok(body) => body.map_err(|fault| BadRequest::from(&fault)),
        Err(_) => Err(bad_request(
            408,
            "the body did not arrive in time".to_string(),
        )),
    }
}

fn single_header<'a>(headers: &'a [Header], name: &str) -> Result<Option<&'a str>, BadRequest> {
    unique_header(headers, name).map_err(|fault| BadRequest::from(&fault))
}

fn integer_header(headers: &[Header], name: &str) -> Result<Option<u64>, BadRequest> {
    let Some(text) = single_header(headers, name)? else {
        return Ok(None);
    };
    let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if is_digits => Ok(Some(number)),
        _ => Err(bad_request(
            400,
            format!("{name} = {text:?} is not a whole number"),
        )),
    }
}

fn end_to_end_headers(headers: Vec<Header>) -> Vec<Header> {
    let hop_by_hop: Vec<String> = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .map(|token| token.trim().to_lowercase())
        .collect();
    headers
        .into_iter()
        .filter(|(name, _)| !http1::is_hop_header(name) && !name.eq_ignore_ascii_case("expect"))
        .filter(|(name, _)| !hop_by_hop.contains(&name.to_lowercase()))
        .collect()
}

fn bad_request(status: u16, cause: String) -> BadRequest {
    BadRequest { status, cause }
}
