//! Where a body ends.

use crate::head::{unique_header, Header, ResponseHead};
use crate::Fault;

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body; with the length that the answer to a `HEAD` request declares.
    Empty(Option<u64>),
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// Until the sender closes the connection in order.
    UntilClose,
}

/// What an answer without a length and without chunks is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseDelimited {
    /// Whole, when the connection is closed in order and not reset.
    Accept,
    /// A fault: some senders close in order in the middle of an answer.
    Reject,
}

/// The framing of a request's body.
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

/// The framing of the body of an answer to a request with `method`.
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

/// The declared length. Several are a fault even when they agree.
fn content_length(headers: &[Header]) -> Result<Option<u64>, Fault> {
    let Some(text) = unique_header(headers, "content-length")? else {
        return Ok(None);
    };
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(length) if digits => Ok(Some(length)),
        _ => Err(Fault::Malformed(format!(
            "the length {text:?} is not a whole number"
        ))),
    }
}
