//! Serialisation of messages.

use crate::head::Header;

/// Initial buffer capacity for a head, in bytes.
const HEAD_CAPACITY: usize = 512;
/// Larger bodies are not copied behind their heads.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Serialises a request. `Content-Length` is written for every body that isn't empty, and for an empty
/// one if `declare_empty` is set.
pub fn request_bytes<'a>(
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    body: &[u8],
    declare_empty: bool,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEAD_CAPACITY + body.len());
    write_request_head(&mut buf, method, target, headers, body, declare_empty);
    buf.extend_from_slice(body);
    buf
}

/// Serialises a request as [`request_bytes`] does, without a copy of a large body, which has to be
/// written behind these bytes. Returns them, and the body if it is not among them.
pub fn request_parts<'a, 'b>(
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    body: &'b [u8],
    declare_empty: bool,
) -> (Vec<u8>, &'b [u8]) {
    let (copied, rest) = split_large(body);
    let mut buf = Vec::with_capacity(HEAD_CAPACITY + copied.len());
    write_request_head(&mut buf, method, target, headers, body, declare_empty);
    buf.extend_from_slice(copied);
    (buf, rest)
}

fn write_request_head<'a>(
    buf: &mut Vec<u8>,
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    body: &[u8],
    declare_empty: bool,
) {
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        buf.extend_from_slice(part.as_bytes());
    }
    write_headers(buf, headers);
    if !body.is_empty() || declare_empty {
        write_header(buf, "Content-Length", &body.len().to_string());
    }
    buf.extend_from_slice(b"\r\n");
}

/// The part of a body that is copied behind its head, so that both are written at once, and the part
/// that is written from where it is.
fn split_large(body: &[u8]) -> (&[u8], &[u8]) {
    match body.len() > MAX_COPIED_BYTES {
        true => (&[], body),
        false => (body, &[]),
    }
}

/// Serialises a response as [`response_bytes`] does, without a copy of a large body, which has to be
/// written behind these bytes. Returns them, and the body if it is not among them.
pub fn response_parts<'b>(
    status: u16,
    reason: &str,
    headers: &[Header],
    body: &'b [u8],
    head_length: Option<u64>,
) -> (Vec<u8>, &'b [u8]) {
    let (copied, rest) = split_large(body);
    let length = head_length.unwrap_or(body.len() as u64);
    let bytes = response_bytes(status, reason, headers, copied, Some(length));
    (bytes, rest)
}

/// Serialises a response, either with a body or with the length that a response to `HEAD` declares.
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
    write_headers(&mut buf, pairs);
    if status != 204 && status != 304 {
        let length = head_length.unwrap_or(body.len() as u64);
        write_header(&mut buf, "Content-Length", &length.to_string());
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(body);
    buf
}

fn write_headers<'a>(buf: &mut Vec<u8>, headers: impl Iterator<Item = (&'a str, &'a str)>) {
    for (name, value) in headers {
        write_header(buf, name, value);
    }
}

fn write_header(buf: &mut Vec<u8>, name: &str, value: &str) {
    for part in [name, ": ", value, "\r\n"] {
        buf.extend_from_slice(part.as_bytes());
    }
}
