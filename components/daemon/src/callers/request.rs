//! Reading a caller's request.

use crate::guard::Guard;
use crate::node::Node;
use crate::upstream::is_hop_header;
use async_std::future::timeout;
use async_std::io::ReadExt;
use std::time::Duration;

/// Remaining time, in milliseconds.
pub const DEADLINE_HEADER: &str = "drumwheel-deadline-ms";
/// How many services the call has passed.
pub const LEVEL_HEADER: &str = "drumwheel-level";
/// The caller's key for a request that may not run twice.
pub const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Levels of calls at most; a deeper call is taken for a loop.
const MAX_LEVEL: u32 = 64;
/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that was read whole.
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
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Remaining time that the caller gives, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How many services the call has passed.
    pub level: u32,
    /// Idempotency key.
    pub key: Option<String>,
    /// The caller's IP address.
    pub caller: String,
}

/// A request that can't be read, with the status that says why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status.
    pub status: u16,
    /// What is wrong.
    pub cause: String,
}

/// Reads the whole request, or says what is wrong with it.
pub async fn read(
    node: &Node,
    guard: &Guard,
    caller: &str,
    req: &mut http_types::Request,
) -> Result<CallerRequest, BadRequest> {
    let body = read_body(node, guard, req).await?;
    let deadline_ms = number(req, DEADLINE_HEADER)?;
    let level = number(req, LEVEL_HEADER)?.unwrap_or(0) as u32;
    if level > MAX_LEVEL {
        return Err(bad(508, format!("more than {MAX_LEVEL} levels of calls")));
    }
    let key = single(req, KEY_HEADER)?;
    if key.as_ref().is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        let cause = format!("{KEY_HEADER} is longer than {MAX_KEY_BYTES} bytes");
        return Err(bad(400, cause));
    }
    let path = req.url().path().to_string();
    let target = match req.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.clone(),
    };
    Ok(CallerRequest {
        method: req.method().to_string(),
        host: req.url().host_str().unwrap_or("").to_lowercase(),
        path,
        target,
        headers: end_to_end(req),
        body,
        deadline_ms,
        level,
        key,
        caller: caller.to_string(),
    })
}

async fn read_body(
    node: &Node,
    guard: &Guard,
    req: &mut http_types::Request,
) -> Result<Vec<u8>, BadRequest> {
    let chunked = match single(req, "transfer-encoding")?.as_deref() {
        None => false,
        Some("chunked") => true,
        Some(other) => return Err(bad(501, format!("transfer encoding {other:?}"))),
    };
    let length = number(req, "content-length")?;
    let most = node.cfg.max_body_bytes as u64;
    if length.is_some_and(|length| length > most) {
        return Err(bad(413, format!("the body is longer than {most} bytes")));
    }
    if chunked {
        guard.expect_chunks();
    } else {
        guard.expect_body(length.unwrap_or(0));
    }
    if !chunked && length.unwrap_or(0) == 0 {
        return Ok(Vec::new());
    }
    let mut body = Vec::new();
    let mut reader = req.take_body().take(most + 1);
    match timeout(BODY_TIMEOUT, reader.read_to_end(&mut body)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => return Err(bad(400, format!("the body is malformed: {error}"))),
        Err(_) => return Err(bad(408, "the body did not arrive in time".to_string())),
    }
    if body.len() as u64 > most {
        return Err(bad(413, format!("the body is longer than {most} bytes")));
    }
    if length.is_some_and(|length| length != body.len() as u64) {
        return Err(bad(400, "the body was cut off".to_string()));
    }
    Ok(body)
}

/// The value of a header that may be given once.
fn single(req: &http_types::Request, name: &str) -> Result<Option<String>, BadRequest> {
    let Some(values) = req.header(name) else {
        return Ok(None);
    };
    if values.iter().count() > 1 {
        return Err(bad(400, format!("{name} is given more than once")));
    }
    Ok(Some(values.last().as_str().to_string()))
}

fn number(req: &http_types::Request, name: &str) -> Result<Option<u64>, BadRequest> {
    let Some(text) = single(req, name)? else {
        return Ok(None);
    };
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if digits => Ok(Some(number)),
        _ => Err(bad(400, format!("{name} = {text:?} is not a whole number"))),
    }
}

fn end_to_end(req: &http_types::Request) -> Vec<(String, String)> {
    req.iter()
        .filter(|(name, _)| !is_hop_header(name.as_str()) && name.as_str() != "expect")
        .flat_map(|(name, values)| {
            values
                .iter()
                .map(|value| (name.as_str().to_string(), value.as_str().to_string()))
        })
        .collect()
}

fn bad(status: u16, cause: String) -> BadRequest {
    BadRequest { status, cause }
}
