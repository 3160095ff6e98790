//! Invalid input at the callers' and the peers' address: it is rejected, and the node keeps running.

use crate::fleet::{connect, header, read_all, Fleet, UpstreamKind};
use std::io::Write;

/// Name of the case, bytes of the request, expected status.
const BAD_REQUESTS: &[(&str, &str, &str)] = &[
    (
        "two different lengths",
        "POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "400",
    ),
    (
        "a length and chunks",
        "POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: 3\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "400",
    ),
    (
        "an unknown transfer encoding",
        "POST / HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "501",
    ),
    (
        "chunks whose size is no number",
        "POST / HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "400",
    ),
    (
        "a length that is no number",
        "POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: +3\r\n\r\nabc",
        "400",
    ),
    (
        "bytes in a header that are not ASCII",
        "GET / HTTP/1.1\r\nHost: one.example\r\nX: \u{e9}\u{e9}\r\n\r\n",
        "400",
    ),
    ("no HTTP at all", "hello, is anybody there?\r\n\r\n", "400"),
    ("no host", "GET / HTTP/1.1\r\n\r\n", "400"),
    (
        "an old version of HTTP",
        "GET / HTTP/1.0\r\nHost: one.example\r\n\r\n",
        "400",
    ),
    (
        "a deadline that is no number",
        "GET / HTTP/1.1\r\nHost: one.example\r\nDrumwheel-Deadline-Ms: soon\r\n\r\n",
        "400",
    ),
    (
        "a deadline given twice",
        "GET / HTTP/1.1\r\nHost: one.example\r\nDrumwheel-Deadline-Ms: 5\r\n\
         Drumwheel-Deadline-Ms: 6\r\n\r\n",
        "400",
    ),
    (
        "a body longer than the limit",
        "POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: 65537\r\n\r\n",
        "413",
    ),
    (
        "more levels of calls than any service has",
        "GET / HTTP/1.1\r\nHost: one.example\r\nDrumwheel-Level: 65\r\n\r\n",
        "508",
    ),
];

#[test]
fn malformed_request_is_rejected_as_not_run_and_the_node_keeps_serving() {
    let fleet = Fleet::start("doors", UpstreamKind::Working(0));
    for (name, bytes, status) in BAD_REQUESTS {
        let response = fleet.raw(fleet.callers, bytes.as_bytes());
        let expected = format!("HTTP/1.1 {status}");
        assert!(response.starts_with(&expected), "{name}: {response}");
        assert_eq!(
            header(&response, "drumwheel-outcome"),
            Some("not-run"),
            "{name}"
        );
    }
    let head = format!(
        "GET / HTTP/1.1\r\nHost: one.example\r\nX: {}\r\n\r\n",
        "x".repeat(9_000)
    );
    let response = fleet.raw(fleet.callers, head.as_bytes());
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert!(fleet.request("GET", "", "").starts_with("HTTP/1.1 200"));
    assert_eq!(fleet.metric("drumwheel_panics_total"), 0.0);
    assert_eq!(fleet.metric("drumwheel_started"), 1.0);
}

#[test]
fn request_with_a_truncated_body_is_not_run() {
    let fleet = Fleet::start("cut-body", UpstreamKind::Working(0));
    let mut stream = connect(fleet.callers);
    stream
        .write_all(b"POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: 10\r\n\r\nabc")
        .expect("the request is sent");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("the write side is closed");
    let response = read_all(&mut stream);
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert_eq!(fleet.metric("drumwheel_started"), 0.0);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let fleet = Fleet::start("pipeline", UpstreamKind::Working(1_000));
    let mut text = String::new();
    for (id, close) in [
        ("first", ""),
        ("second", ""),
        ("third", "Connection: close\r\n"),
    ] {
        text += &format!(
            "POST / HTTP/1.1\r\nHost: one.example\r\nRequest-Id: {id}\r\n\
             Answer-Bytes: 6\r\n{close}Content-Length: 4\r\n\r\nbody"
        );
    }
    let response = fleet.raw(fleet.callers, text.as_bytes());
    let positions: Vec<Option<usize>> = ["first;", "second", "third;"]
        .iter()
        .map(|body| response.find(body))
        .collect();
    assert!(positions.iter().all(Option::is_some), "{response}");
    assert!(positions.is_sorted(), "{response}");
    assert_eq!(response.matches("HTTP/1.1 200").count(), 3, "{response}");
}

#[test]
fn request_for_an_undeclared_host_is_not_run() {
    let fleet = Fleet::start("unknown-host", UpstreamKind::Working(0));
    let response = fleet.raw(
        fleet.callers,
        b"GET / HTTP/1.1\r\nHost: other.example\r\nConnection: close\r\n\r\n",
    );
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    assert_eq!(header(&response, "drumwheel-reason"), Some("no-service"));
}

#[test]
fn unauthenticated_connection_to_the_peers_address_is_rejected() {
    let fleet = Fleet::start("stranger", UpstreamKind::Working(0));
    for bytes in [
        &b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"[..],
        &b"\x00\x01\x02\x03\xff\xff\xff\xff\r\n\r\n"[..],
        &b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
          Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\
          \x82\x85\x00\x00\x00\x00\xa0\xa0\xa0\xa0\xa0"[..],
    ] {
        fleet.raw(fleet.peers, bytes);
    }
    assert!(fleet.metric("drumwheel_bad_input_total") >= 3.0);
    assert_eq!(fleet.metric("drumwheel_panics_total"), 0.0);
    assert!(fleet.is_alive());
}
