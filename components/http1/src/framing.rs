//! Message framing: where a body ends.

use crate::head::{unique_header, Header, ResponseHead};
use crate::Fault;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body; with the declared length, which a response to `HEAD` may have.
    Empty(Option<u64>),
    /// A body of this many bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends when the sender closes the connection without a reset.
    UntilClose,
}

/// How a response with neither a length nor chunks is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseDelimited {
    /// It is complete when the connection is closed without a reset.
    Accept,
    /// It is a fault: some senders close the connection without a reset in the middle of a response.
    Reject,
}

/// Framing of a request's body.
pub fn request_framing(headers: &[Header]) -> Result<Framing, Fault> {
    let length = content_length(headers)?;
    match (unique_header(headers, "transfer-encoding")?, length) {
        (Some(_), Some(_)) => Err(Fault::Malformed(
            "both a length and a transfer encoding".to_string(),
        )),
        (Some(encoding), None) if encoding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(encoding), None) => Err(Fault::UnsupportedEncoding(encoding.to_string())),
        (None, Some(length)) => Ok(Framing::Length(length)),
        (None, None) => Ok(Framing::Length(0)),
    }
}

/// Framing of the body of a response to a request with `method`.
pub fn response_framing(
    method: &str,
    head: &ResponseHead,
    close_delimited: CloseDelimited,
) -> Result<Framing, Fault> {
    let length = content_length(&head.headers)?;
    let encoding = unique_header(&head.headers, "transfer-encoding")?;
    if method == "HEAD" || head.status == 204 || head.status == 304 {
        return Ok(Framing::Empty(length));
    }
    match (encoding, length) {
        (Some(_), Some(_)) => Err(Fault::Malformed(
            "both a length and a transfer encoding".to_string(),
        )),
        (Some(encoding), None) if encoding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(encoding), None) => Err(Fault::UnsupportedEncoding(encoding.to_string())),
        (None, Some(length)) => Ok(Framing::Length(length)),
        (None, None) if close_delimited == CloseDelimited::Accept => Ok(Framing::UntilClose),
        (None, None) => Err(Fault::Malformed("neither a length nor chunks".to_string())),
    }
}

/// Returns the declared length. Several `Content-Length` headers are a fault even if they agree.
fn content_length(headers: &[Header]) -> Result<Option<u64>, Fault> {
    let Some(text) = unique_header(headers, "content-length")? else {
        return Ok(None);
    };
    let has_only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(length) if has_only_digits => Ok(Some(length)),
        _ => Err(Fault::Malformed(format!(
            "the length {text:?} is not a whole number"
        ))),
    }
}
