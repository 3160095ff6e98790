//! Messages as bytes.

use crate::head::Header;

/// Bytes set aside for a head before it is written.
const HEAD_CAPACITY: usize = 512;

/// A request with a whole body. A `Content-Length` is written for every body that isn't empty, and
/// for an empty one when `declare_empty` says that the sender declared it.
pub fn request_bytes<'a>(
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    body: &[u8],
    declare_empty: bool,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEAD_CAPACITY + body.len());
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        buf.extend_from_slice(part.as_bytes());
    }
    put_headers(&mut buf, headers);
    if !body.is_empty() || declare_empty {
        put_header(&mut buf, "Content-Length", &body.len().to_string());
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(body);
    buf
}

/// An answer with a whole body, or with the length that an answer to `HEAD` declares.
pub fn response_bytes(
    status: u16,
    reason: &str,
    headers: &[Header],
    body: &[u8],
    head_length: Option<u64>,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEAD_CAPACITY + body.len());
    buf.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    let pairs = headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    put_headers(&mut buf, pairs);
    if status != 204 && status != 304 {
        let length = head_length.unwrap_or(body.len() as u64);
        put_header(&mut buf, "Content-Length", &length.to_string());
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(body);
    buf
}

fn put_headers<'a>(buf: &mut Vec<u8>, headers: impl Iterator<Item = (&'a str, &'a str)>) {
    for (name, value) in headers {
        put_header(buf, name, value);
    }
}

fn put_header(buf: &mut Vec<u8>, name: &str, value: &str) {
    for part in [name, ": ", value, "\r\n"] {
        buf.extend_from_slice(part.as_bytes());
    }
}
